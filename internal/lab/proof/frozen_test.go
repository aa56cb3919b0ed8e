package proof

import (
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// permitWhileCutOff cuts all messages from a broker and starts a release for it, so that it gets a permit that it cannot use. It reports
// whether the permit was seen. If the broker's lease expires first, none is granted, and the caller has to try again.
func (c *tier) permitWhileCutOff(b *chaos.Broker) bool {
	c.t.Helper()
	for other := range c.Brokers {
		if other != b.Index {
			c.Mesh.Cut(b.Index, other)
		}
	}
	c.startRelease(b)
	for end := time.Now().Add(2 * lease); time.Now().Before(end); {
		s, err := c.Status(time.Second)
		if me, _ := brokerStatus(&s, b.Name); err == nil && me.Permit > 0 {
			return true
		} else if me.Status == statemachine.BrokerLost {
			break
		}
	}
	return false
}

// A broker that is paused while it holds a permit, and continues when the permit is void, does not use it.
func TestPausedHolderIgnoresVoidPermit(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.restartWithVersion("v2")
	b := c.Brokers[3]
	provoked := false
	for try := 0; try < 5 && !provoked; try++ {
		if provoked = c.permitWhileCutOff(b); provoked {
			b.Pause()
		}
		c.waitForStatus("the broker is lost and has no permit", func(s *controlplane.Status) bool {
			me, _ := brokerStatus(s, b.Name)
			return me.Status == statemachine.BrokerLost && me.Permit == 0
		})
		c.mustRun("halt", "trial") // otherwise it would get another permit and use that
		c.Mesh.Heal(false)         // the messages that were held back arrive now
		if !provoked {
			c.all(statemachine.BrokerServing)
		}
	}
	if !provoked {
		t.Fatal("no permit was granted before the lease expired, in five tries")
	}
	if !b.Paused() || !b.Running() {
		t.Fatal("the broker exited before it was paused")
	}
	b.Resume()
	c.all(statemachine.BrokerServing)
	time.Sleep(quietSpan)
	if n := len(c.Monitor.PlannedStops()); n != 0 || !b.Running() {
		t.Fatalf("%d planned stops, want none: the permit was void", n)
	}
	c.mustRun("resume")
	c.waitReleaseDone()
	if n := plannedStops(b); n != 1 {
		t.Errorf("%s was stopped %d times by the release, want 1", b.Name, n)
	}
}
