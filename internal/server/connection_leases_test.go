package server

import (
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/store"
)

// leaseLoop returns a loop with connection leases, and the time of its clock, which the test sets.
func leaseLoop(t *testing.T) (l *loop, now *time.Duration) {
	now = new(time.Duration)
	*now = time.Hour
	l = newLoop(time.Now(), nil, &decision.Settings{})
	l.clock = func() time.Duration { return *now }
	l.pool = store.NewPool(t.Context(), store.Limits{Streams: 1, Conns: 99}, nil, l.since, nil, nil, nil)
	l.useConnectionLeases(newConnectionLeases(1, []string{"acme", "quiet"}))
	l.connLeases.proposeEntry = func(statemachine.Entry) {}
	return l, now
}

const policyText = `{"brokers": 2, "nodes": 9, "lease": "6s", "closing": "1s",
 "classes": [{"name": "all", "budget": "20", "floor": "2"}], "tenants": [{"name": "quiet"}, {"name": "acme"}]}`

func TestConnectionLeasesHeld(t *testing.T) {
	l, now := leaseLoop(t)
	b, one, two := l.connLeases, decision.NodeID{Port: 1}, decision.NodeID{Port: 2}
	expectOpens := func(what string, node decision.NodeID, leaves ...store.OpenDecision) {
		t.Helper()
		for i, expectOpens := range leaves {
			if got := b.Open(node, 0); got != expectOpens {
				t.Errorf("%s: connection %d: Open returned %d, want %d", what, i, got, expectOpens)
			}
		}
	}
	expectOpens("no view received", one, store.OpenShared, store.Denied)
	view := &controlplane.View{Index: 5, LeaseEnd: *now + time.Minute, Self: statemachine.Broker{Incarnation: 3}}
	b.handleView(view)
	expectOpens("no policy, and the session's lease valid", one, store.OpenShared, store.OpenShared, store.OpenShared)
	policy := &statemachine.ConnectionPolicy{Version: 1, Text: policyText, MaxBrokers: 2,
		Budgets: []statemachine.NodeBudget{{Node: one, Connections: 20, ReservedPerBroker: 2}, {Node: two, Connections: 20, ReservedPerBroker: 2}}}
	grant := statemachine.ConnectionLease{Incarnation: 3, Number: 1,
		Granted: []statemachine.LeaseRow{{Node: two, Tenant: "acme", Connections: 2}, {Node: two, Tenant: "else", Connections: 9}}}
	view = &controlplane.View{Index: 6, LeaseEnd: *now + time.Minute, Self: view.Self, Policy: policy, Lease: grant}
	b.handleView(view)
	expectOpens("more open than reserved", one, store.Denied)
	expectOpens("leased connections, then reserved ones", two, store.OpenForTenant, store.OpenForTenant, store.OpenShared, store.OpenShared, store.Denied)
	if x := b.holder.ExcessConnections(*now); len(x.Counts) != 1 || x.Counts[0].Connections != 2 || x.Immediate {
		t.Errorf("excess connections: %+v", x)
	}
	*now += 59 * time.Second // less than the close delay before the lease's end
	if x := b.holder.ExcessConnections(*now); len(x.Counts) != 2 || x.Counts[1].Connections != 2 || !x.Immediate {
		t.Errorf("excess connections at the lease's end: %+v", x)
	}
	lower := &statemachine.ConnectionPolicy{Version: 2, Text: policyText, MaxBrokers: 2, Budgets: []statemachine.NodeBudget{{Node: one, Connections: 20, ReservedPerBroker: 1}}}
	b.handleView(&controlplane.View{Index: 7, LeaseEnd: *now + time.Minute, Self: view.Self, Policy: policy, WaitingPolicy: lower, Lease: grant})
	if b.reserved[one] != 1 || b.reserved[two] != 0 || b.agreedVersion != 2 {
		t.Errorf("reserved connections while a lower policy waits: %v", b.reserved)
	}
	b.handleView(&controlplane.View{Index: 8, LeaseEnd: *now + time.Minute, Self: view.Self, Policy: lower, Lease: grant})
	if b.version != 2 || b.reserved[one] != 1 {
		t.Errorf("reserved connections once the lower policy is in force: %v", b.reserved)
	}
	b.release()
	expectOpens("after the release", two, store.Denied)
}

// A broker that was forgotten and comes back has its grants numbered from 1 again, and must accept them.
func TestGrantsNumberedAnew(t *testing.T) {
	l, now := leaseLoop(t)
	one := decision.NodeID{Port: 1}
	receiveGrant := func(incarnation, number, units uint64) {
		l.connLeases.handleView(&controlplane.View{Index: 5, LeaseEnd: *now + time.Minute, Self: statemachine.Broker{Incarnation: incarnation},
			Policy: &statemachine.ConnectionPolicy{Version: 1, Text: policyText, MaxBrokers: 2, Budgets: []statemachine.NodeBudget{{Node: one, Connections: 20, ReservedPerBroker: 2}}},
			Lease:  statemachine.ConnectionLease{Incarnation: incarnation, Number: number, Granted: []statemachine.LeaseRow{{Node: one, Tenant: "acme", Connections: units}}}})
	}
	receiveGrant(3, 7, 0)
	receiveGrant(3, 6, 1)
	if l.connLeases.Open(one, 0) != store.OpenShared {
		t.Error("an older grant was accepted")
	}
	receiveGrant(9, 1, 5)
	if l.connLeases.Open(one, 0) != store.OpenForTenant || l.connLeases.holder.PendingAck(*now) != 1 {
		t.Error("the first grant of a new incarnation was not accepted")
	}
}

// The lease of an incarnation that ended between two calls of recordRenewal must count for its full duration from the later call.
func TestLeaseBetweenRenewalRecords(t *testing.T) {
	g := &leaseGranting{granter: connlease.NewGranter(3*time.Second, time.Second, 0), incarnations: map[statemachine.Slot]uint64{}}
	g.recordRenewal(statemachine.Broker{Slot: 1, Incarnation: 1}, 10*time.Second, 10*time.Second)
	g.recordRenewal(statemachine.Broker{Slot: 1, Incarnation: 2}, 10500*time.Millisecond, 11*time.Second) // incarnation 1 was renewed at 10.3 s
	if ends := g.granter.Expiry(1, 1); ends < 10300*time.Millisecond+connlease.GranterExpiry(0, 3*time.Second)+time.Second {
		t.Errorf("the lease expires at %v", ends)
	}
}

// A tenant whose queries are shed must be admitted again exactly after the time that it was told.
func TestRetryAfterIsExact(t *testing.T) {
	l, now := leaseLoop(t)
	b := l.connLeases
	b.handleView(&controlplane.View{Index: 6, LeaseEnd: *now + time.Minute, Policy: &statemachine.ConnectionPolicy{Version: 1, Text: policyText}})
	b.countAttempts(0, 40, 30)
	b.countAttempts(1, 400, 30)
	after, full := b.overloaded(0)
	if _, other := b.overloaded(1); !full || other || after < leaseInterval {
		t.Fatalf("retry after %v, overloaded %t, the other tenant overloaded %t", after, full, other)
	}
	for told := *now + after; *now < told; {
		if _, full = b.overloaded(0); !full {
			t.Errorf("admitted %v before the time that it was told", told-*now)
		}
		b.nextTick = 0
		l.connLeases.tick(*now)
		*now += leaseInterval
	}
	if _, full = b.overloaded(0); full {
		t.Error("still shed at the time that it was told")
	}
}
