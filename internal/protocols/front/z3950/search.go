package z3950

// This file owns the searches of a session. It must never call a partial answer whole.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

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
	_, why := s.f.sets.Get(s.id, m.ResultSet, s.f.broker.Uptime())
	s.f.mu.Unlock()
	if why == resultset.Found && !m.Replace {
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
		return fail(resourcesShort, "try again in %.1f seconds", max(v.RetryAfter, 100*time.Millisecond).Seconds())
	case !v.Answered:
		return fail(systemError, "no answer in time")
	}
	s.f.mu.Lock()
	kept := s.f.sets.Put(s.id, m.ResultSet, want.Statement(), answer, s.f.broker.Uptime())
	s.f.mu.Unlock()
	out.Count, out.OK, out.SetStatus = answer.Count(), true, 0
	if !kept {
		out.OK, out.Count = false, 0
		return fail(resourcesShort, "the result set is too large to be kept")
	}
	if !answer.Complete {
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
func (s *session) ask(ctx context.Context, want *catalogue.Want, again bool) (resultset.Answer, server.QueryResult, error) {
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
