package server

import (
	"math"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// extension is what the loop calls besides the router. All calls come from the loop's goroutine.
type extension interface {
	// handle takes a message and reports whether it was for this extension alone.
	handle(m message) bool
	// tick does what is due at now and returns when to be called again.
	tick(now time.Duration) time.Duration
	// report adds the extension's state to the counters.
	report(c *QueryCounters)
}

// notDue is when an extension without work of its own has to be called again.
const notDue time.Duration = math.MaxInt64

// Extensions tick, and are offered messages, in this order: leases come first, so that surplus connections are closed before anything is sent.
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

// host is what every extension may use of the loop.
type host interface {
	since() time.Duration
	stats() *QueryCounters
	post(e decision.Event)
}

// endpointHost is what extensions that work on endpoints may use.
type endpointHost interface {
	host
	endpoints() map[decision.NodeID]discovery.Node // read only
	applyList(list *discovery.List)
	connections() *store.Pool
}

// stats are the loop's counters.
func (l *loop) stats() *QueryCounters { return &l.counters }

// post adds an event for the next step of the router.
func (l *loop) post(e decision.Event) { l.events = append(l.events, e) }

// endpoints are the nodes as last listed.
func (l *loop) endpoints() map[decision.NodeID]discovery.Node { return l.nodes }

// connections is the pool of connections to nodes.
func (l *loop) connections() *store.Pool { return l.pool }
