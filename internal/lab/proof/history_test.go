package proof

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// An operation of the history: a node is drained or undrained, or what is known of it is read.
type operation struct {
	verb string
	node string
}

// outcome is what an operator was told: done (with the number of the drain), refused, unknown, or on a read, the drain there is.
type outcome struct {
	kind   byte // 'd', 'r', 'u'
	number uint64
}

// drainModel is one node: the number of its drain, 0 for none. A drain's number is the index of its entry, so that it only grows. Whether
// one whose fate is unknown took effect is for the checker to find; its number is known only to whoever reads it.
type drainModel struct {
	number uint64
	any    bool // drained under a number that nobody was told yet
}

var historyModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
		at := map[string]int{}
		for _, op := range all {
			node := op.Input.(operation).node
			if _, ok := at[node]; !ok {
				at[node] = len(parts)
				parts = append(parts, nil)
			}
			parts[at[node]] = append(parts[at[node]], op)
		}
		return parts
	},
	Init: func() any { return drainModel{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(drainModel), input.(operation), output.(outcome)
		drained := s.any || s.number > 0
		switch {
		case in.verb == controlplane.VerbStatus && s.any:
			return out.number > 0, drainModel{number: out.number}
		case in.verb == controlplane.VerbStatus:
			return out.number == s.number, s
		case in.verb == controlplane.VerbDrain && out.kind == 'd':
			return !drained, drainModel{number: out.number}
		case in.verb == controlplane.VerbUndrain && out.kind == 'd':
			return drained, drainModel{}
		case out.kind == 'r':
			return drained == (in.verb == controlplane.VerbDrain), s
		case in.verb == controlplane.VerbDrain && !drained: // unknown, and it took effect
			return true, drainModel{any: true}
		case in.verb == controlplane.VerbUndrain: // unknown
			return true, drainModel{}
		default:
			return true, s
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v %v", input, output) },
}

// recorder gathers a history.
type recorder struct {
	mu          sync.Mutex
	began       time.Time
	all         []porcupine.Operation
	countByKind map[byte]int
}

// record takes an operation that has ended. One whose fate is unknown may take effect at any later time.
func (r *recorder) record(client int, in operation, call time.Time, out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(r.began)), Output: out, Return: int64(time.Since(r.began))}
	if out.kind == 'u' {
		op.Return = math.MaxInt64
	}
	r.countByKind[out.kind]++
	r.all = append(r.all, op)
}

// runOperations puts operations through one voter, one after another, until ctx ends.
func (c *tier) runOperations(ctx context.Context, r *recorder, client int, nodes []string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(client)))
	for ctx.Err() == nil {
		in := operation{[]string{controlplane.VerbStatus, controlplane.VerbDrain, controlplane.VerbUndrain}[rnd.IntN(3)], nodes[rnd.IntN(len(nodes))]}
		within, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		call := time.Now()
		if in.verb == controlplane.VerbStatus {
			var s controlplane.Status
			if err := c.SendToVoters(within, client, in.verb, &controlplane.Request{}, &s); err == nil {
				for _, node := range nodes { // one read of each
					out := outcome{kind: 'd'}
					for _, d := range s.Drains {
						if d.Node == node {
							out.number = d.Drain.Number
						}
					}
					r.record(client, operation{in.verb, node}, call, out)
				}
			} // a read without an answer says nothing
		} else {
			var number uint64
			err := c.SendToVoters(within, client, in.verb, &controlplane.Request{Node: in.node}, &number)
			out := outcome{'d', number}
			var rejected *controlplane.RejectedError
			switch {
			case err == nil:
			case errors.As(err, &rejected) && strings.Contains(err.Error(), "rejected"):
				out = outcome{kind: 'r'}
			case errors.As(err, new(*controlplane.NotLeaderError)):
				out.kind = 0 // it was never sent on
			default:
				out = outcome{kind: 'u'}
			}
			if out.kind != 0 {
				r.record(client, in, call, out)
			}
		}
		cancel()
		time.Sleep(time.Duration(rnd.IntN(60)) * time.Millisecond)
	}
}

