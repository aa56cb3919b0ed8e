package z3950

// This file owns what a session presents from its result sets. It must never present a page of another answer.

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/z3950"
)

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
	set, why := f.sets.Get(s.id, name, f.broker.Uptime())
	f.mu.Unlock()
	if why != resultset.Found {
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
			return fault(resourcesShort, "try again in %.1f seconds", max(v.RetryAfter, 100*time.Millisecond).Seconds())
		case !v.Answered:
			return fault(systemError, "no answer in time")
		}
		f.mu.Lock()
		set, why = f.sets.Extend(s.id, name, answer, f.broker.Uptime())
		f.mu.Unlock()
		if why != resultset.Found {
			return fault(lost(why, name))
		}
		if page, need, _ = set.Page(start, count); need > 0 {
			return fault(resourcesShort, "the nodes gave fewer records than they have")
		}
	}
	return s.fill(page, syntax)
}

// lost is the diagnostic on a set that is not there.
func lost(why resultset.Status, name string) (int, string, any) {
	switch why {
	case resultset.Expired:
		return setGone, "%s was not used for too long", name
	case resultset.Evicted:
		return setGone, "%s gave way to others", name
	case resultset.Changed:
		return setGone, "the records of %s have changed; search again", name
	}
	return noSuchSet, "%s", name
}

// fill makes records of a page, as many as the client wants in a message.
func (s *session) fill(page []resultset.Record, syntax string) (out z3950.Records, status int, err error) {
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
