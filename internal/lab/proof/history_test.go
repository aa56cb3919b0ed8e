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

// operation is one operation of the history: drain or undrain a node, or read its drain.
type operation struct {
	verb string
	node string
}

// outcome is the answer that the operator got: done (d), with the drain's number or, for a read, that of the present drain; rejected (r)
// or unknown (u).
type outcome struct {
	kind   byte // 'd', 'r', 'u'
	number uint64
}

// drainModel is the state of one node: the number of its drain, 0 for none. The number is the index of the drain's log entry, so that it
// only grows. Whether a drain of unknown outcome took effect is left to the checker, and its number is known only by a later read.
type drainModel struct {
	number uint64
	any    bool // drained, with a number that no answer has given yet
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
		case in.verb == controlplane.VerbDrain && !drained: // unknown outcome, and it took effect
			return true, drainModel{any: true}
		case in.verb == controlplane.VerbUndrain: // unknown outcome
			return true, drainModel{}
		default:
			return true, s
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v %v", input, output) },
}

// recorder collects a history.
type recorder struct {
	mu          sync.Mutex
	began       time.Time
	all         []porcupine.Operation
	countByKind map[byte]int
}

// record adds an operation that has returned. One of unknown outcome may take effect at any later time.
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

// runOperations sends operations to one voter, one after another, until ctx ends.
func (c *tier) runOperations(ctx context.Context, r *recorder, client int, nodes []string, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(client)))
	for ctx.Err() == nil {
		in := operation{[]string{controlplane.VerbStatus, controlplane.VerbDrain, controlplane.VerbUndrain}[rnd.IntN(3)], nodes[rnd.IntN(len(nodes))]}
		within, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		call := time.Now()
		if in.verb == controlplane.VerbStatus {
			var s controlplane.Status
			if err := c.SendToVoters(within, client, in.verb, &controlplane.Request{}, &s); err == nil {
				for _, node := range nodes { // one read of each node
					out := outcome{kind: 'd'}
					for _, d := range s.Drains {
						if d.Node == node {
							out.number = d.Drain.Number
						}
					}
					r.record(client, operation{in.verb, node}, call, out)
				}
			} // a read without an answer is left out
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
				out.kind = 0 // it was not forwarded, so it had no effect
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

// injectLinkFaults isolates voters, cuts links, resets connections and pauses processes at random.
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

// checkHistory checks that a history is linearizable.
func checkHistory(all []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(historyModel, all, 30*time.Second)
}

// Operations through different voters are linearizable while links fail and processes are paused: they have the same results as if
// they were executed one after another, each between its request and its answer.
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
			t.Logf("%d operations: %d done, %d rejected, %d of unknown outcome", len(r.all), r.countByKind['d'], r.countByKind['r'], r.countByKind['u'])
			if r.countByKind['d'] < 10 || r.countByKind['r'] < 1 {
				t.Error("too few operations were done or rejected")
			}
			c.all(statemachine.BrokerServing)
		})
	}
}

// The checker finds faults put into a history: a stale read, a drain that takes effect twice, a rejection without a cause.
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
