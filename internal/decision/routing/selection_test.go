package routing

import (
	"testing"

	"flaxfront/internal/decision"
)

// The candidate of lowest cost is selected, and candidates of equal cost equally often.
func TestCandidateTies(t *testing.T) {
	random := newRandomSource(1)
	selected := [4]int{}
	const rounds = 3000
	for range rounds {
		c := candidate{index: noReplica}
		for i, cost := range []float64{2, 1, 1, 1} {
			c.consider(nodeIndex(i), cost, &random)
		}
		selected[c.index]++
	}
	for i, times := range selected[1:] {
		if times < rounds/4 || times > rounds/2 {
			t.Errorf("candidate %d is selected in %d of %d rounds, want about a third", i+1, times, rounds)
		}
	}
	if selected[0] > 0 {
		t.Errorf("candidate 0 is selected in %d rounds though it costs more than the others", selected[0])
	}
}

func TestStickyRank(t *testing.T) {
	nodes := []decision.NodeID{nodeID(3), nodeID(1), nodeID(2)}
	sticky := &decision.AllowedReplicas{Sticky: true, Nodes: nodes}
	for _, test := range []struct {
		name    string
		allowed *decision.AllowedReplicas
		node    int
		kind    attemptKind
		rank    int
	}{
		{"any replica", nil, 7, firstAttempt, 0},
		{"not allowed", sticky, 7, firstAttempt, -1},
		{"not allowed for a retry", sticky, 7, extraAttemptAnyReplica, -1},
		{"first in order", sticky, 3, firstAttempt, 0},
		{"last in order", sticky, 2, firstAttempt, 2},
		{"the order does not count for extra attempts", sticky, 2, extraAttemptNewReplica, 0},
		{"the order does not count if not sticky", &decision.AllowedReplicas{Nodes: nodes}, 2, firstAttempt, 0},
	} {
		sr := &shardRequest{allowed: test.allowed}
		if got := sr.stickyRank(nodeID(test.node), test.kind); got != test.rank {
			t.Errorf("%s: rank %d, want %d", test.name, got, test.rank)
		}
	}
}
