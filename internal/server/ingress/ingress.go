package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/decision/reclaim"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/membudget"
)

// Broker is the part of the server that ingress depends on. Its methods may be called from any goroutine.
type Broker interface {
	// Submit hands a query to the event loop. It reports false if the broker has ended.
	Submit(s query.Submission) (query.Pending, bool)
	// Settings returns the settings in force.
	Settings() *terms.Terms
	// Uptime returns the time since the broker's start.
	Uptime() time.Duration
	// Draining reports whether a graceful shutdown has begun.
	Draining() bool
	// CountersJSON returns the broker's counters as one line of JSON.
	CountersJSON() string
}

// Options configure an Ingress.
type Options struct {
	clientconn.Limits
	AcceptTail      time.Duration     // maximum time for which connections are accepted after StopAccepting
	Memory          *membudget.Budget // for requests that are being read or answered; nil: unlimited
	GuaranteedBytes int               // of each connection's request, for which the budget is not needed
	// IgnoredReadHints counts read hints that can't be parsed; nil: read hints are not read at all.
	IgnoredReadHints *atomic.Uint64
}

// Counters count client connections and faults on them.
type Counters struct {
	Accepted    atomic.Uint64 // connections
	Closed      atomic.Uint64 // connections
	BadRequests atomic.Uint64
	Unwritten   atomic.Uint64 // answers to queries that could not be written to the client
	NoMemory    atomic.Uint64 // requests that were refused as there was no memory to read them
	Paced       atomic.Uint64 // requests that were read later, as their client sends too fast
}

// Ingress serves the client connections of a listener.
type Ingress struct {
	Counters Counters

	listener    net.Listener
	broker      Broker
	options     Options
	connections *clientconn.Set
	pacing      *pacing.Limiter
	logLimit    sharedLogLimit
	serving     sync.WaitGroup // goroutines that serve connections
	acceptEnded chan struct{}  // closed when no more connections are accepted
}

// New returns an Ingress for a listener. It accepts no connection before Run, and does not close the listener, except in StopAccepting.
func New(listener net.Listener, broker Broker, options Options) *Ingress {
	return &Ingress{
		listener:    listener,
		broker:      broker,
		options:     options,
		connections: clientconn.NewSet(options.Limits),
		pacing:      pacing.NewLimiter(),
		acceptEnded: make(chan struct{}),
	}
}

// Run accepts and serves connections until the listener is closed, and returns nil when the last connection has ended. The end of ctx
// closes all connections.
func (in *Ingress) Run(ctx context.Context) error {
	in.accept(ctx)
	in.serving.Wait()
	return nil
}

// CloseIdle closes all idle connections, and from now on each connection that becomes idle.
func (in *Ingress) CloseIdle() { in.connections.CloseIdle() }

// Wait returns when every connection has ended. It must be called after StopAccepting.
func (in *Ingress) Wait() { in.serving.Wait() }

// Count returns how many connections are open in a state.
func (in *Ingress) Count(state reclaim.State) int { return in.connections.Count(state) }

// Connections returns a snapshot of the open connections, in no particular order.
func (in *Ingress) Connections() []clientconn.Info { return in.connections.Snapshot() }

// ReclaimIdle ends one connection to free its descriptor, an idle one first, and reports whether there was one to end.
func (in *Ingress) ReclaimIdle() bool { return in.connections.Reclaim() }
