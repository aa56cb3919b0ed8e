// Package z3950 is the front for clients that speak Z39.50 version 3: init, search, present, delete, close. Each search goes through
// the broker's loop like any other and has one answer; what a client presents from is kept here, within bounds. It owns the
// listener, the sessions and their time limits. It must never present a page of another answer than the search's, call a partial
// answer whole, or hold more of a session than stated.
//
// Depends on config/operator, decision/sets, protocols/catalogue, protocols/front, protocols/query,
// protocols/z3950, server. Concurrency: goroutines of its own, which the caller's context ends; what they
// share with callers is behind a lock or an atomic value.
package z3950

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision/sets"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/front"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

const (
	initWithin  = 2500 * time.Millisecond // a connection's first message is whole by then
	wholeWithin = 10 * time.Second        // any other, from its first byte
	writeWithin = 10 * time.Second
	leastBytes  = 1 << 10 // of a message, whatever a client prefers
)

// Diagnostics of Bib-1 that the front itself gives.
const (
	systemError    = 2   // temporary system error
	outOfRange     = 13  // present request out of range
	tooLarge       = 17  // record exceeds the exceptional record size
	resourcesShort = 31  // resources exhausted: no records available
	noSuchSet      = 30  // specified result set does not exist
	setGone        = 27  // result set no longer exists - unilaterally deleted by target
	noDatabase     = 109 // database unavailable
	badSyntax      = 239 // record syntax not supported
	badName        = 128 // illegal result set name
)

// Front is a listener.
type Front struct {
	broker front.Broker
	ask    *front.Asker
	o      operator.Z3950
	ln     net.Listener

	mu       sync.Mutex
	sets     *sets.Sets
	sessions map[uint64]*session
	last     uint64
	draining bool
	all      sync.WaitGroup
}

type session struct {
	net.Conn
	f      *Front
	id     uint64
	in     *bufio.Reader
	most   int  // bytes of a message
	record int  // bytes of a record
	busy   bool // under the front's mu
	ops    int
}

// Listen opens a front; an unknown type or tenant is an error.
func Listen(b front.Broker, o operator.Z3950) (*Front, error) {
	f := &Front{broker: b, o: o, sessions: map[uint64]*session{}, sets: sets.New(sets.Limits{Bytes: o.Bytes, PerSession: o.Sets,
		Sessions: o.Sessions, Age: o.Age})}
	var err error
	if f.ask, err = front.NewAsker(b, "z3950", o.Type, o.Tenant); err == nil {
		f.ln, err = net.Listen("tcp", o.Listen)
	}
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve takes sessions until ctx ends or Drain is called.
func (f *Front) Serve(ctx context.Context) error {
	defer f.ask.Log("z3950")
	stop := context.AfterFunc(ctx, func() { f.end(func(*session) bool { return true }) })
	defer stop()
	for {
		conn, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			f.all.Wait()
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
		s := &session{Conn: conn, f: f, in: bufio.NewReaderSize(conn, 4<<10), most: 1 << 20, record: 1 << 20}
		f.mu.Lock()
		full := len(f.sessions) >= f.o.Sessions || f.draining
		if f.last++; !full {
			s.id = f.last
			f.sessions[s.id] = s
			f.all.Add(1)
		}
		f.mu.Unlock()
		if full { // said in the protocol, so that a client knows
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			conn.Write(z3950.Encode(&z3950.Close{Reason: 4, Text: "no session is free"}))
			conn.Close()
			continue
		}
		go func() {
			defer f.all.Done()
			reason := s.converse(ctx)
			conn.Close()
			f.mu.Lock()
			delete(f.sessions, s.id)
			f.sets.End(s.id)
			f.mu.Unlock()
			slog.Info("z39.50 session ended", "from", conn.RemoteAddr(), "reason", reason, "operations", s.ops)
		}()
	}
}

// Drain takes no more sessions; those that wait for nothing are told that this side closes, the others once they are answered.
func (f *Front) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.ln.Close()
	f.end(func(s *session) bool { return !s.busy })
}

