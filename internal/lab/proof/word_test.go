package proof

import (
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// A permit holder's proposal to go out is accepted, but the reply arrives long after the holder stopped waiting for it. The holder goes
// out once, and must never count as out while it goes on serving.
func TestPermitUseAcceptedWithoutReply(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3, Fleet: map[string]any{"lease": "15s"}})
	c.restartWithVersion("v2")
	b := c.Brokers[3]
	c.Mesh.SetDelay(b.Index, 400*time.Millisecond)
	c.startRelease(b)
	c.waitForStatus("the proposal to go out is accepted", func(s *controlplane.Status) bool {
		me, _ := brokerStatus(s, b.Name)
		return me.Status == statemachine.BrokerOut
	})
	c.Mesh.Isolate(b.Index, true)
	if time.Sleep(time.Second); !b.Running() {
		t.Skip("slow machine: the broker got the reply before it was isolated")
	}
	time.Sleep(6 * time.Second) // longer than the broker waits for the reply
	c.Mesh.SetDelay(b.Index, 0)
	c.Mesh.Heal(true)
	c.waitReleaseDone()
	if n := plannedStops(b); n != 1 {
		t.Errorf("%s was stopped %d times by the release, want 1", b.Name, n)
	}
}
