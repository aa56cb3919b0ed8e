package routing_test

import (
	"time"

	"flaxfront/internal/decision"
)

// randomSettings returns random settings for one sequence; each option is enabled in some of the sequences.
func randomSettings(g *generator) decision.Settings {
	s := decision.Settings{
		Seed:                  g.next(),
		BrokerCount:           choose(g, 1, 2, 3, 20, 60),
		GossipAllowed:         g.oneIn(2),
		ClientsMarkRetries:    g.oneIn(2),
		ClockStep:             choose(g, time.Millisecond, 5*time.Millisecond),
		OverQuotaWeight:       choose(g, 0.1, 0.5, 1),
		WeightPerShardRequest: g.oneIn(2),
		Cells:                 choose(g, 1, 2, 3, 5, 9),
		MaxBatch:              choose(g, 1, 2, 8),
		CancelAllowed:         !g.oneIn(4),
		HealthChecksAllowed:   g.oneIn(3),
		ConnIdleTimeout:       choose(g, 300*time.Millisecond, time.Second, time.Minute),
		HedgingAllowed:        !g.oneIn(4),
		MaxRetryAfter:         choose(g, 0, time.Second, 3*time.Second),
		MaxAttempts:           choose(g, 2, 3, 4),
		MaxInFlight:           choose(g, 10+g.below(90), 10000),
		PollList:              g.oneIn(2),
		InitialCapacity:       choose(g, 0.05, 0.3, 0.8),
		WarmUpTime:            choose(g, 2*time.Second, 8*time.Second, 30*time.Second),
		OverloadMultiple:      choose(g, 1.2, 2, 4),
		OverloadAfter:         choose(g, 500*time.Millisecond, 2*time.Second),
	}
	s.CellsPerShard = 1 + g.below(min(3, s.Cells))
	if g.oneIn(3) {
		s.ExtraAttemptsMin = choose(g, 0.0, 1, 2, 5)
		s.ExtraAttemptsShare = choose(g, 0.02, 0.05, 0.2)
		s.ExtraAttemptsWindow = choose(g, time.Second, 2*time.Second, 10*time.Second)
	}
	for range 1 + g.below(3) {
		s.QueryTypes = append(s.QueryTypes, randomQueryType(g))
	}
	for range g.below(4) {
		s.Tenants = append(s.Tenants, decision.Tenant{
			TrafficShare: choose(g, 0.05, 0.3, 0.7),
			Quota:        choose(g, 1.0, 10, 100),
		})
	}
	return s
}

func randomQueryType(g *generator) decision.QueryType {
	q := decision.QueryType{
		LatencyObjective:    choose(g, 400*time.Millisecond, time.Second, 2*time.Second),
		PriorityWeight:      choose(g, 0.2, 1, 5),
		LateWeight:          choose(g, 0.0, 0.1, 0.5),
		Idempotency:         choose(g, decision.Idempotent, decision.Idempotent, decision.IdempotencyKeyed, decision.NonIdempotent),
		IdempotencyWindow:   choose(g, 100*time.Millisecond, time.Second),
		MinCompleteness:     choose(g, 0.4, 0.7, 1),
		FullCompleteness:    choose(g, 0.7, 1),
		SecondPhaseRequests: choose(g, 0, 0, 0, 2),
	}
	q.MinCompleteness = min(q.MinCompleteness, q.FullCompleteness)
	q.Timeout = q.LatencyObjective + choose(g, 100*time.Millisecond, time.Second, 2*time.Second)
	return q
}

// changeSettings changes the settings that a reload may change, at random.
func changeSettings(g *generator, s *decision.Settings) {
	s.MaxInFlight = choose(g, 10+g.below(90), 10000)
	s.HedgingAllowed = !g.oneIn(4)
	s.HealthChecksAllowed = g.oneIn(3)
	s.MaxBatch = choose(g, 1, 2, 8)
	s.OverQuotaWeight = choose(g, 0.1, 0.5, 1)
	s.ExtraAttemptsWindow = choose(g, 0, time.Second, 2*time.Second, 10*time.Second)
	s.ExtraAttemptsMin = choose(g, 0.0, 1, 2, 5)
	s.ExtraAttemptsShare = choose(g, 0.02, 0.05, 0.2)
	changed := append([]decision.QueryType(nil), s.QueryTypes...)
	changed[g.below(len(changed))] = randomQueryType(g)
	s.QueryTypes = append(changed, randomQueryType(g))
	s.Tenants = append(append([]decision.Tenant(nil), s.Tenants...), decision.Tenant{TrafficShare: 0.2, Quota: 20})
}
