package server

// This file owns the loop's part of connection budgets: which connections the pool may open by what this broker holds, what it
// needs, and what it must close. It must never open one that is not held, or take the fleet's goroutine's time.

import (
	"log/slog"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/connpolicy"
	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/connlease"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/store"
)

const (
	budgetEvery = 100 * time.Millisecond
	needHalf    = 2 * time.Second // a need that is gone counts half after so long
	plainClose  = time.Second     // a node notices a close within that, where no policy says otherwise
)

// budgets is the loop's part of it.
type budgets struct {
	loop     *loop
	holder   *connlease.Holder
	needs    *connlease.DemandTracker
	streams  int
	names    []string  // tenants of the settings
	of       []int     // their places in the policy; -1: it does not name them
	held     []int     // and back
	version  uint64    // of the policy whose tenants these are
	newest   uint64    // that is agreed, in force or waiting
	grantee  uint64    // the incarnation whose grants are held
	keeps    [2]uint64 // versions of the policies whose floors are kept to, the lower of both
	floors   map[decision.NodeID]int
	due      time.Duration
	view     *controlplane.View
	report   atomic.Pointer[[]byte]
	nodes    atomic.Pointer[map[decision.NodeID]connpolicy.Node]
	propose  func(e statemachine.Entry) // must not wait
	closing  time.Duration              // within which a node notices a close
	shut     bool                       // nothing is opened any more
	holds    bool                       // it was logged that something is held
	proposed time.Duration              // when something was last, so that it is not proposed with each tick
	turned   []turned                   // by tenant
}

func newBudgets(l *loop, streams int, names []string) *budgets {
	b := &budgets{loop: l, holder: connlease.NewHolder(plainClose), needs: connlease.NewDemandTracker(needHalf), streams: streams, names: names,
		turned: make([]turned, len(names)), closing: plainClose}
	b.holder.SetReserved(nil, 1) // until it is known what is agreed
	b.place(nil)
	return b
}

// place finds the settings' tenants in a policy.
func (b *budgets) place(tenants []string) {
	b.of, b.held = make([]int, len(b.names)), make([]int, len(tenants))
	for i := range b.of {
		b.of[i] = -1
	}
	for j, name := range tenants {
		b.held[j] = -1
		for i := range b.names {
			if b.names[i] == name {
				b.of[i], b.held[j] = j, i
			}
		}
	}
}

// Open answers the pool.
func (b *budgets) Open(node decision.NodeID, tenant int) store.Leave {
	if b.shut {
		return store.No
	}
	k, now := connlease.LeaseKey{Node: node, Tenant: tenant}, b.loop.since()
	own, ok := b.holder.Open(k, now)
	switch {
	case !ok:
		b.needs.Observe(k, float64(b.holder.OpenConnections(k)+1))
		b.count(tenant, 0, 1)
		return store.No
	case own:
		return store.Own
	}
	return store.Floor
}

// Closed hears of the end of a connection.
func (b *budgets) Closed(node decision.NodeID, tenant int, byNode bool) {
	b.holder.RecordClosed(connlease.LeaseKey{Node: node, Tenant: tenant}, byNode, b.loop.since())
}

// see takes over what is agreed.
func (b *budgets) see(v *controlplane.View) {
	b.view, b.due = v, 0
	if v.Index == 0 {
		return
	}
	if p := v.Policy; p != nil && p.Version != b.version {
		compiled, err := connpolicy.Compile("agreed", p.Text)
		if err != nil { // it was agreed by a program that reads it otherwise: the floors of its entry hold, and nothing above them
			slog.Error("the agreed policy does not compile here: only floors are used", "version", p.Version, "error", err)
			b.place(nil)
		} else {
			b.place(compiled.Tenants)
			b.closing = compiled.Closing
			b.holder.SetCloseDelay(b.closing)
		}
		b.version = p.Version
	}
	b.bound(v)
	if h := v.Grant; h.Number > 0 && !h.Ended && h.Incarnation == v.Me.Incarnation && v.Me.Incarnation > 0 && v.Policy != nil {
		if h.Incarnation != b.grantee { // one that was forgotten and came back: its grants are numbered anew
			b.grantee = h.Incarnation
			b.holder.AcceptAnyNumber()
		}
		if rows := b.rows(h.Granted); b.holder.AcceptGrant(h.Number, rows, v.LeaseEnd) && len(rows) > 0 && !b.holds {
			b.holds = true
			slog.Info("fleet: holds connections above the floors", "number", h.Number, "rows", len(rows))
		}
		if h.Acknowledged {
			b.holder.RecordAcked(h.Number)
		}
	} else {
		b.holds = false
	}
}

// bound sets the floors: those of the policy in force and, where another waits, the lower of both. Danger: with no policy known
// one may have been agreed by brokers that this one can't hear; so it opens freely only while its session's lease runs.
func (b *budgets) bound(v *controlplane.View) {
	if v.Policy == nil {
		if v.Held(b.loop.since()) {
			b.holder.SetUnlimited()
		} else {
			b.holder.SetReserved(nil, 1)
		}
		return
	}
	versions := [2]uint64{v.Policy.Version, v.Policy.Version}
	if v.Waiting != nil {
		versions[1] = v.Waiting.Version
	}
	if b.newest = versions[1]; versions == b.keeps && b.floors != nil {
		return
	}
	floors := map[decision.NodeID]int{}
	for _, one := range v.Policy.Budgets {
		floors[one.Node] = int(one.ReservedPerBroker)
	}
	if v.Waiting != nil {
		lower := map[decision.NodeID]int{}
		for _, one := range v.Waiting.Budgets {
			lower[one.Node] = int(one.ReservedPerBroker)
		}
		for id, floor := range floors {
			floors[id] = min(floor, lower[id])
		}
	}
	b.floors, b.keeps = floors, versions
	b.holder.SetReserved(floors, 1)
}

// rows are a grant's rows under the settings' tenants.
func (b *budgets) rows(of []statemachine.LeaseRow) (rows []connlease.ConnectionCount) {
	for _, r := range of {
		for i, name := range b.names {
			if name == r.Tenant && b.of[i] >= 0 {
				rows = append(rows, connlease.ConnectionCount{LeaseKey: connlease.LeaseKey{Node: r.Node, Tenant: i}, Connections: int(r.Connections)})
			}
		}
	}
	return rows
}