// end wakes the readers of some sessions, which then close.
func (f *Front) end(which func(*session) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ln.Close()
	for _, s := range f.sessions {
		if which(s) {
			s.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// turn notes whether a session has an operation in hand; true: it is to end.
func (s *session) turn(busy bool) (ending bool) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.busy = busy
	return s.f.draining
}

// converse is a session's life: init, then one operation after the other. Clients that send several at once get their answers in
// order, each with its own reference.
func (s *session) converse(ctx context.Context) (reason string) {
	for {
		within := s.f.o.Idle
		if s.ops == 0 {
			within = initWithin
		}
		s.SetReadDeadline(time.Now().Add(within))
		if s.turn(false) {
			s.write(&z3950.Close{Reason: 1, Text: "the broker stops"})
			return "drained"
		}
		_, err := s.in.Peek(1)
		if err == nil && s.ops > 0 {
			s.SetReadDeadline(time.Now().Add(wholeWithin))
		}
		var m z3950.Message
		if err == nil {
			m, err = z3950.Read(s.in)
		}
		ending := s.turn(true)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && ending:
			s.write(&z3950.Close{Reason: 1, Text: "the broker stops"})
			return "drained"
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.write(&z3950.Close{Reason: 7, Text: "nothing whole came in time"})
			return "idle"
		case errors.Is(err, io.EOF):
			return "client_closed"
		case errors.Is(err, z3950.ErrProtocol):
			s.write(&z3950.Close{Reason: 6, Text: text(err)})
			return "bad_message"
		case err != nil:
			return "client_reset"
		}
		var answer z3950.Message
		_, opens := m.(*z3950.InitRequest)
		switch {
		case opens != (s.ops == 0):
			s.write(&z3950.Close{Reason: 6, Text: "init comes first, and once"})
			return "bad_message"
		default:
			if answer, err = s.operate(ctx, m); err != nil {
				return "client_left"
			}
		}
		s.ops++
		if answer == nil {
			return "closed"
		}
		if err := s.write(answer); err != nil {
			return "write_failed"
		}
		if x, is := answer.(*z3950.Close); is {
			return fmt.Sprintf("closed_%d", x.Reason)
		}
		if x, is := answer.(*z3950.InitResponse); is && !x.Accepted {
			return "not_accepted"
		}
	}
}

func text(err error) string {
	t := err.Error()
	return t[:min(len(t), 200)]
}

func (s *session) write(m z3950.Message) error {
	s.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := s.Write(z3950.Encode(m))
	return err
}

// operate answers one message; nil: the session is over.
func (s *session) operate(ctx context.Context, m z3950.Message) (z3950.Message, error) {
	switch m := m.(type) {
	case *z3950.InitRequest:
		s.most, s.record = clamp(m.Preferred), clamp(m.Most)
		return &z3950.InitResponse{InitRequest: z3950.InitRequest{Common: m.Common, Version3: m.Version3, Search: true, Present: true,
			Delete: m.Delete, NamedResultSets: m.NamedResultSets, Preferred: s.most, Most: s.record, ID: "flaxfront", Name: "flaxfront"},
			Accepted: true}, nil
	case *z3950.SearchRequest:
		return s.search(ctx, m)
	case *z3950.PresentRequest:
		return s.present(ctx, m)
	case *z3950.DeleteRequest:
		return s.remove(m), nil
	case *z3950.Close:
		s.write(&z3950.Close{Common: m.Common})
		return nil, nil
	}
	return &z3950.Close{Reason: 6, Text: "a client asks, it does not answer"}, nil
}

func clamp(n int) int { return max(leastBytes, min(n, z3950.MaxPDU)) }

// syntaxes are the short names under which nodes are asked for records.
var syntaxes = map[string]string{"": "marc21", z3950.MARC21: "marc21", z3950.XML: "marcxml", z3950.SUTRS: "text"}

func (s *session) search(ctx context.Context, m *z3950.SearchRequest) (z3950.Message, error) {
	out := &z3950.SearchResponse{Common: m.Common, SetStatus: z3950.NoSet, Next: 1}
	fail := func(code int, format string, args ...any) (z3950.Message, error) {
		out.Records = z3950.Records{Fault: &z3950.Fault{Code: code, Text: fmt.Sprintf(format, args...)}}
		s.f.ask.Counts.Faults.Add(1)
		return out, nil
	}
	for _, d := range m.Databases {
		if len(s.f.o.Databases) > 0 && !slices.ContainsFunc(s.f.o.Databases, func(o string) bool { return strings.EqualFold(o, d) }) {
			return fail(noDatabase, "%.60s", d)
		}
	}
	syntax, known := syntaxes[m.Syntax]
	if !known {
		return fail(badSyntax, "%.60s", m.Syntax)
	}
	if len(m.ResultSet) == 0 || len(m.ResultSet) > 64 {
		return fail(badName, "%d bytes", len(m.ResultSet))
	}
	s.f.mu.Lock()
	_, why := s.f.sets.Get(s.id, m.ResultSet, s.f.broker.Since())
	s.f.mu.Unlock()
	if why == sets.There && !m.Replace {
		return fail(21, "%s", m.ResultSet) // result set exists and replace indicator off
	}
	if m.Set != "" && m.Set != query.Bib1 {
		return fail(121, "%.60s", m.Set)
	}
	var fault *query.Fault
	if _, err := m.Query.Query(); errors.As(err, &fault) { // what nodes of no kind could be asked
		return fail(fault.Bib1, "%s", fault.Details)
	}
	operand := false
	s.sets(m.Query, &operand)
	if operand {
		return fail(18, "a result set as an operand is not searched in") // result set not supported as a search term
	}
	want := catalogue.Want{Depth: s.f.o.Depth, Syntax: syntax, Query: m.Query}
	answer, v, err := s.ask(ctx, &want, false)
	switch {
	case err != nil && ctx.Err() == nil && v.Answered:
		return fail(systemError, "%s", text(err))
	case err != nil:
		return out, err
	case v.Shed:
		return fail(resourcesShort, "try again in %.1f seconds", max(v.After, 100*time.Millisecond).Seconds())
	case !v.Answered:
		return fail(systemError, "no answer in time")
	}
	s.f.mu.Lock()
	kept := s.f.sets.Put(s.id, m.ResultSet, want.Statement(), answer, s.f.broker.Since())
	s.f.mu.Unlock()
	out.Count, out.OK, out.SetStatus = answer.Count(), true, 0
	if !kept {
		out.OK, out.Count = false, 0
		return fail(resourcesShort, "the result set is too large to be kept")
	}
	if !answer.Whole {
		// Never presented as whole: the set is told to be a subset, with what it lacks.
		out.OK, out.SetStatus = false, z3950.Subset
		out.Records.Fault = &z3950.Fault{Code: systemError, Text: fmt.Sprintf("%d of %d parts answered", len(answer.Hits), len(answer.Shards))}
		return out, nil
	}
	first := 0
	switch n := out.Count; {
	case n <= m.Small:
		first = n
	case n < m.Large:
		first = min(m.Medium, n)
	}
	if first > 0 {
		records, status, err := s.page(ctx, m.ResultSet, 1, first, m.Syntax)
		if err != nil {
			return out, err
		}
		out.Records, out.PresentStatus, out.Returned = records, status, len(records.All)
		out.Next = min(out.Returned+1, out.Count+1)
	}
	return out, nil
}

// sets tells whether a query speaks of a result set.
func (s *session) sets(r *query.RPN, found *bool) {
	if r.IsOperand() {
		*found = *found || r.ResultSet != ""
		return
	}
	s.sets(r.Left, found)
	s.sets(r.Right, found)
}

// ask puts a search to the broker. While it is in hand the client may go away.
func (s *session) ask(ctx context.Context, want *catalogue.Want, again bool) (sets.Answer, server.Verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := s.watch(cancel)
	defer done()
	return s.f.ask.Ask(ctx, want, s.id, again)
}

// watch calls off a search whose client goes away; the returned function ends the watching.
func (s *session) watch(gone func()) (done func()) {
	s.SetReadDeadline(time.Time{})
	over := make(chan struct{})
	go func() {
		defer close(over)
		if _, err := s.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			gone()
		}
	}()
	return func() {
		s.SetReadDeadline(time.Unix(1, 0))
		<-over
	}
}

