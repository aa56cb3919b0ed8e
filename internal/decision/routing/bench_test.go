package routing_test

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
)

// BenchmarkStep measures a query with two shard requests among 240 nodes: one step sends them, a second one handles their answers.
func BenchmarkStep(b *testing.B) {
	settings := decision.Settings{
		Seed: 7, BrokerCount: 3, ClockStep: 5 * time.Millisecond, Cells: 2, CellsPerShard: 1, MaxBatch: 8, OverQuotaWeight: 0.1,
		QueryTypes: []decision.QueryType{{LatencyObjective: time.Second, Timeout: 3 * time.Second, PriorityWeight: 1,
			MinCompleteness: 1, FullCompleteness: 1}},
		Tenants:       []decision.Tenant{{TrafficShare: 1, Quota: 100}},
		CancelAllowed: true, HedgingAllowed: true, MaxRetryAfter: time.Second, ConnIdleTimeout: time.Minute,
		MaxAttempts: 4, MaxInFlight: 10000, InitialCapacity: 0.3, WarmUpTime: 8 * time.Second, OverloadMultiple: 2,
		ExtraAttemptsMin: 2, ExtraAttemptsShare: 0.05, ExtraAttemptsWindow: time.Second,
	}
	router := routing.New(settings)
	var list []decision.Endpoint
	for i := range 240 {
		list = append(list, decision.Endpoint{Node: nodeNumber(i), Cell: i % 2, State: decision.Ready,
			StartedAt: decision.StartedLongAgo})
	}
	actions := router.Step(0, []decision.Event{{Kind: decision.FullListReceived, Endpoints: list}}, nil)
	now := time.Duration(0)
	nextID := uint64(0)
	arrival := make([]decision.Event, 3)
	ends := make([]decision.Event, 0, 2)
	round := func() {
		arrival[0] = decision.Event{Kind: decision.QueryReceived, ID: nextID, RemainingTime: 3 * time.Second, Weight: 2}
		arrival[1] = decision.Event{Kind: decision.ShardRequestReceived, ID: nextID + 1, Shard: 0, Weight: 0.5}
		arrival[2] = decision.Event{Kind: decision.ShardRequestReceived, ID: nextID + 2, Shard: 1, Weight: 0.5}
		nextID += 3
		now += 5 * time.Millisecond
		actions = router.Step(now, arrival, actions[:0])
		ends = ends[:0]
		for i := range actions {
			if actions[i].Kind == decision.SendAttempt {
				ends = append(ends, decision.Event{Kind: decision.AttemptEnded, ID: actions[i].ID, Node: actions[i].Node,
					Outcome: decision.OK, Elapsed: 20 * time.Millisecond})
			}
		}
		now += 20 * time.Millisecond
		actions = router.Step(now, ends, actions[:0])
	}
	for range 2000 {
		round()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		round()
	}
}
