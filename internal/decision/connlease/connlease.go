// Package connlease decides who may hold which connections to nodes, and when: both sides of a connection lease.
//
//	Granter (the leader)                          Holder (each broker)
//	when each lease has expired for sure          connections open or not yet surely gone, by node and tenant
//	which grants and expiries to propose          what the newest grant allows, and until when
//
// A broker may always open its reserved connections to a node, and above them those that its lease grants for a tenant.
//
//	granted ──► usable ──► winding down ──► ending ──► expired
//	                       nothing new       all above the reserve
//	                       above the reserve is closed at once
//
// Invariants:
//
//   - The holder's end of a lease comes before the granter's, as far as their clocks differ by less than one part in a hundred.
//   - The holder acknowledges a grant only when all that nodes may still count is within it.
//   - The granter proposes nothing more for a broker that has not acknowledged its last grant, nor more than a budget leaves.
//
// Dividing connections among brokers is decision/fairshare's; the state machine rejects what would not fit, whoever proposes it.
//
// Concurrency: nothing here locks, starts a goroutine or reads a clock: times are parameters. A value is used by one goroutine at a
// time.
package connlease

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// clockDriftDivisor bounds how far a clock strays: one part in so many. Two clocks that run at different speeds measure different
// leases, so each side takes that much off or adds it. A clock that strays further breaks the budget's bound.
const clockDriftDivisor = 100

// HolderExpiry is when a lease ends for its holder: counted from before it asked, by a clock that may be slow.
func HolderExpiry(requestedAt, lease time.Duration) time.Duration {
	return requestedAt + lease - lease/clockDriftDivisor
}

// GranterExpiry is when a lease has surely ended, seen by its granter: counted from after it was given, by a clock that may be fast.
func GranterExpiry(grantedAt, lease time.Duration) time.Duration {
	return grantedAt + lease + lease/clockDriftDivisor
}

// LeaseKey is what connections are counted by.
type LeaseKey struct {
	Node   decision.NodeID
	Tenant int
}

// CompareKeys orders keys.
func CompareKeys(a, b LeaseKey) int {
	return cmp.Or(
		slices.Compare(a.Node.Addr[:], b.Node.Addr[:]),
		cmp.Compare(a.Node.Port, b.Node.Port),
		cmp.Compare(a.Tenant, b.Tenant),
	)
}

// ConnectionCount is a number of connections.
type ConnectionCount struct {
	LeaseKey
	Connections int
}

func compareCounts(a, b ConnectionCount) int { return CompareKeys(a.LeaseKey, b.LeaseKey) }
