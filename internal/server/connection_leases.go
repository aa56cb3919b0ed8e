package server

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
	leaseInterval  = 100 * time.Millisecond
	needHalfLife   = 2 * time.Second // a need that is gone counts half after so long
	defaultClosing = time.Second     // a node notices a close within that, where no policy says otherwise
)

// connectionLeases is the extension that divides connections to nodes among brokers: which ones the pool may open by the leases that this
// broker holds, how many it needs, and which it has to close.
type connectionLeases struct {
	loop             endpointHost
	holder           *connlease.Holder
	needs            *connlease.DemandTracker
	streams          int                                                 // attempts that a connection carries at once
	names            []string                                            // tenants of the settings
	policyTenant     []int                                               // index in the policy by index in the settings; -1: the policy does not name it
	settingsTenant   []int                                               // index in the settings by index in the policy
	version          uint64                                              // of the policy that the tenants' indices belong to
	agreedVersion    uint64                                              // newest policy, in force or waiting
	grantIncarnation uint64                                              // incarnation whose grants are held
	floorVersions    [2]uint64                                           // policies whose floors are kept to, the lower of both
	floors           map[decision.NodeID]int                             // connections to a node that need no lease
	due              time.Duration                                       // the next tick that does anything
	view             *controlplane.View                                  // nil: none was received
	needReport       atomic.Pointer[[]byte]                              // for load reports
	nodes            atomic.Pointer[map[decision.NodeID]connpolicy.Node] // for the leader's goroutine
	proposeEntry     func(e statemachine.Entry)                          // must not wait
	closing          time.Duration                                       // within which a node notices a close
	stopped          bool                                                // nothing is opened any more
	holdsLogged      bool                                                // it was logged that leases are held
	proposedAt       time.Duration                                       // when an entry was last proposed, so that it is not proposed with each tick
	attempts         []attemptShares                                     // by tenant
}

func newConnectionLeases(streams int, tenants []string) *connectionLeases {
	b := &connectionLeases{
		holder:   connlease.NewHolder(defaultClosing),
		needs:    connlease.NewDemandTracker(needHalfLife),
		streams:  streams,
		names:    tenants,
		attempts: make([]attemptShares, len(tenants)),
		closing:  defaultClosing,
	}
	b.holder.SetReserved(nil, 1) // until it is known what is agreed
	b.mapTenants(nil)
	return b
}

// useConnectionLeases attaches connection leases to the loop.
func (l *loop) useConnectionLeases(b *connectionLeases) {
	b.loop = l
	l.connLeases = b
	l.extensions[connectionLeasesExtension] = b
}

func (b *connectionLeases) handle(m message) bool {
	switch m := m.(type) {
	case viewReceived:
		b.handleView(m.view)
		return false // the control plane has to see it too
	case leaseReleaseRequested:
		m.holds <- b.release()
		return true
	}
	return false
}

// report adds nothing: what is held is in the control plane's view.
func (b *connectionLeases) report(*QueryCounters) {}

// mapTenants finds the tenants of the settings in a policy.
func (b *connectionLeases) mapTenants(tenants []string) {
	b.policyTenant, b.settingsTenant = make([]int, len(b.names)), make([]int, len(tenants))
	for i := range b.policyTenant {
		b.policyTenant[i] = -1
	}
	for j, name := range tenants {
		b.settingsTenant[j] = -1
		for i := range b.names {
			if b.names[i] == name {
				b.policyTenant[i], b.settingsTenant[j] = j, i
			}
		}
	}
}

// Open tells the pool whether it may open a connection to a node for a tenant, and by which right.
func (b *connectionLeases) Open(node decision.NodeID, tenant int) store.Leave {
	if b.stopped {
		return store.No
	}
	k, now := connlease.LeaseKey{Node: node, Tenant: tenant}, b.loop.since()
	own, ok := b.holder.Open(k, now)
	switch {
	case !ok:
		b.needs.Observe(k, float64(b.holder.OpenConnections(k)+1))
		b.countAttempts(tenant, 0, 1)
		return store.No
	case own:
		return store.Own
	}
	return store.Floor
}

