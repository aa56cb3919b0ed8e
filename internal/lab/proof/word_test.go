package proof

import (
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// A holder hears only long after it stopped waiting that its word was taken: it goes by that word once. It must never count as gone
// while it serves on.
func TestPermitUseAcceptedWithoutReply(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3, Fleet: map[string]any{"lease": "15s"}})
	c.restartWithVersion("v2")
	b := c.Brokers[3]
	c.Mesh.SetDelay(b.Index, 400*time.Millisecond)
	c.startRelease(b)
	c.waitForStatus("its word is taken", func(s *controlplane.Status) bool {
		me, _ := brokerStatus(s, b.Name)
		return me.Status == statemachine.BrokerOut
	})
	c.Mesh.Isolate(b.Index, true)
	if time.Sleep(time.Second); !b.Running() {
		t.Skip("the machine is so slow that it heard of it before it was cut off")
	}
	time.Sleep(6 * time.Second) // longer than the broker waits for its word
	c.Mesh.SetDelay(b.Index, 0)
	c.Mesh.Heal(true)
	c.waitReleaseDone()
	if n := plannedStops(b); n != 1 {
		t.Errorf("%s was stopped %d times by the release", b.Name, n)
	}
}
