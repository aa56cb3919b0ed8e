package server

// Tests of the loop with the real router in random runs, in virtual time: every query ends once, and all rules hold.

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

const settingsJSON = `{"azs":["a","b"],"balancers":2,
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"find"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"non_idempotent","name":"sign"}],
 "clients":{"marksRetry":true},"domain":{"cells":2,"classFloor":[0.5,1],"partsACall":4,"slices":6,"width":1},
 "permissions":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":40,
  "maxRetryAfterNs":2000000000,"multiplex":8,"retryAfter":true,"secondCopies":true},
 "realms":[{"name":"acme","portion":1}],"registryMode":"ask",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.3,"drainGraceNs":500000000,"tipMultiple":2,"warmAfterNs":5000000000},
 "stepNs":5000000}`

func testTerms(t *testing.T) terms.Terms {
	tm, err := terms.FromJSON([]byte(settingsJSON), 11)
	if err != nil {
		t.Fatal(err)
	}
	return tm
}

// client submits one query and checks its result, or leaves early.
func (w *faultyCluster) client(n, typ int, leaves bool) {
	q := &activeQuery{Request: &query.Request{ID: fmt.Sprint("s", n), Type: typ, Timeout: 2 * time.Second, Text: "x"},
		result: make(chan query.Result, 1)}
	shards := w.rng.Perm(6)[:1+w.rng.IntN(6)]
	for _, shard := range shards {
		q.Request.Shards = append(q.Request.Shards, query.ShardRequest{Name: fmt.Sprintf("%s.%d", q.Request.ID, shard), Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.deadline = w.loop.since() + q.Timeout
	w.mu.Lock()
	w.queries[q.Request.ID] = q
	w.mu.Unlock()
	leaveAfter := time.Duration(oneToTen(w.rng)) * 50 * time.Millisecond
	w.loop.inbox <- queryReceived{q}
	go func() {
		if leaves {
			time.Sleep(leaveAfter)
			w.loop.inbox <- queryAbandoned{query: q}
			return
		}
		got := <-q.result
		if late := w.loop.since() - q.deadline; late > 50*time.Millisecond {
			w.t.Errorf("rule 1: result %v after the deadline", late)
		}
		w.mu.Lock()
		seen := map[int]bool{}
		for _, p := range got.Answers {
			id := fmt.Sprintf("%s.%d", q.Request.ID, p.Shard)
			if !strings.HasPrefix(p.Value, id+"@") || !w.values[p.Value] || seen[p.Shard] {
				w.t.Errorf("rule 5: shard request %s has the value %q", id, p.Value)
			}
			seen[p.Shard] = true
		}
		least := []float64{0.5, 1}[typ]
		if share := float64(len(seen)) / float64(len(shards)); got.Outcome == query.Answered &&
			(share < least-1e-4 || got.Complete != (len(seen) == len(shards))) {
			w.t.Errorf("rule 5: answered, complete %v, with answers of %.2f of the shards", got.Complete, share)
		}
		if typ == 1 && got.Outcome == query.Shed && len(q.requests) > 0 {
			for _, p := range q.Request.Shards {
				if w.mayHaveRun[p.Name] {
					w.t.Errorf("rule 2: query shed although shard request %s may have run", p.Name)
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		if len(q.result) != 0 {
			w.t.Errorf("rule 1: a second result")
		}
	}()
}

// The rules hold at every step, whatever nodes, clients and the endpoint list do.
func TestRulesHoldInRandomRuns(t *testing.T) {
	runRandomSteps := func(seed uint64) bool {
		synctest.Test(t, func(t *testing.T) { newFaultyCluster(t, seed).runRandomSteps() })
		return !t.Failed()
	}
	if err := quick.Check(runRandomSteps, &quick.Config{MaxCount: 40, Rand: oldrand.New(oldrand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func (w *faultyCluster) runRandomSteps() {
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
		synctest.Wait() // until the next message nothing else runs
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
		case 3: // a node is replaced under a new id, which a full list or an update reports
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
		if now := <-r.reply; now.AttemptsByRouter != now.AttemptsInFlight {
			w.t.Errorf("step %d: the router counts %d attempts in flight, the pool %d", n, now.AttemptsByRouter, now.AttemptsInFlight)
		}
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	cancel()
	<-ended // from here on the test may read the loop's fields
	if t := l.counters; t.InFlight != 0 || l.slotsUsed != 0 || len(l.queryOfShardRequest)+len(l.requestIDs)+len(l.queries) != 0 || t.Answered == 0 {
		w.t.Errorf("left at the end: %+v, %d slots, %d shard requests", t, l.slotsUsed, len(l.queryOfShardRequest))
	}
	listed := 0 // listed nodes that the loop has
	for i := range w.nodes {
		if _, kept := l.nodes[w.nodes[i].Endpoint.Node]; kept {
			listed++
		}
	}
	if len(l.nodes) != listed || l.pool.Nodes() > len(w.nodes) {
		w.t.Errorf("%d nodes in the loop, %d in the pool, %d listed ones in the loop", len(l.nodes), l.pool.Nodes(), listed)
	}
	synctest.Wait()
}

// A query whose id is in flight is rejected, as its attempts would be mixed up with the other's. A query that finds no slot is
// shed and does not reach the router.
func TestQueriesTheLoopRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultyCluster(t, 1)
		l := w.loop
		l.pool = store.NewPool(t.Context(), store.Limits{}, nil, l.since, nil, nil, l.attemptEnded)
		var outcomes []query.Outcome
		for i, id := range []string{"a", "a", "b", "c"} {
			q := &activeQuery{Request: &query.Request{ID: id, Shards: make([]query.ShardRequest, 15+i)}, result: make(chan query.Result, 1)}
			l.handle(queryReceived{q})
			if len(q.result) > 0 {
				got := <-q.result
				outcomes = append(outcomes, got.Outcome)
				if got.Outcome == query.Shed && got.RetryAfter != 2*time.Second {
					t.Errorf("retry-after time %v, want 2s", got.RetryAfter)
				}
			}
		}
		if len(outcomes) != 2 || outcomes[0] != query.Duplicate || outcomes[1] != query.Shed || l.counters.NoCapacity != 1 || l.counters.InFlight != 2 {
			t.Errorf("outcomes %v, counters %+v", outcomes, l.counters)
		}
	})
}
