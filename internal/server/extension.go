package server

import (
	"math"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// extension is an optional part of the broker that the loop calls besides the router. All calls come from the loop's goroutine.
type extension interface {
	// handle handles a message if it is for this extension. It returns true if no other extension is to get the message.
	handle(m message) bool
	// tick does what is due at now and returns the time at which it must be called again.
	tick(now time.Duration) time.Duration
	// report adds the extension's state to the counters.
	report(c *QueryCounters)
}

// notDue is returned by tick if nothing becomes due by the passing of time.
const notDue time.Duration = math.MaxInt64

// Extensions tick, and are offered messages, in this order. Leases come first, so that surplus connections are closed before attempts are sent.
const (
	connectionLeasesExtension = iota
	cachedListExtension
	gatewayExtension
	admissionExtension
	membershipExtension
	controlPlaneExtension
	readPinsExtension
	extensionCount
)

// host is the part of the loop that every extension may use.
type host interface {
	since() time.Duration
	stats() *QueryCounters
	post(e decision.Event)
}

// endpointHost is the part of the loop that extensions which work on endpoints may use.
type endpointHost interface {
	host
	endpoints() map[decision.NodeID]discovery.Node // read only
	applyList(list *discovery.List)
	connections() *store.Pool
}

// stats returns the loop's counters, which the caller may change.
func (l *loop) stats() *QueryCounters { return &l.counters }

// post adds an event for the next step of the router.
func (l *loop) post(e decision.Event) { l.events = append(l.events, e) }

// endpoints returns the nodes as last listed.
func (l *loop) endpoints() map[decision.NodeID]discovery.Node { return l.nodes }

// connections returns the pool of connections to nodes.
func (l *loop) connections() *store.Pool { return l.pool }
