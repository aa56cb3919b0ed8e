package server

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/server/query"
)

// liveHeap returns the bytes of live objects.
func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against results of other sites' queries, and the queries themselves, being kept without a limit on their bytes until they can't be requested
// any more.
func TestResultsCachedForOtherSitesAreBounded(t *testing.T) {
	const queries, size, limit = 400, 60 << 10, 1 << 20
	l := newLoop(time.Now(), firstAnswerRouter{}, &decision.Settings{MaxInFlight: 1 << 20, MaxBatch: 8})
	g := newGateway(forwarding.Policy{RemoteShare: 1, MaxRemembered: queries}, nil, nil, &terms.Terms{}, func() bool { return false })
	l.useGateway(g)
	g.limitCachedResults(limit)
	before := liveHeap()
	for id := range uint64(queries) {
		k := forwarding.Key{Origin: forwarding.Origin{Name: "site-a/n0", Epoch: 1}, ID: id}
		arrived := forwarding.RemoteQuery{Key: k, Idempotency: decision.NonIdempotent, ShardRequests: 1, RemainingTime: time.Second}
		if g.incoming.HandleQuery(arrived, forwarding.Load{Capacity: 1 << 20}, 0) != forwarding.Admit {
			t.Fatalf("query %d was not admitted", id)
		}
		r := &remoteQuery{query: &activeQuery{Request: &query.Request{Text: strings.Repeat("x", size)}}}
		g.remote[k] = r
		answers := []query.ShardAnswer{{Shard: 1, Value: strings.Repeat("v", size)}}
		g.sendResult(k, r, query.Result{Outcome: query.Answered, Complete: true, Answers: answers})
	}
	if held := liveHeap() - before; held > 2*limit || len(g.remote) != queries {
		t.Errorf("%d queries that have run take %d bytes, the limit of their results is %d", len(g.remote), held, limit)
	}
	runtime.KeepAlive(l)
}
