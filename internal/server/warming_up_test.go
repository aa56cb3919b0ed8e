package server

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
)

// Attempts are counted as sent to a node that is warming up only during its warm-up, and not if the node started long ago or is unknown.
func TestWarmingUpAttemptsAreCounted(t *testing.T) {
	l := newLoop(time.Now(), nil, &decision.Settings{})
	var now time.Duration
	l.clock = func() time.Duration { return now }
	current := testTerms(t)
	l.settings = &current
	l.useControlPlane(newControlPlaneView(nil))
	warm := current.Module.WarmUpTime
	for name, startedAt := range map[string]time.Duration{"new": time.Minute, "old": decision.StartedLongAgo} {
		n := nodeAt(name, decision.Ready)
		n.Endpoint.StartedAt = startedAt
		l.nodes[n.Endpoint.Node] = n
	}
	for _, c := range []struct {
		node string
		at   time.Duration
		want uint64
	}{
		{"new", time.Minute + warm/2, 2},
		{"old", time.Minute + warm/2, 2},
		{"unknown", time.Minute + warm/2, 2},
		{"new", time.Minute + warm, 2},
		{"new", time.Minute + warm - 1, 4},
	} {
		now = c.at
		l.controlPlane.countAttempts(discovery.IDOfName(c.node), 2)
		if l.controlPlane.warmingUpAttempts != c.want {
			t.Errorf("%s at %v: %d attempts counted as sent to nodes that are warming up, want %d", c.node, c.at, l.controlPlane.warmingUpAttempts, c.want)
		}
	}
	var counters QueryCounters
	l.controlPlane.report(&counters)
	if got := counters.ControlPlane.WarmingUpAttempts; got != 4 {
		t.Errorf("the counters show %d attempts at nodes that are warming up, want 4", got)
	}
}
