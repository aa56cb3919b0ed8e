// Package front is what the fronts for catalogue clients share: how a catalogue search is put to a broker, and what came of it is
// counted. It must never hold a connection or anything of a protocol.
//
// Depends on config/terms, decision, decision/resultset, protocols/catalogue, server. Concurrency: it
// starts no goroutine; what several goroutines may use is behind a lock or an atomic value.
package front

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/server"
)

// Broker is what a front needs of one.
type Broker interface {
	RunQuery(ctx context.Context, a *server.Query) (server.QueryResult, error)
	Settings() *terms.Terms
	Uptime() time.Duration
}

// Counts are what operators see of a front's searches; they may be read from any goroutine.
type Counts struct{ Searches, Refetched, Partial, Shed, Failed, DiagnosticsSent atomic.Uint64 }

// Searcher puts searches of one query type and tenant to a broker, one part for each shard, all of the same weight.
type Searcher struct {
	Counts    Counts
	Timeout   time.Duration
	broker    Broker
	queryType int
	tenant    int
}

// NewSearcher finds a query type and a tenant by their names, the first where there is none. Field names the front in errors.
func NewSearcher(b Broker, field, queryType, tenant string) (*Searcher, error) {
	t := b.Settings()
	a := &Searcher{broker: b}
	if a.queryType = slices.Index(t.Types, cmp.Or(queryType, t.Types[0])); a.queryType < 0 {
		return nil, fmt.Errorf("operators' file: %s.type: no query type %.40q", field, queryType)
	}
	if len(t.Tenants) > 0 {
		if a.tenant = slices.Index(t.Tenants, cmp.Or(tenant, t.Tenants[0])); a.tenant < 0 {
			return nil, fmt.Errorf("operators' file: %s.tenant: no tenant %.40q", field, tenant)
		}
	}
	settings := &t.Module.QueryTypes[a.queryType]
	if a.Timeout = settings.Timeout; settings.Idempotency != decision.Idempotent { // pages beyond the first are fetched by searching again
		return nil, fmt.Errorf("operators' file: %s.type: %s may not run again", field, t.Types[a.queryType])
	}
	return a, nil
}

// LogCounts says what was counted, as the front ends.
func (a *Searcher) LogCounts(front string) {
	c := &a.Counts
	slog.Info("front ended", "front", front, "searches", c.Searches.Load(), "refetched", c.Refetched.Load(), "partial", c.Partial.Load(),
		"shed", c.Shed.Load(), "failed", c.Failed.Load(), "diagnostics", c.DiagnosticsSent.Load())
}

// Search is one search. Again tells that it fetches more of an answer that was had before. An error beside an answered verdict is a
// value that can't be read; without one, the client has gone or the broker stops.
func (a *Searcher) Search(ctx context.Context, want *catalogue.Want, client uint64, refetch bool) (resultset.Answer, server.QueryResult, error) {
	shards := a.broker.Settings().Shards
	request := &server.Query{ID: server.NewRequestID(), Type: a.queryType, Tenant: a.tenant, Client: client, Retry: refetch, Timeout: a.Timeout, Text: want.Statement()}
	for i := range shards {
		request.Shards, request.Weights = append(request.Shards, i), append(request.Weights, 1/float64(shards))
	}
	result, err := a.broker.RunQuery(ctx, request)
	a.Counts.Searches.Add(1)
	if refetch {
		a.Counts.Refetched.Add(1)
	}
	switch {
	case err != nil:
		return resultset.Answer{}, result, err
	case result.Shed:
		a.Counts.Shed.Add(1)
		return resultset.Answer{}, result, nil
	case !result.Answered:
		a.Counts.Failed.Add(1)
		return resultset.Answer{}, result, nil
	case !result.Complete:
		a.Counts.Partial.Add(1)
	}
	answer, err := catalogue.Merge(request.Shards, want.Depth, result.Complete, result.Shards, result.Values)
	return answer, result, err
}
