package forwarding

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

// The side that serves puts its own queries first, takes the stated share, and runs each once.
func TestReceiverAdmission(t *testing.T) {
	key := func(id uint64) Key { return Key{Origin{"a/n0", 1}, id} }
	for what, c := range map[string]struct {
		load Load
		left time.Duration
		want Admission
	}{
		"free slots":                   {Load{Capacity: 100}, time.Second, Admit},
		"it drains":                    {Load{Capacity: 100, Draining: true}, time.Second, Reject},
		"it lacks a shard":             {Load{Capacity: 100, ShardUnavailable: true}, time.Second, Reject},
		"its own take the places":      {Load{Capacity: 100, Used: 98}, time.Second, Reject},
		"remote ones have their share": {Load{Capacity: 4}, time.Second, Reject},
		"too little time":              {Load{Capacity: 100}, 10 * ms, Reject},
	} {
		if got := NewReceiver(policy).HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, c.left}, c.load, 0); got != c.want {
			t.Errorf("%s: %v", what, got)
		}
	}
	busy := NewReceiver(policy)
	busy.QueryShed(10 * ms)
	if busy.HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, time.Second}, Load{Capacity: 100}, 500*ms) != Reject ||
		busy.HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, time.Second}, Load{Capacity: 100}, 600*ms) != Admit {
		t.Error("its own queries do not come first, or for too long")
	}
	f := NewReceiver(policy)
	roomy := Load{Capacity: 1000}
	for id := range uint64(policy.MaxRemembered) {
		f.HandleQuery(RemoteQuery{key(id), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0)
	}
	beyond := RemoteQuery{key(99), 1, decision.NonIdempotent, 1, time.Second}
	if got := f.HandleQuery(beyond, roomy, 0); got != Reject || f.FreeShare(1000) != 0 {
		t.Errorf("beyond its memory: %v, free share %v", got, f.FreeShare(1000))
	}
	if !f.QueryEnded(key(3)) || f.HandleQuery(RemoteQuery{key(3), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0) != AlreadyEnded ||
		f.HandleQuery(RemoteQuery{key(4), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0) != AlreadyRunning {
		t.Error("not remembered")
	}
	if gone := f.ForgetExpired(time.Second); len(gone) != 0 {
		t.Errorf("forgot %v while its forwarding side may ask", gone)
	}
	if gone := f.ForgetExpired(time.Second + lateMessagePeriod); len(gone) != 1 {
		t.Errorf("forgot %v", gone)
	}
	f.LinkOpened(Origin{"a/n0", 1}, 7)
	if got := f.HandleQuery(RemoteQuery{key(50), 6, decision.NonIdempotent, 1, time.Second}, roomy, 0); got != StaleLink {
		t.Errorf("over an older link: %v", got)
	}
}

// In random courses with many queries and links: each that is offered ends exactly once unless its client left, never
// later than its client's time, and what links carry adds up.
func TestRandomForwardedQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newConnectedForwarder(3)
		n.policy.Burst, n.budget, n.policy.MaxForwarded = 1e9, 1e9, 1000
		ends, due, gone := map[uint64]int{}, map[uint64]time.Duration{}, map[uint64]bool{}
		now, id := 10*ms, uint64(0)
		where := map[uint64]LinkIndex{}
		take := func() {
			for _, a := range n.DrainActions() {
				switch a.Kind {
				case Forward:
					where[a.ID] = a.Link
				case Resubmit, Shed, Fail:
					ends[a.ID]++
					if now > due[a.ID] {
						t.Fatalf("query %d ends at %v, due %v", a.ID, now, due[a.ID])
					}
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = min(n.Tick(now), now+time.Duration(rapid.IntRange(0, 60).Draw(t, "ms"))*ms)
			n.Tick(now)
			take()
			at := LinkIndex(rapid.IntRange(0, 2).Draw(t, "link"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				id++
				s := Query{ID: id, IdempotencyWindow: 300 * ms, Deadline: now + time.Second}
				s.Idempotency = decision.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))
				if n.Offer(s, now) {
					due[id] = s.Deadline
				}
			case 3:
				if id > 0 {
					k := 1 + uint64(rapid.IntRange(0, int(id)-1).Draw(t, "id"))
					if n.HandleResult(where[k], k, Outcome(rapid.IntRange(0, 2).Draw(t, "how")), now) {
						ends[k]++
					}
				}
			case 4:
				if n.links[at].up {
					n.LinkDown(at, nil, now)
				} else {
					n.LinkUp(at, uint64(rapid.IntRange(1, 2).Draw(t, "epoch")), 10, now)
				}
			case 5:
				n.HandleStatus(at, Status{FreeShare: rapid.Float64Range(0, 1).Draw(t, "room")}, 20*ms, now)
			case 6:
				if id > 0 {
					k := 1 + uint64(rapid.IntRange(0, int(id)-1).Draw(t, "id"))
					if n.queries[k] != nil {
						n.Abandon(k)
						gone[k] = true
					}
				}
			}
			take()
			for i := range n.links {
				count := 0
				for _, tr := range n.queries {
					if tr.state == inFlight && tr.link == LinkIndex(i) {
						count++
					}
				}
				if n.links[i].up && n.links[i].inFlight != count {
					t.Fatalf("link %d counts %d in flight, there are %d", i, n.links[i].inFlight, count)
				}
			}
		}
		for len(n.queries) > 0 {
			now = n.Tick(now)
			n.Tick(now)
			take()
		}
		for k := range due {
			if want := map[bool]int{true: 0, false: 1}[gone[k]]; ends[k] != want {
				t.Fatalf("query %d ended %d times, its client left %v", k, ends[k], gone[k])
			}
		}
	})
}
