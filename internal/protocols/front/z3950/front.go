// Package z3950 is the front for clients that speak Z39.50 version 3: init, search, present, delete, close. Each search runs as one
// query of the broker; its result set is kept for present requests, within the bounds of the settings. All pages of a result set are
// of the same records, and a partial result is never presented as complete.
//
// Depends on config/operator, decision/pacing, decision/resultset, protocols/catalogue, protocols/front, protocols/query,
// protocols/z3950, server, transport/clientconn, transport/lookahead. Concurrency: each session has a goroutine, which ends with the caller's context; a mutex
// guards the result sets.
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
	"flaxfront/internal/decision/pacing"
	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
	"flaxfront/internal/transport/clientconn"
	"flaxfront/internal/transport/lookahead"
	"flaxfront/internal/transport/membudget"
)

const (
	initTimeout     = 2500 * time.Millisecond // for a connection's first message to arrive completely
	messageTimeout  = 10 * time.Second        // for any other message, from its first byte
	writeTimeout    = 10 * time.Second
	readGrace       = 250 * time.Millisecond // for a message that has begun to arrive, and for a new session
	maxLookahead    = 16 << 10               // bytes read ahead of a client's next requests while one is being answered
	minMessageBytes = 1 << 10                // least message and record size, even if the client asks for less
)

// Bib-1 diagnostics that the front itself sends.
const (
	systemError                 = 2   // temporary system error
	presentOutOfRange           = 13  // present request out of range
	recordTooLarge              = 17  // record exceeds the exceptional record size
	resourcesExhausted          = 31  // resources exhausted: no records available
	noSuchResultSet             = 30  // specified result set does not exist
	resultSetDeleted            = 27  // result set no longer exists - unilaterally deleted by target
	databaseUnavailable         = 109 // database unavailable
	unsupportedSyntax           = 239 // record syntax not supported
	illegalResultSetName        = 128 // illegal result set name
	resultSetExists             = 21  // result set exists and replace indicator off
	unsupportedResultSetOperand = 18  // result set not supported as a search term
	unsupportedAttributeSet     = 121 // unsupported attribute set
)

// Front serves Z39.50 clients on one listener.
type Front struct {
	broker   front.Broker
	ask      *front.Searcher
	o        operator.Z3950
	listener net.Listener

	connections *clientconn.Set
	pacing      *pacing.Limiter
	memory      server.FrontMemory
	lastID      uint64 // of a session; used by Serve only
	running     sync.WaitGroup

	mu         sync.Mutex
	resultSets *resultset.Sets
}

type session struct {
	net.Conn
	f           *Front
	id          uint64
	ahead       *lookahead.Reader
	reader      *bufio.Reader // reads from ahead
	messageSize int           // preferred message size in bytes
	recordSize  int           // greatest record size in bytes
	operations  int
	state       *clientconn.Conn
	pace        pacing.Connection
	request     membudget.Account // memory of the message that is being read or answered
	response    membudget.Account // memory of the answer that is being written
}

// Listen opens a front's listener. An unknown query type or tenant is an error.
func Listen(b front.Broker, o operator.Z3950) (*Front, error) {
	f := &Front{broker: b, o: o, pacing: pacing.NewLimiter(), memory: b.FrontMemory()}
	f.resultSets = resultset.New(resultset.Limits{
		Bytes:          f.memory.LimitResultSets(o.Bytes),
		SetsPerSession: o.MaxResultSets,
		Sessions:       o.Sessions,
		Age:            o.Age,
	})
	f.connections = clientconn.NewSet(clientconn.Limits{Connections: o.Sessions, Used: o.Sessions, ReadGrace: readGrace})
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
	stop := context.AfterFunc(ctx, func() { f.listener.Close() })
	defer stop()
	for {
		time.Sleep(f.connections.AcceptPause())
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
		f.lastID++
		ahead := lookahead.New(conn, f.broker.Uptime, maxLookahead, f.memory.Requests)
		s := &session{Conn: conn, f: f, id: f.lastID, ahead: ahead, reader: bufio.NewReaderSize(ahead, 4<<10), messageSize: 1 << 20, recordSize: 1 << 20}
		s.request.Open(f.memory.Requests, f.memory.Guaranteed)
		s.response.Open(f.memory.Answers, 0)
		s.state = clientconn.NewConn(func() { conn.SetReadDeadline(pastDeadline) })
		if !f.connections.Admit(s.state) {
			s.reject()
			continue
		}
		if s.state.OverLimit() {
			f.connections.Remove(s.state)
			s.reject()
			continue
		}
		f.running.Go(func() { s.run(ctx) })
	}
}

// pastDeadline is a read deadline in the past: it wakes a blocked reader.
var pastDeadline = time.Unix(1, 0)

// reject ends a session for which there is no capacity, with a Close message that tells the client the reason.
func (s *session) reject() {
	s.SetWriteDeadline(time.Now().Add(time.Second))
	s.Write(z3950.Encode(&z3950.Close{Reason: 4, Text: "no session is free"}))
	s.Close()
}

// run serves a session until its end, or that of ctx, and drops what was kept for it.
func (s *session) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	reason := s.serve(ctx)
	s.Close()
	s.release()
	s.ahead.Release()
	s.f.connections.Remove(s.state)
	s.f.mu.Lock()
	s.f.resultSets.EndSession(s.id)
	s.f.mu.Unlock()
	slog.Info("z39.50 session ended", "from", s.RemoteAddr(), "reason", reason, "operations", s.operations)
}

// Drain accepts no more sessions. Idle sessions are closed with a Close message, the others once their operation is answered.
func (f *Front) Drain() {
	f.listener.Close()
	f.connections.CloseIdle()
}