func (s *session) present(ctx context.Context, m *z3950.PresentRequest) (z3950.Message, error) {
	out := &z3950.PresentResponse{Common: m.Common, Status: z3950.Failure, Next: max(1, m.Start)}
	records, status, err := s.page(ctx, m.ResultSet, m.Start, m.Want, m.Syntax)
	if err != nil {
		return out, err
	}
	out.Records, out.Status, out.Returned = records, status, len(records.All)
	if out.Returned > 0 {
		out.Next = m.Start + out.Returned
	}
	return out, nil
}

// page takes records of a set; what was not fetched yet is fetched by the same search, deeper, if that gives the same answer.
func (s *session) page(ctx context.Context, name string, start, count int, syntax string) (z3950.Records, int, error) {
	fault := func(code int, format string, args ...any) (z3950.Records, int, error) {
		s.f.ask.Counts.Faults.Add(1)
		return z3950.Records{Fault: &z3950.Fault{Code: code, Text: fmt.Sprintf(format, args...)}}, z3950.Failure, nil
	}
	short, known := syntaxes[syntax]
	if !known {
		return fault(badSyntax, "%.60s", syntax)
	}
	f := s.f
	f.mu.Lock()
	set, why := f.sets.Get(s.id, name, f.broker.Since())
	f.mu.Unlock()
	if why != sets.There {
		return fault(lost(why, name))
	}
	want, err := catalogue.ParseStatement(set.Query)
	if err != nil {
		return fault(systemError, "%s", text(err))
	}
	if short != want.Syntax && syntax != "" {
		return fault(badSyntax, "the set was searched for in another syntax")
	}
	page, need, ok := set.Page(start, count)
	if !ok || count < 0 {
		return fault(outOfRange, "%d records from %d on, of %d", count, start, set.Count())
	}
	if need > 0 {
		if want.Depth = need + f.o.Depth; want.Depth > catalogue.MaxDepth {
			want.Depth = max(need, catalogue.MaxDepth)
		}
		if need > catalogue.MaxDepth {
			return fault(resourcesShort, "records beyond the first %d of a part are not fetched", catalogue.MaxDepth)
		}
		answer, v, err := s.ask(ctx, &want, true)
		switch {
		case err != nil && !v.Answered:
			return z3950.Records{}, 0, err
		case err != nil:
			return fault(systemError, "%s", text(err))
		case v.Shed:
			return fault(resourcesShort, "try again in %.1f seconds", max(v.After, 100*time.Millisecond).Seconds())
		case !v.Answered:
			return fault(systemError, "no answer in time")
		}
		f.mu.Lock()
		set, why = f.sets.Extend(s.id, name, answer, f.broker.Since())
		f.mu.Unlock()
		if why != sets.There {
			return fault(lost(why, name))
		}
		if page, need, _ = set.Page(start, count); need > 0 {
			return fault(resourcesShort, "the nodes gave fewer records than they have")
		}
	}
	return s.fill(page, syntax)
}

