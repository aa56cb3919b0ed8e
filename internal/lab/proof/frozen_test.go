package proof

import (
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// permitWhileCutOff cuts what a broker says off and has a release permit it to go, so that it holds a permit that it cannot use. It tells
// whether that was seen; where the lease ran out first nothing is permitted, and it is to be tried anew.
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

// A broker that was stopped with a permit in its hands, and wakes up when that is void, does nothing by it.
func TestPausedHolderIgnoresVoidPermit(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.restartWithVersion("v2")
	b := c.Brokers[3]
	provoked := false
	for try := 0; try < 5 && !provoked; try++ {
		if provoked = c.permitWhileCutOff(b); provoked {
			b.Pause()
		}
		c.waitForStatus("its loss is known", func(s *controlplane.Status) bool {
			me, _ := brokerStatus(s, b.Name)
			return me.Status == statemachine.BrokerLost && me.Permit == 0
		})
		c.mustRun("halt", "trial") // else it would get another permit, and go by that
		c.Mesh.Heal(false)         // what it said meanwhile arrives now
		if !provoked {
			c.all(statemachine.BrokerServing)
		}
	}
	if !provoked {
		t.Fatal("no permit was given before the lease ran out, five times")
	}
	if !b.Paused() || !b.Running() {
		t.Fatal("it has gone before it was stopped")
	}
	b.Resume()
	c.all(statemachine.BrokerServing)
	time.Sleep(quietSpan)
	if n := len(c.Monitor.PlannedStops()); n != 0 || !b.Running() {
		t.Fatalf("%d went out by a permit that was void", n)
	}
	c.mustRun("resume")
	c.waitReleaseDone()
	if n := plannedStops(b); n != 1 {
		t.Errorf("%s was stopped %d times by the release", b.Name, n)
	}
}
