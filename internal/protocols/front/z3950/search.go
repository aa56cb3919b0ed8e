package z3950

// This file answers search requests. A partial result is never presented as complete.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/server"
)

// syntaxes maps record syntaxes to the short names by which nodes are asked for records.
var syntaxes = map[string]string{"": "marc21", z3950.MARC21: "marc21", z3950.XML: "marcxml", z3950.SUTRS: "text"}

// search runs a search, keeps its result set, and presents the first records if the request asks for them.
func (s *session) search(ctx context.Context, m *z3950.SearchRequest) (z3950.Message, error) {
	out := &z3950.SearchResponse{Common: m.Common, ResultSetStatus: z3950.NoResultSet, NextPosition: 1}
	fail := func(fault *z3950.Fault) (z3950.Message, error) {
		out.Records = z3950.Records{Fault: fault}
		s.f.ask.Counts.DiagnosticsSent.Add(1)
		return out, nil
	}
	if fault := s.checkSearch(m); fault != nil {
		return fail(fault)
	}
	want := catalogue.Want{Depth: s.f.o.Depth, Syntax: syntaxes[m.Syntax], Query: m.Query}
	answer, result, err := s.ask(ctx, &want, false)
	if err != nil && (ctx.Err() != nil || !result.Answered) {
		return out, err
	}
	if fault := unanswered(result, err); fault != nil {
		return fail(fault)
	}
	s.f.mu.Lock()
	kept := s.f.resultSets.Put(s.id, m.ResultSet, want.Statement(), answer, s.f.broker.Uptime())
	s.f.mu.Unlock()
	if !kept {
		return fail(newFault(resourcesExhausted, "the result set is too large to be kept"))
	}
	out.Count = answer.Count()
	if !answer.Complete {
		// A partial result is presented as a subset, with the number of parts that answered.
		out.ResultSetStatus = z3950.Subset
		out.Records.Fault = newFault(systemError, "%d of %d parts answered", len(answer.Hits), len(answer.Shards))
		return out, nil
	}
	out.OK, out.ResultSetStatus = true, 0
	if first := recordsInResponse(m, out.Count); first > 0 {
		records, status, err := s.page(ctx, m.ResultSet, 1, first, m.Syntax)
		if err != nil {
			return out, err
		}
		out.Records, out.PresentStatus, out.Returned = records, status, len(records.All)
		out.NextPosition = min(out.Returned+1, out.Count+1)
	}
	return out, nil
}

func newFault(code int, format string, args ...any) *z3950.Fault {
	return &z3950.Fault{Code: code, Text: fmt.Sprintf(format, args...)}
}

// checkSearch returns the diagnostic of a search that can't be run, or nil.
func (s *session) checkSearch(m *z3950.SearchRequest) *z3950.Fault {
	for _, d := range m.Databases {
		if len(s.f.o.Databases) > 0 && !slices.ContainsFunc(s.f.o.Databases, func(o string) bool { return strings.EqualFold(o, d) }) {
			return newFault(databaseUnavailable, "%.60s", d)
		}
	}
	if _, known := syntaxes[m.Syntax]; !known {
		return newFault(unsupportedSyntax, "%.60s", m.Syntax)
	}
	if len(m.ResultSet) == 0 || len(m.ResultSet) > 64 {
		return newFault(illegalResultSetName, "%d bytes", len(m.ResultSet))
	}
	s.f.mu.Lock()
	_, why := s.f.resultSets.Get(s.id, m.ResultSet, s.f.broker.Uptime())
	s.f.mu.Unlock()
	if why == resultset.Found && !m.Replace {
		return newFault(resultSetExists, "%s", m.ResultSet)
	}
	if m.AttributeSet != "" && m.AttributeSet != query.Bib1 {
		return newFault(unsupportedAttributeSet, "%.60s", m.AttributeSet)
	}
	var diagnostic *query.Fault
	if _, err := m.Query.Query(); errors.As(err, &diagnostic) { // a query that no kind of node could answer
		return newFault(diagnostic.Bib1, "%s", diagnostic.Details)
	}
	if m.Query.HasResultSet() {
		return newFault(unsupportedResultSetOperand, "a result set as an operand is not searched in")
	}
	return nil
}

// unanswered returns the diagnostic of a query that was not answered, or whose answer can't be decoded (err), and nil otherwise.
func unanswered(result server.QueryResult, err error) *z3950.Fault {
	switch {
	case err != nil:
		return newFault(systemError, "%s", errorText(err))
	case result.Shed:
		return newFault(resourcesExhausted, "try again in %.1f seconds", max(result.RetryAfter, 100*time.Millisecond).Seconds())
	case !result.Answered:
		return newFault(systemError, "no answer in time")
	}
	return nil
}

// recordsInResponse returns how many records of a result set the response to its search has.
func recordsInResponse(m *z3950.SearchRequest, count int) int {
	switch {
	case count <= m.SmallSetUpperBound:
		return count
	case count < m.LargeSetLowerBound:
		return min(m.MediumSetPresentNumber, count)
	}
	return 0
}

// ask runs a search on the broker. It is cancelled if the client disconnects meanwhile, and is not begun if it has already.
func (s *session) ask(ctx context.Context, want *catalogue.Want, refetch bool) (resultset.Answer, server.QueryResult, error) {
	if s.ahead.ReadAvailable() {
		return resultset.Answer{}, server.QueryResult{}, context.Canceled
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.cancelOnDisconnect(cancel)
	defer stop()
	return s.f.ask.Search(ctx, want, s.id, refetch)
}

// cancelOnDisconnect calls cancel if the client disconnects, whatever it has sent before that. The returned function ends this and must be
// called.
func (s *session) cancelOnDisconnect(cancel func()) (stop func()) {
	s.SetReadDeadline(time.Time{})
	stopWatch, watchDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watchDone)
		if s.ahead.Watch(stopWatch) != nil {
			cancel()
		}
	}()
	return func() {
		close(stopWatch)
		s.SetReadDeadline(pastDeadline)
		<-watchDone
	}
}