// injectLinkFaults cuts voters off from one another by chance, ends connections, and stops and continues processes.
func (c *tier) injectLinkFaults(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		v := rnd.IntN(3)
		switch rnd.IntN(5) {
		case 0:
			c.Mesh.Isolate(v, false)
		case 1:
			c.Mesh.Isolate(v, true)
		case 2:
			c.Mesh.Cut(v, (v+1)%3)
		case 3:
			c.Brokers[v].Pause()
		case 4:
			c.Mesh.Reset(v, (v+1)%3)
		}
		time.Sleep(time.Duration(300+rnd.IntN(900)) * time.Millisecond)
		c.Brokers[v].Resume()
		c.Mesh.Heal(rnd.IntN(2) == 0)
		time.Sleep(time.Duration(rnd.IntN(700)) * time.Millisecond)
	}
}

// checkHistory checks a history.
func checkHistory(all []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(historyModel, all, 30*time.Second)
}

// What operators do through different voters while links break and processes stand still is as if it had been done one after
// another, each between its request and its answer.
func TestOperatorHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(1 + *extraSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
			c.waitNodesListed()
			r := &recorder{began: time.Now(), countByKind: map[byte]int{}}
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			nodes := []string{c.List[0].InstanceID, c.List[1].InstanceID, c.List[2].InstanceID} // of different cells
			var all sync.WaitGroup
			for client := range 6 {
				all.Go(func() { c.runOperations(ctx, r, client, nodes, seed) })
			}
			all.Go(func() { c.injectLinkFaults(ctx, rand.New(rand.NewPCG(seed, 7))) })
			all.Wait()
			if v := checkHistory(r.all); v != porcupine.Ok {
				t.Fatalf("the history of %d operations is not linearizable: %s", len(r.all), v)
			}
			t.Logf("%d operations, done %d, refused %d, unknown %d", len(r.all), r.countByKind['d'], r.countByKind['r'], r.countByKind['u'])
			if r.countByKind['d'] < 10 || r.countByKind['r'] < 1 {
				t.Error("too little was done")
			}
			c.all(statemachine.BrokerServing)
		})
	}
}

// The checker finds faults put into a history: a read of what is past, a drain that takes effect twice, an answer that was never so.
func TestHistoryCheckerFindsFaults(t *testing.T) {
	op := func(from, to int64, verb string, out outcome) porcupine.Operation {
		return porcupine.Operation{Input: operation{verb, "n"}, Call: from, Return: to, Output: out}
	}
	drain, undrain, read := controlplane.VerbDrain, controlplane.VerbUndrain, controlplane.VerbStatus
	good := []porcupine.Operation{op(0, 10, drain, outcome{'d', 7}), op(5, 20, read, outcome{'d', 7}), op(12, 30, drain, outcome{kind: 'r'}),
		op(31, 40, undrain, outcome{'d', 0}), op(41, math.MaxInt64, drain, outcome{kind: 'u'}), op(60, 70, read, outcome{'d', 9}), op(71, 80, read, outcome{'d', 9})}
	for name, last := range map[string]porcupine.Operation{
		"":                           op(81, 90, undrain, outcome{'d', 0}),
		"a stale read":               op(81, 90, read, outcome{'d', 7}),
		"a read of what is past":     op(81, 90, read, outcome{'d', 0}),
		"a drain that is done twice": op(81, 90, drain, outcome{'d', 10}),
		"a refusal without a cause":  op(81, 90, undrain, outcome{kind: 'r'}),
	} {
		if v := checkHistory(append(good[:len(good):len(good)], last)); (v == porcupine.Ok) != (name == "") {
			t.Errorf("%q: %v", name, v)
		}
	}
}
