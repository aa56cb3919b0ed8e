// Package front is shared by the fronts for catalogue clients, SRU and Z39.50: it runs catalogue searches as queries on a broker and
// counts their results. It holds no connections and nothing specific to a protocol.
//
// Depends on config/terms, decision, decision/resultset, protocols/catalogue, server. Concurrency: the package
// starts no goroutines; its counters are atomic.
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

// Broker is the part of a broker that a front uses.
type Broker interface {
	RunQuery(ctx context.Context, a *server.Query) (server.QueryResult, error)
	Settings() *terms.Terms
	Uptime() time.Duration
	FrontMemory() server.FrontMemory
}

// Counts counts a front's searches and their results. It may be read from any goroutine.
type Counts struct{ Searches, Refetched, Partial, Shed, Failed, DiagnosticsSent atomic.Uint64 }

// Searcher runs searches as queries of one query type and tenant, each with one shard request for every shard, all of equal weight.
type Searcher struct {
	Counts    Counts
	Timeout   time.Duration
	broker    Broker
	queryType int
	tenant    int
}

// NewSearcher returns a searcher for a query type and a tenant, which are given by name; an empty name stands for the first one.
// Errors name the front's section of the operators' file by field.
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
	if a.Timeout = settings.Timeout; settings.Idempotency != decision.Idempotent { // later pages may repeat the search
		return nil, fmt.Errorf("operators' file: %s.type: query type %s is not idempotent, but later pages repeat the search", field, t.Types[a.queryType])
	}
	return a, nil
}

// LogCounts logs the counts when the front ends.
func (a *Searcher) LogCounts(front string) {
	c := &a.Counts
	slog.Info("front ended", "front", front, "searches", c.Searches.Load(), "refetched", c.Refetched.Load(), "partial", c.Partial.Load(),
		"shed", c.Shed.Load(), "failed", c.Failed.Load(), "diagnostics", c.DiagnosticsSent.Load())
}

// Search runs one search. refetch states that it repeats a search to fetch more of its records. An error with an answered result means
// that a node's value cannot be decoded; any other error means that the client has gone or that the broker is stopping.
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