// Closed is told by the pool that a connection has ended.
func (b *connectionLeases) Closed(node decision.NodeID, tenant int, byNode bool) {
	b.holder.RecordClosed(connlease.LeaseKey{Node: node, Tenant: tenant}, byNode, b.loop.since())
}

// handleView applies the policy and the grants of a view.
func (b *connectionLeases) handleView(v *controlplane.View) {
	b.view, b.due = v, 0
	if v.Index == 0 {
		return
	}
	if p := v.Policy; p != nil && p.Version != b.version {
		compiled, err := connpolicy.Compile("agreed", p.Text)
		if err != nil { // it was agreed by a program that reads it otherwise: the floors of its entry hold, and nothing above them
			slog.Error("the agreed policy does not compile here: only floors are used", "version", p.Version, "error", err)
			b.mapTenants(nil)
		} else {
			b.mapTenants(compiled.Tenants)
			b.closing = compiled.Closing
			b.holder.SetCloseDelay(b.closing)
		}
		b.version = p.Version
	}
	b.updateFloors(v)
	if h := v.Lease; h.Number > 0 && !h.Ended && h.Incarnation == v.Self.Incarnation && v.Self.Incarnation > 0 && v.Policy != nil {
		if h.Incarnation != b.grantIncarnation { // one that was forgotten and came back: its grants are numbered anew
			b.grantIncarnation = h.Incarnation
			b.holder.AcceptAnyNumber()
		}
		if rows := b.grantedRows(h.Granted); b.holder.AcceptGrant(h.Number, rows, v.LeaseEnd) && len(rows) > 0 && !b.holdsLogged {
			b.holdsLogged = true
			slog.Info("fleet: holds connections above the floors", "number", h.Number, "rows", len(rows))
		}
		if h.Acknowledged {
			b.holder.RecordAcked(h.Number)
		}
	} else {
		b.holdsLogged = false
	}
}

// updateFloors sets the floors: those of the policy in force and, where another waits, the lower of both. Danger: with no policy known
// one may have been agreed by brokers that this one can't hear; so it opens freely only while its session's lease runs.
func (b *connectionLeases) updateFloors(v *controlplane.View) {
	if v.Policy == nil {
		if v.LeaseHeld(b.loop.since()) {
			b.holder.SetUnlimited()
		} else {
			b.holder.SetReserved(nil, 1)
		}
		return
	}
	versions := [2]uint64{v.Policy.Version, v.Policy.Version}
	if v.WaitingPolicy != nil {
		versions[1] = v.WaitingPolicy.Version
	}
	if b.agreedVersion = versions[1]; versions == b.floorVersions && b.floors != nil {
		return
	}
	floors := map[decision.NodeID]int{}
	for _, one := range v.Policy.Budgets {
		floors[one.Node] = int(one.ReservedPerBroker)
	}
	if v.WaitingPolicy != nil {
		lower := map[decision.NodeID]int{}
		for _, one := range v.WaitingPolicy.Budgets {
			lower[one.Node] = int(one.ReservedPerBroker)
		}
		for id, floor := range floors {
			floors[id] = min(floor, lower[id])
		}
	}
	b.floors, b.floorVersions = floors, versions
	b.holder.SetReserved(floors, 1)
}

// grantedRows are a grant's rows under the settings' tenants.
func (b *connectionLeases) grantedRows(of []statemachine.LeaseRow) (rows []connlease.ConnectionCount) {
	for _, r := range of {
		for i, name := range b.names {
			if name == r.Tenant && b.policyTenant[i] >= 0 {
				rows = append(rows, connlease.ConnectionCount{LeaseKey: connlease.LeaseKey{Node: r.Node, Tenant: i}, Connections: int(r.Connections)})
			}
		}
	}
	return rows
}
