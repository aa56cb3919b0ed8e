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
	demandDecayTime   = 2 * time.Second // half-life with which measured demand decays once it is gone
	defaultCloseDelay = time.Second     // closeDelay where no policy sets it
)

// connectionLeases is the extension for connection leases, which divide the connections to nodes among brokers. It decides which
// connections the pool may open, measures how many this broker needs, and closes those that no lease covers any more.
type connectionLeases struct {
	loop             endpointHost
	holder           *connlease.Holder
	demand           *connlease.DemandTracker
	streams          int                                                 // attempts that a connection carries at once, at most
	tenantNames      []string                                            // as in the settings
	policyTenant     []int                                               // tenants' indices in the policy by those in the settings; -1: not named
	version          uint64                                              // of the policy that policyTenant refers to
	agreedVersion    uint64                                              // version of the newest policy, in force or waiting
	grantIncarnation uint64                                              // the incarnation that the grants held are for
	reservedVersions [2]uint64                                           // of the policies in force and waiting; reserved has the lower counts
	reserved         map[decision.NodeID]int                             // connections to each node that need no lease
	nextTick         time.Duration                                       // when tick has work again
	view             *controlplane.View                                  // nil: none has been received
	demandReport     atomic.Pointer[[]byte]                              // demand, encoded for load reports
	nodes            atomic.Pointer[map[decision.NodeID]connpolicy.Node] // known nodes, for the leader's tasks
	proposeEntry     func(e statemachine.Entry)                          // must not block
	closeDelay       time.Duration                                       // within which a node notices that a connection was closed
	stopped          bool                                                // no connection is opened any more
	holdLogged       bool                                                // "connection leases held" has been logged
	proposedAt       time.Duration                                       // when an entry was last proposed
	attempts         []attemptCounts                                     // by tenant
}

func newConnectionLeases(streams int, tenants []string) *connectionLeases {
	b := &connectionLeases{
		holder:      connlease.NewHolder(defaultCloseDelay),
		demand:      connlease.NewDemandTracker(demandDecayTime),
		streams:     streams,
		tenantNames: tenants,
		attempts:    make([]attemptCounts, len(tenants)),
		closeDelay:  defaultCloseDelay,
	}
	b.holder.SetReserved(nil, 1) // until a view brings the agreed policy
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
		return false // the control plane's extension needs it too
	case leaseReleaseRequested:
		m.reply <- b.release()
		return true
	}
	return false
}

// report adds nothing: the leases held are part of the control plane's view.
func (b *connectionLeases) report(*QueryCounters) {}

// mapTenants maps the tenants of the settings to their indices in a policy.
func (b *connectionLeases) mapTenants(tenants []string) {
	b.policyTenant = make([]int, len(b.tenantNames))
	for i := range b.policyTenant {
		b.policyTenant[i] = -1
	}
	for j, name := range tenants {
		for i := range b.tenantNames {
			if b.tenantNames[i] == name {
				b.policyTenant[i] = j
			}
		}
	}
}

// Open tells the pool whether it may open a connection to a node for a tenant, and whether as a leased or as a reserved one.
func (b *connectionLeases) Open(node decision.NodeID, tenant int) store.OpenDecision {
	if b.stopped {
		return store.Denied
	}
	k, now := connlease.LeaseKey{Node: node, Tenant: tenant}, b.loop.since()
	switch b.holder.Open(k, now) {
	case connlease.OpenDenied:
		b.demand.Observe(k, float64(b.holder.OpenConnections(k)+1))
		b.countAttempts(tenant, 0, 1)
		return store.Denied
	case connlease.OpenLeased:
		return store.OpenForTenant
	}
	return store.OpenShared
}

// Closed records that a connection of the pool has ended. byNode is true if the node closed it.
func (b *connectionLeases) Closed(node decision.NodeID, tenant int, byNode bool) {
	b.holder.RecordClosed(connlease.LeaseKey{Node: node, Tenant: tenant}, byNode, b.loop.since())
}
