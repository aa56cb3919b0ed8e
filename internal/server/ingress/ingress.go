package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// Broker is what ingress needs of the rest of the server. Its methods may be called from any goroutine.
type Broker interface {
	// Submit hands a query to the event loop; false: the broker has ended.
	Submit(s query.Submission) (query.Pending, bool)
	// Settings are those in force.
	Settings() *terms.Terms
	// Since is the time since the broker's start.
	Uptime() time.Duration
	// Draining tells whether a graceful shutdown has begun.
	Draining() bool
	// CountersJSON is the broker's counters as one line of JSON.
	CountersJSON() string
}

// Limits bounds the client connections.
type Limits struct {
	Connections int           // open at once; Overflow more may be for a moment
	Used        int           // open at once that have brought a request
	ReadGrace   time.Duration // in which a request that has begun arrives as a rule
	AcceptTail  time.Duration // longest that connections are accepted after StopAccepting
}

// Overflow is how many connections may be open beyond the limit for a moment: those about to be closed, and those that exceed it.
const Overflow = 8

// Options of an Ingress.
type Options struct {
	Limits
	// IgnoredReadHints counts read hints that can't be obeyed; nil: hints are not looked at.
	IgnoredReadHints *atomic.Uint64
}

// Counters of client connections and of what was wrong with them.
type Counters struct {
	Accepted    atomic.Uint64 // connections
	Closed      atomic.Uint64 // connections
	BadRequests atomic.Uint64
	Unwritten   atomic.Uint64 // answers to queries that could not be written
}

// Ingress serves the client connections of a listener.
type Ingress struct {
	Counters Counters

	listener    net.Listener
	broker      Broker
	options     Options
	connections connectionSet
	serving     sync.WaitGroup // connections
	acceptEnded chan struct{}  // closed when no more connections are accepted
}

// New makes an Ingress; nothing is accepted before Run. The listener stays the caller's to close.
func New(listener net.Listener, broker Broker, options Options) *Ingress {
	return &Ingress{
		listener:    listener,
		broker:      broker,
		options:     options,
		connections: newConnectionSet(options.Limits),
		acceptEnded: make(chan struct{}),
	}
}

// Run accepts and serves connections until the listener is closed, and returns when the last of them has ended. The end of ctx closes
// them all.
func (in *Ingress) Run(ctx context.Context) error {
	in.accept(ctx)
	in.serving.Wait()
	return nil
}

// CloseIdle closes idle connections, now and whenever one falls idle.
func (in *Ingress) CloseIdle() { in.connections.closeIdle() }

// Wait returns when every connection has ended. It comes after StopAccepting.
func (in *Ingress) Wait() { in.serving.Wait() }

// Connections is a snapshot of the open connections, in no order.
func (in *Ingress) Connections() []ConnectionInfo { return in.connections.snapshot() }

// ReclaimIdle ends the connection whose descriptor can best be spared, and tells whether there was one.
func (in *Ingress) ReclaimIdle() bool {
	in.connections.mu.Lock()
	defer in.connections.mu.Unlock()
	return in.connections.reclaim()
}
