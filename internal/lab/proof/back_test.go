package proof

import (
	"strings"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// waitUntilNoneOut waits until all brokers serve and none holds a permit, and returns the number of planned stops so far.
func (c *tier) waitUntilNoneOut() int {
	c.t.Helper()
	c.waitForStatus("all brokers serve and none holds a permit", func(s *controlplane.Status) bool {
		for _, b := range s.Brokers {
			if b.Status != statemachine.BrokerServing || b.Permit > 0 {
				return false
			}
		}
		return true
	})
	return len(c.Monitor.PlannedStops())
}

// An operator halts a release, resumes it and rolls it back: brokers that were stopped for it return to the previous version.
func TestHaltResumeRollback(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(40, 3)
	installed := c.restartWithVersion("v2")
	c.startRelease()
	c.waitForSteps(1)
	c.mustRun("halt", "trial")
	stops := c.waitUntilNoneOut()
	if stops >= 4 {
		t.Fatalf("%d release steps before the halt took effect: too few brokers are left", stops)
	}
	time.Sleep(quietSpan)
	if now := len(c.Monitor.PlannedStops()); now != stops {
		t.Errorf("%d brokers were stopped after the halt", now-stops)
	}
	c.mustRun("resume")
	c.waitForSteps(stops + 1)
	before := "v1"
	installed.Store(&before)
	c.mustRun("back", "trial")
	c.waitReleaseDone()
	out := clients.Stop()
	c.checkRelease(1, out)
	back := 0
	for _, b := range c.Brokers {
		stops := plannedStops(b)
		if b.Version != "v1" || stops > 2 {
			t.Errorf("%s runs version %s after the rollback and was stopped %d times", b.Name, b.Version, stops)
		}
		if stops == 2 {
			back++
		}
	}
	if back < stops {
		t.Errorf("%d brokers were rolled back, at least %d had been upgraded", back, stops)
	}
}

// The gate halts the release of a version that sheds queries after the first broker, and the rollback is complete.
func TestBadVersionIsHalted(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 7, Voters: 3})
	clients := c.Clients(90, 4)
	c.Supervise(func(b *chaos.Broker) error {
		if b.Version = "v2"; plannedStops(b) > 1 {
			b.Version = "v1"
			return b.SetMaxOpen("4096")
		}
		return b.SetMaxOpen("2")
	})
	c.mustRun("release", "--from", "v1", "--to", "v2", "--most", "1", "--batch", "1,7", "--pause", "10s")
	c.waitForSteps(1)
	s := c.waitForStatus("the gate halts the release", func(s *controlplane.Status) bool {
		return s.Release != nil && s.Release.State == statemachine.ReleaseHalted
	})
	n := c.waitUntilNoneOut()
	if !strings.HasPrefix(s.Release.Reason, "gate: ") || n != 1 {
		t.Errorf("halted after %d steps of 7, want 1 and the gate as reason: %s", n, s.Release.Reason)
	}
	t.Logf("reason of the halt: %s", s.Release.Reason)
	c.mustRun("back", "bad")
	c.waitReleaseDone()
	out := clients.Stop()
	for i, broken := range append(c.Monitor.Check(1, crashKnownAfter), out.Violations...) {
		if i < 5 {
			t.Error(broken)
		}
	}
	for _, b := range c.Brokers {
		if n := plannedStops(b); b.Version != "v1" || n != 0 && n != 2 {
			t.Errorf("%s runs version %s after the rollback and was stopped %d times", b.Name, b.Version, n)
		}
	}
	if out.Shed == 0 {
		t.Error("the bad version shed no queries")
	}
	t.Log(out)
}
