package forwarding

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxfront/internal/decision"
)

// The receiving site gives its own queries precedence, limits remote ones to their share of the slots, and runs each once.
func TestReceiverAdmission(t *testing.T) {
	key := func(id uint64) Key { return Key{Origin{"a/n0", 1}, id} }
	for name, c := range map[string]struct {
		load Load
		left time.Duration
		want Admission
	}{
		"free slots":                {Load{Capacity: 100}, time.Second, Admit},
		"draining":                  {Load{Capacity: 100, Draining: true}, time.Second, Reject},
		"a shard is unavailable":    {Load{Capacity: 100, ShardUnavailable: true}, time.Second, Reject},
		"own queries use the slots": {Load{Capacity: 100, Used: 98}, time.Second, Reject},
		"remote share used up":      {Load{Capacity: 4}, time.Second, Reject},
		"too little time left":      {Load{Capacity: 100}, 10 * ms, Reject},
	} {
		if got := NewReceiver(policy).HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, c.left}, c.load, 0); got != c.want {
			t.Errorf("%s: decision %v", name, got)
		}
	}
	busy := NewReceiver(policy)
	busy.QueryShed(10 * ms)
	if busy.HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, time.Second}, Load{Capacity: 100}, 500*ms) != Reject ||
		busy.HandleQuery(RemoteQuery{key(1), 1, decision.Idempotent, 2, time.Second}, Load{Capacity: 100}, 600*ms) != Admit {
		t.Error("own queries have no precedence after one was shed, or have it for too long")
	}
	remembering := NewReceiver(policy)
	roomy := Load{Capacity: 1000}
	for id := range uint64(policy.MaxRemembered) {
		remembering.HandleQuery(RemoteQuery{key(id), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0)
	}
	beyond := RemoteQuery{key(99), 1, decision.NonIdempotent, 1, time.Second}
	if got := remembering.HandleQuery(beyond, roomy, 0); got != Reject || remembering.FreeShare(1000) != 0 {
		t.Errorf("with MaxRemembered queries remembered: decision %v, free share %v", got, remembering.FreeShare(1000))
	}
	if !remembering.QueryEnded(key(3)) || remembering.HandleQuery(RemoteQuery{key(3), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0) != AlreadyEnded ||
		remembering.HandleQuery(RemoteQuery{key(4), 1, decision.NonIdempotent, 1, time.Second}, roomy, 0) != AlreadyRunning {
		t.Error("a query that ended or runs is not remembered")
	}
	if forgotten := remembering.ForgetExpired(time.Second); len(forgotten) != 0 {
		t.Errorf("forgot %v while the forwarding site may request the results", forgotten)
	}
	if forgotten := remembering.ForgetExpired(time.Second + lateMessagePeriod); len(forgotten) != 1 {
		t.Errorf("forgot %v, want one key", forgotten)
	}
	remembering.LinkOpened(Origin{"a/n0", 1}, 7)
	if got := remembering.HandleQuery(RemoteQuery{key(50), 6, decision.NonIdempotent, 1, time.Second}, roomy, 0); got != StaleLink {
		t.Errorf("query over an older link: decision %v", got)
	}
}

// In random sequences with many queries and links, each forwarded query ends exactly once unless its client left, and no later than its
// deadline; and each link counts its queries in flight correctly.
func TestRandomForwardedQueries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newConnectedForwarder(3)
		f.policy.Burst, f.budget, f.policy.MaxForwarded = 1e9, 1e9, 1000
		endCount, deadlines, abandoned := map[uint64]int{}, map[uint64]time.Duration{}, map[uint64]bool{}
		now, id := 10*ms, uint64(0)
		linkOf := map[uint64]LinkIndex{}
		written, rejected, idempotent := map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
		take := func(a Action) {
			switch a.Kind {
			case Forward:
				linkOf[a.ID] = a.Link
				if rapid.IntRange(0, 4).Draw(t, "sent") == 0 {
					f.HandleNotSent(a.Link, a.ID, now)
				} else {
					written[a.ID] = true
				}
			case Resubmit, Shed, Fail:
				endCount[a.ID]++
				if now > deadlines[a.ID] {
					t.Fatalf("query %d ends at %v, after its deadline %v", a.ID, now, deadlines[a.ID])
				}
				if a.Kind == Shed && written[a.ID] && !rejected[a.ID] && !idempotent[a.ID] {
					t.Fatalf("query %d is shed, and may have run", a.ID)
				}
			}
		}
		takeActions := func() {
			for actions := f.DrainActions(); len(actions) > 0; actions = f.DrainActions() {
				for _, a := range actions {
					take(a)
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = min(f.Tick(now), now+time.Duration(rapid.IntRange(0, 60).Draw(t, "ms"))*ms)
			f.Tick(now)
			takeActions()
			index := LinkIndex(rapid.IntRange(0, 2).Draw(t, "link"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				id++
				query := Query{ID: id, IdempotencyWindow: 300 * ms, Deadline: now + time.Second}
				query.Idempotency = decision.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))
				if f.Offer(query, now) {
					deadlines[id], idempotent[id] = query.Deadline, query.Idempotency == decision.Idempotent
				}
			case 3:
				if id > 0 {
					k := 1 + uint64(rapid.IntRange(0, int(id)-1).Draw(t, "id"))
					outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "how"))
					rejected[k] = rejected[k] || outcome == Rejected
					if f.HandleResult(linkOf[k], k, outcome, now) {
						endCount[k]++
					}
				}
			case 4:
				if f.links[index].up {
					f.LinkDown(index, nil, now)
				} else {
					f.LinkUp(index, uint64(rapid.IntRange(1, 2).Draw(t, "epoch")), 10, now)
				}
			case 5:
				f.HandleStatus(index, Status{FreeShare: rapid.Float64Range(0, 1).Draw(t, "room")}, 20*ms, now)
			case 6:
				if id > 0 {
					k := 1 + uint64(rapid.IntRange(0, int(id)-1).Draw(t, "id"))
					if f.queries[k] != nil {
						f.Abandon(k)
						abandoned[k] = true
					}
				}
			}
			takeActions()
			for i := range f.links {
				count := 0
				for _, forwarded := range f.queries {
					if forwarded.state == inFlight && forwarded.link == LinkIndex(i) {
						count++
					}
				}
				if f.links[i].up && f.links[i].inFlight != count {
					t.Fatalf("link %d counts %d queries in flight, want %d", i, f.links[i].inFlight, count)
				}
			}
		}
		for len(f.queries) > 0 {
			now = f.Tick(now)
			f.Tick(now)
			takeActions()
		}
		for k := range deadlines {
			if want := map[bool]int{true: 0, false: 1}[abandoned[k]]; endCount[k] != want {
				t.Fatalf("query %d ended %d times; its client left: %v", k, endCount[k], abandoned[k])
			}
		}
	})
}
