package server

import (
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
	leaseInterval     = 100 * time.Millisecond
	demandDecayTime   = 2 * time.Second // of a need that is gone
	defaultCloseDelay = time.Second     // within which a node notices a close, where no policy says otherwise
)

// connectionLeases is the extension that divides connections to nodes among brokers: which ones the pool may open by the leases that this
// broker holds, how many it needs, and which it has to close.
type connectionLeases struct {
	loop             endpointHost
	holder           *connlease.Holder
	demand           *connlease.DemandTracker
	streams          int                                                 // attempts that a connection carries at once
	tenants          []string                                            // tenants of the settings
	policyTenant     []int                                               // index in the policy by index in the settings; -1: the policy does not name it
	version          uint64                                              // of the policy that the tenants' indices belong to
	agreedVersion    uint64                                              // newest policy, in force or waiting
	grantIncarnation uint64                                              // incarnation whose grants are held
	reservedVersions [2]uint64                                           // policies whose floors are kept to, the lower of both
	reserved         map[decision.NodeID]int                             // connections to a node that need no lease
	nextTick         time.Duration                                       // the next tick that does anything
	view             *controlplane.View                                  // nil: none was received
	demandReport     atomic.Pointer[[]byte]                              // for load reports
	nodes            atomic.Pointer[map[decision.NodeID]connpolicy.Node] // for the leader's goroutine
	proposeEntry     func(e statemachine.Entry)                          // must not wait
	closeDelay       time.Duration                                       // within which a node notices a close
	stopped          bool                                                // nothing is opened any more
	holdLogged       bool                                                // it was logged that leases are held
	proposedAt       time.Duration                                       // when an entry was last proposed, so that it is not proposed with each tick
	attempts         []attemptCounts                                     // by tenant
}

func newConnectionLeases(streams int, tenants []string) *connectionLeases {
	b := &connectionLeases{
		holder:     connlease.NewHolder(defaultCloseDelay),
		demand:     connlease.NewDemandTracker(demandDecayTime),
		streams:    streams,
		tenants:    tenants,
		attempts:   make([]attemptCounts, len(tenants)),
		closeDelay: defaultCloseDelay,
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
	b.policyTenant = make([]int, len(b.tenants))
	for i := range b.policyTenant {
		b.policyTenant[i] = -1
	}
	for j, name := range tenants {
		for i := range b.tenants {
			if b.tenants[i] == name {
				b.policyTenant[i] = j
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
	switch b.holder.Open(k, now) {
	case connlease.OpenDenied:
		b.demand.Observe(k, float64(b.holder.OpenConnections(k)+1))
		b.countAttempts(tenant, 0, 1)
		return store.No
	case connlease.OpenLeased:
		return store.Own
	}
	return store.Floor
}

// Closed is told by the pool that a connection has ended.
func (b *connectionLeases) Closed(node decision.NodeID, tenant int, byNode bool) {
	b.holder.RecordClosed(connlease.LeaseKey{Node: node, Tenant: tenant}, byNode, b.loop.since())
}
