package server

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// Parts count as sent to a cold node while it warms up, and not at nodes that started long ago or are not known.
func TestColdIsCounted(t *testing.T) {
	l := newLoop(time.Now(), nil, &decision.Settings{})
	under := decoded(t)
	l.settings = &under
	l.controlPlane = newControlPlaneView(nil)
	warm := under.Module.WarmUpTime
	for name, boot := range map[string]time.Duration{"new": time.Minute, "old": decision.StartedLongAgo} {
		n := nodeAt(name, decision.Ready)
		n.Endpoint.StartedAt = boot
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
		l.countWarmingUp(&batch{discovery.IDOfName(c.node), make([]*store.Part, 2)}, c.at)
		if l.controlPlane.warmingUpAttempts != c.want {
			t.Errorf("%s at %v: %d parts sent to cold nodes, want %d", c.node, c.at, l.controlPlane.warmingUpAttempts, c.want)
		}
	}
	if got := l.controlPlaneState().Cold; got != 4 {
		t.Errorf("operators and reports see %d", got)
	}
}
