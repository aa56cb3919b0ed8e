// Package connlease implements both sides of a connection lease, which limits how many connections a broker may have open to each node
// and until when.
//
//	Granter (the leader)                           Holder (each broker)
//	tracks when each lease has certainly expired   counts connections that nodes may still count, by node and tenant
//	proposes grants and expiries                   applies the newest grant until its lease expires
//
// A broker may always open its reserved connections to a node. Beyond those it may open what its lease grants for a tenant.
//
//	granted ──► usable ──► winding down ──► ending ──► expired
//	                       no new            connections above
//	                       connections       the reserve are
//	                       above the         closed at once
//	                       reserve
//
// Invariants:
//
//   - A lease ends for its holder before it ends for the granter, as long as their clock rates differ by less than 1%.
//   - The holder acknowledges a grant only once all connections that nodes may still count are within it.
//   - The granter proposes no further grant for a broker that has not acknowledged its last one, and never more than a budget leaves.
//
// Package decision/fairshare divides the connections among brokers. The state machine rejects a grant that exceeds a budget, whoever
// proposes it.
//
// Concurrency: nothing here locks, starts a goroutine or reads a clock; times are parameters. A value is used by one goroutine at a
// time.
package connlease

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// clockDriftDivisor bounds clock drift: a clock gains or loses at most 1/clockDriftDivisor of the elapsed time. Clocks of different rates
// measure a lease differently, so the holder subtracts this margin and the granter adds it. With more drift a budget may be exceeded.
const clockDriftDivisor = 100

// HolderExpiry returns when a lease ends for its holder, whose clock may be slow. The lease counts from before the request was sent.
func HolderExpiry(requestedAt, lease time.Duration) time.Duration {
	return requestedAt + lease - lease/clockDriftDivisor
}

// GranterExpiry returns when a lease has certainly ended for its granter, whose clock may be fast. The lease counts from after the grant.
func GranterExpiry(grantedAt, lease time.Duration) time.Duration {
	return grantedAt + lease + lease/clockDriftDivisor
}

// LeaseKey identifies the node and tenant that connections are counted by.
type LeaseKey struct {
	Node   decision.NodeID
	Tenant int
}

// CompareKeys orders keys by node, then by tenant.
func CompareKeys(a, b LeaseKey) int {
	return cmp.Or(
		slices.Compare(a.Node.Addr[:], b.Node.Addr[:]),
		cmp.Compare(a.Node.Port, b.Node.Port),
		cmp.Compare(a.Tenant, b.Tenant),
	)
}

// ConnectionCount is a number of connections of a tenant to a node.
type ConnectionCount struct {
	LeaseKey
	Connections int
}

func compareCounts(a, b ConnectionCount) int { return CompareKeys(a.LeaseKey, b.LeaseKey) }
