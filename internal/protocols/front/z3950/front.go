// Package z3950 is the front for clients that speak Z39.50 version 3: init, search, present, delete, close. Each search goes through
// the broker's loop like any other and has one answer; what a client presents from is kept here, within bounds. It owns the
// listener, the sessions and their time limits. It must never present a page of another answer than the search's, call a partial
// answer whole, or hold more of a session than stated.
//
// Depends on config/operator, decision/resultset, protocols/catalogue, protocols/front, protocols/query,
// protocols/z3950, server. Concurrency: goroutines of its own, which the caller's context ends; what they
// share with callers is behind a lock or an atomic value.
package z3950

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/z3950"
)

const (
	initTimeout     = 2500 * time.Millisecond // a connection's first message is whole by then
	messageTimeout  = 10 * time.Second        // any other, from its first byte
	writeTimeout    = 10 * time.Second
	minMessageBytes = 1 << 10 // of a message, whatever a client prefers
)

// Diagnostics of Bib-1 that the front itself gives.
const (
	systemError          = 2   // temporary system error
	presentOutOfRange    = 13  // present request out of range
	recordTooLarge       = 17  // record exceeds the exceptional record size
	resourcesExhausted   = 31  // resources exhausted: no records available
	noSuchResultSet      = 30  // specified result set does not exist
	resultSetDeleted     = 27  // result set no longer exists - unilaterally deleted by target
	databaseUnavailable  = 109 // database unavailable
	unsupportedSyntax    = 239 // record syntax not supported
	illegalResultSetName = 128 // illegal result set name
)

// Front is a listener.
type Front struct {
	broker   front.Broker
	ask      *front.Searcher
	o        operator.Z3950
	listener net.Listener

	mu         sync.Mutex
	resultSets *resultset.Sets
	sessions   map[uint64]*session
	lastID     uint64
	draining   bool
	running    sync.WaitGroup
}

type session struct {
	net.Conn
	f           *Front
	id          uint64
	reader      *bufio.Reader
	messageSize int  // bytes of a message
	recordSize  int  // bytes of a record
	busy        bool // under the front's mu
	operations  int
}

// Listen opens a front; an unknown type or tenant is an error.
func Listen(b front.Broker, o operator.Z3950) (*Front, error) {
	f := &Front{broker: b, o: o, sessions: map[uint64]*session{}, resultSets: resultset.New(resultset.Limits{Bytes: o.Bytes, SetsPerSession: o.MaxResultSets,
		Sessions: o.Sessions, Age: o.Age})}
	var err error
	if f.ask, err = front.NewSearcher(b, "z3950", o.Type, o.Tenant); err == nil {
		f.listener, err = net.Listen("tcp", o.Listen)
	}
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve takes sessions until ctx ends or Drain is called.
func (f *Front) Serve(ctx context.Context) error {
	defer f.ask.LogCounts("z3950")
	stop := context.AfterFunc(ctx, func() { f.interruptSessions(func(*session) bool { return true }) })
	defer stop()
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			f.running.Wait()
			return nil
		}
		if err != nil { // such as no descriptor left
			slog.Warn("z39.50: accept failed", "error", err)
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		s := &session{Conn: conn, f: f, reader: bufio.NewReaderSize(conn, 4<<10), messageSize: 1 << 20, recordSize: 1 << 20}
		f.mu.Lock()
		full := len(f.sessions) >= f.o.Sessions || f.draining
		if f.lastID++; !full {
			s.id = f.lastID
			f.sessions[s.id] = s
			f.running.Add(1)
		}
		f.mu.Unlock()
		if full { // said in the protocol, so that a client knows
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write(z3950.Encode(&z3950.Close{Reason: 4, Text: "no session is free"}))
			conn.Close()
			continue
		}
		go func() {
			defer f.running.Done()
			reason := s.serve(ctx)
			conn.Close()
			f.mu.Lock()
			delete(f.sessions, s.id)
			f.resultSets.EndSession(s.id)
			f.mu.Unlock()
			slog.Info("z39.50 session ended", "from", conn.RemoteAddr(), "reason", reason, "operations", s.operations)
		}()
	}
}

// Drain takes no more sessions; those that wait for nothing are told that this side closes, the others once they are answered.
func (f *Front) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.listener.Close()
	f.interruptSessions(func(s *session) bool { return !s.busy })
}

// interruptSessions wakes the readers of some sessions, which then close.
func (f *Front) interruptSessions(which func(*session) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener.Close()
	for _, s := range f.sessions {
		if which(s) {
			s.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// setBusy notes whether a session has an operation in hand; true: it is to end.
func (s *session) setBusy(busy bool) (ending bool) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.busy = busy
	return s.f.draining
}
