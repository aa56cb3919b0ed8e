package proof

import (
	"strings"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// waitUntilNoneOut waits until nobody is out or about to go, in the ledger and seen from outside, and tells how many steps there were.
func (c *tier) waitUntilNoneOut() int {
	c.t.Helper()
	c.waitForStatus("nobody is out or may go", func(s *controlplane.Status) bool {
		for _, b := range s.Brokers {
			if b.Status != statemachine.BrokerServing || b.Permit > 0 {
				return false
			}
		}
		return true
	})
	return len(c.Monitor.PlannedStops())
}

// The word of an operator halts a release, lets it go on, and takes it back: whoever went out returns with the version before.
func TestHaltResumeRollback(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(40, 3)
	installed := c.restartWithVersion("v2")
	c.startRelease()
	c.waitForSteps(1)
	c.mustRun("halt", "trial")
	atHalt := c.waitUntilNoneOut()
	if atHalt >= 4 {
		t.Fatalf("%d steps; nothing is left to halt", atHalt)
	}
	time.Sleep(quietSpan)
	if now := len(c.Monitor.PlannedStops()); now != atHalt {
		t.Errorf("%d went out after the halt", now-atHalt)
	}
	c.mustRun("resume")
	c.waitForSteps(atHalt + 1)
	before := "v1"
	installed.Store(&before)
	c.mustRun("back", "trial")
	c.waitReleaseDone()
	out := clients.Stop()
	c.checkRelease(1, out)
	back := 0
	for _, b := range c.Brokers {
		atHalt := plannedStops(b)
		if b.Version != "v1" || atHalt > 2 {
			t.Errorf("%s runs %s after the way back, stopped %d times", b.Name, b.Version, atHalt)
		}
		if atHalt == 2 {
			back++
		}
	}
	if back < atHalt {
		t.Errorf("%d of at least %d that had gone were taken back", back, atHalt)
	}
}

// A version that sheds searches is halted by the gate once one broker has it, and the way back is complete.
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
	s := c.waitForStatus("the gate halts", func(s *controlplane.Status) bool {
		return s.Release != nil && s.Release.State == statemachine.ReleaseHalted
	})
	n := c.waitUntilNoneOut()
	if !strings.HasPrefix(s.Release.Reason, "gate: ") || n != 1 {
		t.Errorf("halted after %d of 7 went out: %s", n, s.Release.Reason)
	}
	t.Logf("halted for: %s", s.Release.Reason)
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
			t.Errorf("%s runs %s after the way back, stopped %d times", b.Name, b.Version, n)
		}
	}
	if out.Shed == 0 {
		t.Error("nothing was shed: the bad version was not bad")
	}
	t.Log(out)
}
