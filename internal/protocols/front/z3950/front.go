// Package z3950 is the front for clients that speak Z39.50 version 3: init, search, present, delete, close. Each search runs as one
// query of the broker; its result set is kept for present requests, within the bounds of the settings. All pages of a result set are
// of the same records, and a partial result is never presented as complete.
//
// Depends on config/operator, decision/resultset, protocols/catalogue, protocols/front, protocols/query,
// protocols/z3950, server. Concurrency: each session has a goroutine, which ends with the caller's context; a mutex
// guards the sessions and the result sets.
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
	initTimeout     = 2500 * time.Millisecond // for a connection's first message to arrive completely
	messageTimeout  = 10 * time.Second        // for any other message, from its first byte
	writeTimeout    = 10 * time.Second
	minMessageBytes = 1 << 10 // least message and record size, even if the client asks for less
)

// Bib-1 diagnostics that the front itself sends.
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

// Front serves Z39.50 clients on one listener.
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
	messageSize int  // preferred message size in bytes
	recordSize  int  // greatest record size in bytes
	busy        bool // an operation is in flight; guarded by the front's mu
	operations  int
}

// Listen opens a front's listener. An unknown query type or tenant is an error.
func Listen(b front.Broker, o operator.Z3950) (*Front, error) {
	f := &Front{broker: b, o: o, sessions: map[uint64]*session{}, resultSets: resultset.New(resultset.Limits{Bytes: o.Bytes, SetsPerSession: o.MaxResultSets,
		Sessions: o.Sessions, Age: o.Age})}
	var err error
	if f.ask, err = front.NewSearcher(b, "z3950", o.Type, o.Tenant); err == nil {
		f.listener, err = net.Listen("tcp", o.Listen)
	}
	return f, err
}

// Addr returns the listener's address.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// Serve accepts sessions until ctx ends or Drain is called, then waits for the open ones.
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
		if err != nil { // such as no free file descriptor
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
		if full { // a Close message tells the client the reason
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

// Drain accepts no more sessions. Idle sessions are closed with a Close message, the others once their operation is answered.
func (f *Front) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.listener.Close()
	f.interruptSessions(func(s *session) bool { return !s.busy })
}

// interruptSessions closes the listener and interrupts the reads of the selected sessions, which then end.
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

// setBusy records whether the session has an operation in flight, and reports whether the session must end because the front drains.
func (s *session) setBusy(busy bool) (ending bool) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.busy = busy
	return s.f.draining
}
