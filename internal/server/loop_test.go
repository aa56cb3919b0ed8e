package server

// Tests of the loop with the real router in random runs, in virtual time: every query has one end, every rule holds.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	oldrand "math/rand"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/quick"
	"testing/synctest"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

const settings = `{"azs":["a","b"],"balancers":2,
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"find"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"non_idempotent","name":"sign"}],
 "clients":{"marksRetry":true},"domain":{"cells":2,"classFloor":[0.5,1],"partsACall":4,"slices":6,"width":1},
 "permissions":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":40,
  "maxRetryAfterNs":2000000000,"multiplex":8,"retryAfter":true,"secondCopies":true},
 "realms":[{"name":"acme","portion":1}],"registryMode":"ask",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.3,"drainGraceNs":500000000,"tipMultiple":2,"warmAfterNs":5000000000},
 "stepNs":5000000}`

func decoded(t *testing.T) terms.Terms {
	tm, err := terms.FromJSON([]byte(settings), 11)
	if err != nil {
		t.Fatal(err)
	}
	return tm
}

// one client asks for one query and checks its answer, or leaves.
func (w *faultyCluster) client(n, typ int, leaves bool) {
	s := &activeQuery{Request: &query.Request{ID: fmt.Sprint("s", n), Type: typ, Timeout: 2 * time.Second, Text: "x"},
		result: make(chan query.Result, 1)}
	shards := w.rng.Perm(6)[:1+w.rng.IntN(6)]
	for _, shard := range shards {
		s.Request.Shards = append(s.Request.Shards, query.ShardRequest{Name: fmt.Sprintf("%s.%d", s.Request.ID, shard), Shard: shard, Weight: 1 / float64(len(shards))})
	}
	s.deadline = w.loop.since() + s.Timeout
	w.mu.Lock()
	w.queries[s.Request.ID] = s
	w.mu.Unlock()
	patience := time.Duration(oneToTen(w.rng)) * 50 * time.Millisecond
	w.loop.inbox <- queryReceived{s}
	go func() {
		if leaves {
			time.Sleep(patience)
			w.loop.inbox <- queryAbandoned{query: s}
			return
		}
		v := <-s.result
		if late := w.loop.since() - s.deadline; late > 50*time.Millisecond {
			w.t.Errorf("rule 1: answered %v late", late)
		}
		w.mu.Lock()
		seen := map[int]bool{}
		for _, p := range v.Answers {
			id := fmt.Sprintf("%s.%d", s.Request.ID, p.Shard)
			if !strings.HasPrefix(p.Value, id+"@") || !w.values[p.Value] || seen[p.Shard] {
				w.t.Errorf("rule 5: %s has the value %q", id, p.Value)
			}
			seen[p.Shard] = true
		}
		least := []float64{0.5, 1}[typ]
		if share := float64(len(seen)) / float64(len(shards)); v.Outcome == query.Answered &&
			(share < least-1e-4 || v.Complete != (len(seen) == len(shards))) {
			w.t.Errorf("rule 5: answered, whole %v, from %.2f of the attempts", v.Complete, share)
		}
		if typ == 1 && v.Outcome == query.Shed && len(s.requests) > 0 {
			for _, p := range s.Request.Shards {
				if w.mayHaveRun[p.Name] {
					w.t.Errorf("rule 2: shed though %s may have run", p.Name)
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		if len(s.result) != 0 {
			w.t.Errorf("rule 1: a second result")
		}
	}()
}

// Whatever nodes, clients and the list do, the rules hold at every step.
func TestRulesHoldInRandomRuns(t *testing.T) {
	play := func(seed uint64) bool {
		synctest.Test(t, func(t *testing.T) { newFaultyCluster(t, seed).play() })
		return !t.Failed()
	}
	if err := quick.Check(play, &quick.Config{MaxCount: 40, Rand: oldrand.New(oldrand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func (w *faultyCluster) play() {
	ctx, cancel := context.WithCancel(context.Background())
	l := w.loop
	l.pool = store.NewPool(ctx, store.Limits{Streams: 8, Idle: 30 * time.Second, Dial: 250 * time.Millisecond, Conns: 20},
		w.dial, l.since, func(f func() error) { go f() }, func(e store.Event) {
			select {
			case l.inbox <- connectionEvent{e}:
			case <-ctx.Done():
			}
		}, l.attemptEnded)
	l.handleList(&discovery.List{Full: true, Nodes: w.nodes}, nil)
	ended := make(chan struct{})
	go func() {
		l.run(ctx)
		close(ended)
	}()
	for n := range 150 {
		time.Sleep(time.Duration(w.rng.IntN(80)) * time.Millisecond)
		synctest.Wait() // from here on nothing else runs
		switch w.rng.IntN(12) {
		case 0:
			l.inbox <- listReceived{err: io.EOF}
		case 1:
			node := &w.nodes[w.rng.IntN(len(w.nodes))]
			node.Endpoint.State = decision.EndpointState(w.rng.IntN(3))
			if node.Endpoint.State == decision.Ready {
				delete(w.drainedAt, node.Address.String())
				node.Endpoint.StartedAt = l.since() - time.Second
			} else if _, down := w.drainedAt[node.Address.String()]; !down {
				w.drainedAt[node.Address.String()] = l.since()
			}
			l.inbox <- listReceived{list: &discovery.List{Nodes: []discovery.Node{*node}}}
		case 2:
			l.inbox <- gossipReceived{1, []byte("nonsense that no peer says")}
		case 3: // a node is replaced under a new id, which a whole list from elsewhere tells, or the changes
			i := w.rng.IntN(len(w.nodes))
			old := w.nodes[i]
			old.Endpoint.State = decision.Removed
			w.drainedAt[old.Address.String()] = l.since()
			node := &w.nodes[i]
			node.Name = fmt.Sprint("t-", n)
			node.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + n), byte(i)}), 80)
			node.Endpoint.Node, node.Endpoint.State, node.Endpoint.StartedAt = discovery.IDOfName(node.Name), decision.Ready, l.since()
			if w.rng.IntN(2) == 0 {
				l.inbox <- listReceived{list: &discovery.List{Nodes: []discovery.Node{old, *node}}}
			} else {
				l.inbox <- listReceived{list: &discovery.List{Full: true, Nodes: slices.Clone(w.nodes)}}
			}
		default:
			w.client(n, w.rng.IntN(2), w.rng.IntN(8) == 0)
		}
		synctest.Wait()
		r := countersRequested{make(chan QueryCounters, 1)}
		l.inbox <- r
		if now := <-r.to; now.AttemptsByRouter != now.AttemptsInFlight {
			w.t.Errorf("step %d: the router takes %d attempts to be out, %d are", n, now.AttemptsByRouter, now.AttemptsInFlight)
		}
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	cancel()
	<-ended // the loop is nobody's now
	if t := l.counters; t.InFlight != 0 || l.slotsUsed != 0 || len(l.queryOfShardRequest)+len(l.requestIDs)+len(l.queries) != 0 || t.Answered == 0 {
		w.t.Errorf("at the end: %+v, %d slots, %d attempts", t, l.slotsUsed, len(l.queryOfShardRequest))
	}
	listing := 0 // what the loop still keeps of nodes
	for i := range w.nodes {
		if _, kept := l.nodes[w.nodes[i].Endpoint.Node]; kept {
			listing++
		}
	}
	if len(l.nodes) != listing || l.pool.Nodes() > len(w.nodes) {
		w.t.Errorf("%d nodes kept in the loop, %d in the pool, %d are listed", len(l.nodes), l.pool.Nodes(), listing)
	}
	synctest.Wait()
}

// A query whose id is in flight would mix its attempts with the other's; one that finds no slot is shed unseen.
func TestQueriesTheLoopRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultyCluster(t, 1)
		l := w.loop
		l.pool = store.NewPool(t.Context(), store.Limits{}, nil, l.since, nil, nil, l.attemptEnded)
		var verdicts []query.Outcome
		for i, id := range []string{"a", "a", "b", "c"} {
			s := &activeQuery{Request: &query.Request{ID: id, Shards: make([]query.ShardRequest, 15+i)}, result: make(chan query.Result, 1)}
			l.handle(queryReceived{s})
			if len(s.result) > 0 {
				v := <-s.result
				verdicts = append(verdicts, v.Outcome)
				if v.Outcome == query.Shed && v.RetryAfter != 2*time.Second {
					t.Errorf("told to come back after %v", v.RetryAfter)
				}
			}
		}
		if len(verdicts) != 2 || verdicts[0] != query.Duplicate || verdicts[1] != query.Shed || l.counters.NoCapacity != 1 || l.counters.InFlight != 2 {
			t.Errorf("%v, %+v", verdicts, l.counters)
		}
	})
}