// lost is the diagnostic on a set that is not there.
func lost(why sets.Why, name string) (int, string, any) {
	switch why {
	case sets.Aged:
		return setGone, "%s was not used for too long", name
	case sets.Crowded:
		return setGone, "%s gave way to others", name
	case sets.Changed:
		return setGone, "the records of %s have changed; search again", name
	}
	return noSuchSet, "%s", name
}

// fill makes records of a page, as many as the client wants in a message.
func (s *session) fill(page []sets.Record, syntax string) (out z3950.Records, status int, err error) {
	size := 0
	for i, r := range page {
		one := z3950.Record{Database: "catalogue", Syntax: cmp.Or(syntax, z3950.MARC21), Body: r.Body}
		if len(r.Body) > s.record {
			one = z3950.Record{Fault: &z3950.Fault{Code: tooLarge, Text: fmt.Sprintf("%d bytes", len(r.Body))}}
		}
		if size += len(one.Body) + 64; size > s.most-256 && i > 0 {
			return out, z3950.Partial2, nil
		}
		out.All = append(out.All, one)
	}
	return out, z3950.Success, nil
}

func (s *session) remove(m *z3950.DeleteRequest) z3950.Message {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	out := &z3950.DeleteResponse{Common: m.Common}
	names := m.Sets
	if m.All {
		names = s.f.sets.Names(s.id)
	}
	for _, name := range names {
		if !s.f.sets.Delete(s.id, name) {
			out.Status = 1
		}
	}
	return out
}
