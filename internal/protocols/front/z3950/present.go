package z3950

// This file answers present and delete requests. All pages of a result set are of the same records.

import (
	"cmp"
	"context"
	"fmt"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
)

func (s *session) present(ctx context.Context, m *z3950.PresentRequest) (z3950.Message, error) {
	out := &z3950.PresentResponse{Common: m.Common, Status: z3950.Failure, NextPosition: max(1, m.Start)}
	records, status, err := s.page(ctx, m.ResultSet, m.Start, m.Want, m.Syntax)
	if err != nil {
		return out, err
	}
	out.Records, out.Status, out.Returned = records, status, len(records.All)
	if out.Returned > 0 {
		out.NextPosition = m.Start + out.Returned
	}
	return out, nil
}

// page returns count records of a result set, from start on. If some are not fetched yet, it repeats the search for more records, and
// uses them only if the records fetched before are still the same.
func (s *session) page(ctx context.Context, name string, start, count int, syntax string) (z3950.Records, int, error) {
	fail := func(code int, format string, args ...any) (z3950.Records, int, error) {
		s.f.ask.Counts.DiagnosticsSent.Add(1)
		return z3950.Records{Fault: &z3950.Fault{Code: code, Text: fmt.Sprintf(format, args...)}}, z3950.Failure, nil
	}
	shortName, known := syntaxes[syntax]
	if !known {
		return fail(unsupportedSyntax, "%.60s", syntax)
	}
	f := s.f
	f.mu.Lock()
	set, why := f.resultSets.Get(s.id, name, f.broker.Uptime())
	f.mu.Unlock()
	if why != resultset.Found {
		return fail(missingSetDiagnostic(why, name))
	}
	want, err := catalogue.ParseStatement(set.Query)
	if err != nil {
		return fail(systemError, "%s", errorText(err))
	}
	if shortName != want.Syntax && syntax != "" {
		return fail(unsupportedSyntax, "the set was searched for in another syntax")
	}
	page, missing, ok := set.Page(start, count)
	if !ok || count < 0 {
		return fail(presentOutOfRange, "%d records from %d on, of %d", count, start, set.Count())
	}
	if missing > 0 {
		if want.Depth = missing + f.o.Depth; want.Depth > catalogue.MaxDepth {
			want.Depth = max(missing, catalogue.MaxDepth)
		}
		if missing > catalogue.MaxDepth {
			return fail(resourcesExhausted, "records beyond the first %d of a part are not fetched", catalogue.MaxDepth)
		}
		answer, result, err := s.ask(ctx, &want, true)
		if err != nil && !result.Answered {
			return z3950.Records{}, 0, err
		}
		if fault := unanswered(result, err); fault != nil {
			return fail(fault.Code, "%s", fault.Text)
		}
		f.mu.Lock()
		set, why = f.resultSets.Extend(s.id, name, answer, f.broker.Uptime())
		f.mu.Unlock()
		if why != resultset.Found {
			return fail(missingSetDiagnostic(why, name))
		}
		if page, missing, _ = set.Page(start, count); missing > 0 {
			return fail(resourcesExhausted, "the nodes gave fewer records than they have")
		}
	}
	return s.packRecords(page, syntax)
}

// missingSetDiagnostic returns the diagnostic code and the text for a result set that is not kept.
func missingSetDiagnostic(why resultset.Status, name string) (int, string, any) {
	switch why {
	case resultset.Expired:
		return resultSetDeleted, "%s was not used for too long", name
	case resultset.Evicted:
		return resultSetDeleted, "%s gave way to others", name
	case resultset.Changed:
		return resultSetDeleted, "the records of %s have changed; search again", name
	}
	return noSuchResultSet, "%s", name
}

// packRecords returns as many records of a page as fit into the client's message size. A record beyond the record size is replaced by
// a diagnostic.
func (s *session) packRecords(page []resultset.Record, syntax string) (out z3950.Records, status int, err error) {
	size := 0
	for i, r := range page {
		record := z3950.Record{Database: "catalogue", Syntax: cmp.Or(syntax, z3950.MARC21), Body: r.Body}
		if len(r.Body) > s.recordSize {
			record = z3950.Record{Fault: &z3950.Fault{Code: recordTooLarge, Text: fmt.Sprintf("%d bytes", len(r.Body))}}
		}
		recordBytes := len(record.Body) + recordOverhead
		if size += recordBytes; size > s.messageSize-messageOverhead && i > 0 {
			return out, z3950.Partial2, nil
		}
		if !s.response.TryGrow(recordBytes * copiesOfRecord) {
			fault := &z3950.Fault{Code: resourcesExhausted, Text: "no memory for the records; ask again later, or for fewer"}
			return z3950.Records{Fault: fault}, z3950.Failure, nil
		}
		out.All = append(out.All, record)
	}
	return out, z3950.Success, nil
}

// Sizes of an encoded response in bytes, and how often a record is in memory while it is encoded and written.
const (
	recordOverhead  = 64
	messageOverhead = 256
	copiesOfRecord  = 3
)

func (s *session) deleteSets(m *z3950.DeleteRequest) z3950.Message {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	out := &z3950.DeleteResponse{Common: m.Common}
	names := m.ResultSets
	if m.All {
		names = s.f.resultSets.Names(s.id)
	}
	for _, name := range names {
		if !s.f.resultSets.Delete(s.id, name) {
			out.Status = 1
		}
	}
	return out
}
