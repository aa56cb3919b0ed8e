package proof

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/chaos"
)

// restartWithVersion has each broker that ends by a planned stop restarted with the version installed by then. The caller can change
// the installed version through the pointer that it returns.
func (c *tier) restartWithVersion(version string) *atomic.Pointer[string] {
	var installed atomic.Pointer[string]
	installed.Store(&version)
	c.Supervise(func(b *chaos.Broker) error {
		b.Version = *installed.Load()
		return nil
	})
	return &installed
}

// startRelease starts a release for some brokers, or for all if none are given: one out at a time, in a single batch without gates.
func (c *tier) startRelease(over ...*chaos.Broker) {
	c.t.Helper()
	args := []string{"release", "--from", "v1", "--to", "v2", "--most", "1", "--gates", "off", "--pause", "0s"}
	for _, b := range over {
		args = append(args, "--broker", b.Name)
	}
	if len(over) == 0 {
		over = c.Brokers
	}
	c.mustRun(append(args, "--batch", strconv.Itoa(len(over)))...)
}

// waitReleaseDone waits until the present release is done and every broker serves.
func (c *tier) waitReleaseDone() {
	c.t.Helper()
	c.waitForStatus("the release is done", func(s *controlplane.Status) bool {
		return s.Release != nil && s.Release.State == statemachine.ReleaseDone
	})
	c.all(statemachine.BrokerServing)
	c.waitFor("the monitor sees all brokers serve again", func() bool {
		for _, b := range c.Brokers {
			if !c.Monitor.Serves(b.Name) {
				return false
			}
		}
		return true
	})
}

// waitForSteps waits until at least n planned stops were seen.
func (c *tier) waitForSteps(n int) {
	c.t.Helper()
	c.waitFor("further release steps", func() bool { return len(c.Monitor.PlannedStops()) >= n })
}

// plannedStops returns the number of a broker's processes that ended by a planned stop.
func plannedStops(b *chaos.Broker) (n int) {
	for _, l := range b.Runs() {
		if !l.EndedAt.IsZero() && l.Status == 0 {
			n++
		}
	}
	return n
}

// checkRelease makes the checks that all tests of releases have in common.
func (c *tier) checkRelease(most int, out *lab.LoadResult) {
	c.t.Helper()
	for _, broken := range c.Monitor.Check(most, crashKnownAfter) {
		c.t.Error("release limit exceeded: ", broken)
	}
	for i, broken := range out.Violations {
		if i < 5 {
			c.t.Error(broken)
		}
	}
	if served := float64(out.Answered) / float64(max(1, out.Asked-out.LostInCrash)); served < 0.9 || out.Asked < 50 {
		c.t.Errorf("%d of %d queries were answered; %d lost with a broker that crashed", out.Answered, out.Asked, out.LostInCrash)
	}
	for i, s := range c.Monitor.PlannedStops() {
		c.t.Logf("step %d: %s at %s", i+1, s.Broker, s.At.Format("15:04:05.000"))
	}
	c.t.Logf("%d steps, at most %d brokers out at once; %v; lost in crashes %d", len(c.Monitor.PlannedStops()), c.Monitor.MaxOut(), out, out.LostInCrash)
}

// In a release of seven brokers, one out at a time, the leader is killed: another leader continues the release, no broker is stopped
// twice, and no query goes without an answer.
func TestReleaseSurvivesLeaderKill(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 7, Voters: 3})
	clients := c.Clients(60, 1)
	c.restartWithVersion("v2")
	c.startRelease()
	c.waitForSteps(2)
	s := c.waitForStatus("a leader is elected", func(s *controlplane.Status) bool { return s.Leader != "" })
	leader := c.BrokerNamed(s.Leader)
	c.Monitor.ExpectKill(leader.Name)
	leader.Kill()
	at := time.Now()
	if !leader.WaitForEnd(waitLimit) {
		t.Fatal("a killed process does not exit")
	}
	c.waitForStatus("another voter leads", func(s *controlplane.Status) bool { return s.Leader != leader.Name })
	t.Logf("another leader answers %v after the kill", time.Since(at).Round(10*time.Millisecond))
	if err := c.Start(leader); err != nil { // with the version that it ran
		t.Fatal(err)
	}
	c.waitReleaseDone()
	c.checkRelease(1, clients.Stop())
	for _, b := range c.Brokers {
		if n := plannedStops(b); n != 1 || b.Version != "v2" {
			t.Errorf("%s was stopped %d times by the release and runs version %s", b.Name, n, b.Version)
		}
	}
}

// A crashed broker counts towards the limit of brokers out: with a limit of one, no broker is stopped until it is back.
func TestCrashCountsTowardsReleaseLimit(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(40, 2)
	c.restartWithVersion("v2")
	c.startRelease()
	c.waitForSteps(1)
	victim := c.Brokers[1] // a voter, late in the order of the release
	if s, _ := c.Status(waitLimit); s.Leader == victim.Name {
		victim = c.Brokers[0]
	}
	c.Monitor.ExpectKill(victim.Name)
	victim.Kill()
	c.waitForStatus("the crash is known, and all other brokers serve without a permit", func(s *controlplane.Status) bool {
		for _, b := range s.Brokers {
			if b.Name != victim.Name && (b.Status != statemachine.BrokerServing || b.Permit > 0) || b.Name == victim.Name && b.Status != statemachine.BrokerLost {
				return false
			}
		}
		return true
	})
	n := len(c.Monitor.PlannedStops())
	if n >= 4 {
		t.Fatalf("%d release steps before the crash was known: too few brokers are left", n)
	}
	time.Sleep(quietSpan)
	if now := len(c.Monitor.PlannedStops()); now != n {
		t.Errorf("%d brokers were stopped while one was lost", now-n)
	}
	if err := c.Start(victim); err != nil {
		t.Fatal(err)
	}
	c.waitReleaseDone()
	c.checkRelease(1, clients.Stop())
	for _, b := range c.Brokers {
		if n := plannedStops(b); n != 1 {
			t.Errorf("%s was stopped %d times by the release, want 1", b.Name, n)
		}
	}
}
