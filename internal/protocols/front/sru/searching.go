package sru

// This file owns searchRetrieve: page one is a fresh search, further pages come from what is kept. It must never call a
// partial answer whole.

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/sru"
	"flaxfront/internal/server"
)

// search fills a response; status 0 means that its client has gone.
func (f *Front) search(w http.ResponseWriter, r *http.Request, q *sru.Request, out *sru.Response) (status int, fault *sru.Diagnostic) {
	schema := slices.IndexFunc(schemas, func(s [2]string) bool { return q.Schema == s[0] || q.Schema == s[1] || q.Schema == "" && s[0] == "dc" })
	if schema < 0 {
		return http.StatusOK, sru.Diagnose(66, "%.60s", q.Schema)
	}
	rpn, err := q.Query.RPN()
	if err != nil {
		return http.StatusOK, sru.Fault(err)
	}
	if strings.Contains(rpn.PQF(), "@set ") {
		return http.StatusOK, sru.Diagnose(50, "cql.resultSetId")
	}
	most := min(cmp.Or(max(0, q.Most), map[bool]int{true: usualMost}[q.Most < 0]), f.o.Most)
	want := catalogue.Want{Depth: min(catalogue.MaxDepth, max(most, 1)), Syntax: schemas[schema][0], Query: rpn}
	client, name := clientOf(r), schemas[schema][0]+" "+rpn.PQF()
	f.mu.Lock()
	set, why := f.sets.Get(client, name, f.broker.Uptime())
	f.mu.Unlock()
	fresh := q.Start == 1 || why != resultset.Found && why != resultset.Changed
	if !fresh && why == resultset.Changed {
		return http.StatusOK, sru.Diagnose(51, "the records have changed since the first page; ask for that again")
	}
	if fresh {
		a, status, fault := f.put(w, r, client, &want, false)
		if status != http.StatusOK || fault != nil {
			return status, fault
		}
		f.mu.Lock()
		kept := f.sets.Put(client, name, want.Statement(), a, f.broker.Uptime())
		set, _ = f.sets.Get(client, name, f.broker.Uptime())
		f.mu.Unlock()
		if !kept {
			return http.StatusOK, sru.Diagnose(1, "the answer is too large to be kept; ask for fewer records")
		}
	}
	out.Count, out.Partial = set.Count(), !set.Complete()
	if out.Partial {
		out.Diagnostics = append(out.Diagnostics, sru.Diagnose(59, "not all parts of the catalogue answered; there may be more records"))
	}
	if q.Start > max(1, out.Count) {
		return http.StatusOK, sru.Diagnose(61, "%d of %d", q.Start, out.Count)
	}
	page, need, ok := set.Page(q.Start, min(most, out.Count))
	if ok && need > 0 {
		if need > catalogue.MaxDepth {
			return http.StatusOK, sru.Diagnose(1, "records beyond the first %d of a part are not fetched", catalogue.MaxDepth)
		}
		want.Depth = min(catalogue.MaxDepth, need+most)
		a, status, fault := f.put(w, r, client, &want, true)
		if status != http.StatusOK || fault != nil {
			return status, fault
		}
		f.mu.Lock()
		set, why = f.sets.Extend(client, name, a, f.broker.Uptime())
		f.mu.Unlock()
		if why != resultset.Found {
			return http.StatusOK, sru.Diagnose(51, "the records have changed since the first page; ask for that again")
		}
		if page, need, ok = set.Page(q.Start, min(most, out.Count)); need > 0 {
			return http.StatusOK, sru.Diagnose(1, "the nodes gave fewer records than they have")
		}
	}
	if !ok {
		return http.StatusOK, nil // an empty answer has an empty page
	}
	for i, rec := range page {
		one := sru.Record{Schema: schemas[schema][1], Body: rec.Body, Position: q.Start + i}
		if !q.Escaped {
			if err := sru.WellFormed(rec.Body); err != nil {
				one.Fault = sru.Diagnose(67, "%.100s", err)
			}
		}
		out.Records = append(out.Records, one)
	}
	if next := q.Start + len(page); len(page) > 0 && next <= out.Count {
		out.Next = next
	}
	return http.StatusOK, nil
}

// put puts a search to the broker, and tells what its client is told if that is not its answer.
func (f *Front) put(w http.ResponseWriter, r *http.Request, client uint64, want *catalogue.Want, again bool) (a resultset.Answer, status int, fault *sru.Diagnostic) {
	a, v, err := f.ask.Ask(r.Context(), want, client, again)
	switch {
	case errors.Is(err, server.ErrStopping):
		return a, http.StatusServiceUnavailable, sru.Diagnose(2, "stopping")
	case err != nil && v.Answered:
		return a, http.StatusBadGateway, sru.Diagnose(1, "%.200s", err)
	case err != nil:
		return a, 0, nil
	case v.Shed:
		if v.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int((v.RetryAfter+time.Second-1)/time.Second)))
		}
		return a, http.StatusServiceUnavailable, sru.Diagnose(2, "try again in %.1f seconds", max(v.RetryAfter, 100*time.Millisecond).Seconds())
	case !v.Answered:
		return a, http.StatusGatewayTimeout, sru.Diagnose(1, "no answer in time")
	}
	return a, http.StatusOK, nil
}
