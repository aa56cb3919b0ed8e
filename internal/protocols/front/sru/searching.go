package sru

// This file answers searchRetrieve: the first page runs a new search, later pages come from the kept result set.

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/server"
)

// search runs a request's search and fills the response. It returns the HTTP status, which is 0 if the client has gone.
func (f *Front) search(w http.ResponseWriter, r *http.Request, q *sru.Request, out *sru.Response) (status int, diagnostic *sru.Diagnostic) {
	schema := slices.IndexFunc(schemas, func(s [2]string) bool { return q.Schema == s[0] || q.Schema == s[1] || q.Schema == "" && s[0] == "dc" })
	if schema < 0 {
		return http.StatusOK, sru.NewDiagnostic(66, "%.60s", q.Schema)
	}
	rpn, err := q.Query.RPN()
	if err != nil {
		return http.StatusOK, sru.Fault(err)
	}
	if rpn.HasResultSet() {
		return http.StatusOK, sru.NewDiagnostic(50, "cql.resultSetId")
	}
	limit := min(cmp.Or(max(0, q.Most), map[bool]int{true: defaultMaximumRecords}[q.Most < 0]), f.options.Most)
	want := catalogue.Want{Depth: min(catalogue.MaxDepth, max(limit, 1)), Syntax: schemas[schema][0], Query: rpn}
	client, name := clientID(r), schemas[schema][0]+" "+rpn.PQF()
	f.mu.Lock()
	set, why := f.sets.Get(client, name, f.broker.Uptime())
	f.mu.Unlock()
	fresh := q.StartRecord == 1 || why != resultset.Found && why != resultset.Changed
	if !fresh && why == resultset.Changed {
		return http.StatusOK, sru.NewDiagnostic(51, "the records have changed since the first page; ask for that again")
	}
	if fresh {
		a, status, diagnostic := f.runSearch(w, r, client, &want, false)
		if status != http.StatusOK || diagnostic != nil {
			return status, diagnostic
		}
		f.mu.Lock()
		kept := f.sets.Put(client, name, want.Statement(), a, f.broker.Uptime())
		set, _ = f.sets.Get(client, name, f.broker.Uptime())
		f.mu.Unlock()
		if !kept {
			return http.StatusOK, sru.NewDiagnostic(1, "the answer is too large to be kept; ask for fewer records")
		}
	}
	out.Count, out.Partial = set.Count(), !set.Complete()
	if out.Partial {
		out.Diagnostics = append(out.Diagnostics, sru.NewDiagnostic(59, "not all parts of the catalogue answered; there may be more records"))
	}
	if q.StartRecord > max(1, out.Count) {
		return http.StatusOK, sru.NewDiagnostic(61, "%d of %d", q.StartRecord, out.Count)
	}
	page, missing, ok := set.Page(q.StartRecord, min(limit, out.Count))
	if ok && missing > 0 {
		if missing > catalogue.MaxDepth {
			return http.StatusOK, sru.NewDiagnostic(1, "records beyond the first %d of a part are not fetched", catalogue.MaxDepth)
		}
		want.Depth = min(catalogue.MaxDepth, missing+limit)
		a, status, diagnostic := f.runSearch(w, r, client, &want, true)
		if status != http.StatusOK || diagnostic != nil {
			return status, diagnostic
		}
		f.mu.Lock()
		set, why = f.sets.Extend(client, name, a, f.broker.Uptime())
		f.mu.Unlock()
		if why != resultset.Found {
			return http.StatusOK, sru.NewDiagnostic(51, "the records have changed since the first page; ask for that again")
		}
		if page, missing, ok = set.Page(q.StartRecord, min(limit, out.Count)); missing > 0 {
			return http.StatusOK, sru.NewDiagnostic(1, "the nodes gave fewer records than they have")
		}
	}
	if !ok {
		return http.StatusOK, nil // an empty result set has an empty page
	}
	for i, rec := range page {
		record := sru.Record{Schema: schemas[schema][1], Body: rec.Body, Position: q.StartRecord + i}
		if !q.Escaped {
			if err := sru.CheckWellFormed(rec.Body); err != nil {
				record.Fault = sru.NewDiagnostic(67, "%.100s", err)
			}
		}
		out.Records = append(out.Records, record)
	}
	if next := q.StartRecord + len(page); len(page) > 0 && next <= out.Count {
		out.NextRecordPosition = next
	}
	return http.StatusOK, nil
}

// runSearch runs a search on the broker. If there is no answer, it returns the HTTP status and the diagnostic for the client; status 0
// means that the client has gone.
func (f *Front) runSearch(w http.ResponseWriter, r *http.Request, client uint64, want *catalogue.Want, refetch bool) (a resultset.Answer, status int, diagnostic *sru.Diagnostic) {
	conn := connOf(r)
	if conn.departed() {
		return a, 0, nil
	}
	ctx, cancel := conn.untilDeparture(r.Context())
	defer cancel()
	a, result, err := f.searcher.Search(ctx, want, client, refetch)
	switch {
	case errors.Is(err, server.ErrStopping):
		return a, http.StatusServiceUnavailable, sru.NewDiagnostic(2, "stopping")
	case err != nil && result.Answered:
		return a, http.StatusBadGateway, sru.NewDiagnostic(1, "%.200s", err)
	case err != nil:
		return a, 0, nil
	case result.Shed:
		if result.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int((result.RetryAfter+time.Second-1)/time.Second)))
		}
		return a, http.StatusServiceUnavailable, sru.NewDiagnostic(2, "try again in %.1f seconds", max(result.RetryAfter, 100*time.Millisecond).Seconds())
	case !result.Answered:
		return a, http.StatusGatewayTimeout, sru.NewDiagnostic(1, "no answer in time")
	}
	return a, http.StatusOK, nil
}
