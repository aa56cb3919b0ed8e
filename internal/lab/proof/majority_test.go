package proof

import (
	"context"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/chaos"
)

const (
	cutOff    = "cut off from the majority"
	connected = "connected to the majority"
)

func answeredShare(o *lab.LoadResult) float64 { return float64(o.Answered) / float64(max(1, o.Asked)) }

// Without a majority of the voters searches are served as before by every broker, nobody is let go, each broker says so once, and
// the release goes on when the links are mended.
func TestNoMajority(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 6, Voters: 3})
	c.restartWithVersion("v2")
	before := c.Clients(80, 5)
	time.Sleep(2 * quietSpan)
	withMajority := before.Stop()

	clients := c.Clients(80, 6)
	c.startRelease()
	c.waitForSteps(1)
	logStart := map[string]int{}
	runsBefore := map[string]int{}
	for _, b := range c.Brokers {
		logStart[b.Name], runsBefore[b.Name] = b.LogSize(), len(b.Runs())
	}
	c.Mesh.Partition([]int{0, 3, 4}, []int{1}, []int{2, 5})
	survivors := []*chaos.Broker{} // those that were there all along
	c.waitFor("every broker that lived on has said that it is cut off", func() bool {
		survivors = survivors[:0]
		for _, b := range c.Brokers {
			if len(b.Runs()) == runsBefore[b.Name] && b.Running() {
				if survivors = append(survivors, b); len(b.LogLines(logStart[b.Name], cutOff)) == 0 {
					return false
				}
			}
		}
		return true
	})
	if _, err := c.Status(500 * time.Millisecond); err == nil {
		t.Error("somebody speaks for a majority that there is not")
	}
	n := len(c.Monitor.PlannedStops())
	if n == len(c.Brokers) {
		t.Fatal("all have gone before the links were cut")
	}
	time.Sleep(2 * quietSpan)
	if now := len(c.Monitor.PlannedStops()); now != n {
		t.Errorf("%d went out without a majority", now-n)
	}
	out := clients.Stop()
	if s := answeredShare(out); s < answeredShare(withMajority)-0.01 || len(out.Violations) > 0 {
		t.Errorf("share served %.3f, %.3f in calm; broken: %v", s, answeredShare(withMajority), out.Violations)
	}
	for _, b := range c.Brokers {
		if clients.QueriesByBroker[b.Name] == 0 {
			t.Errorf("%s was asked nothing", b.Name)
		}
	}
	c.Mesh.Heal(true)
	at := time.Now()
	c.waitForStatus("a leader", func(*controlplane.Status) bool { return true })
	t.Logf("a leader speaks for a majority %v after the links were mended; share served %.4f, %.4f in calm", time.Since(at).Round(10*time.Millisecond),
		answeredShare(out), answeredShare(withMajority))
	for _, b := range survivors {
		c.waitFor(b.Name+" says that it is back", func() bool { return len(b.LogLines(logStart[b.Name], connected)) > 0 })
		if in, back := len(b.LogLines(logStart[b.Name], cutOff)), len(b.LogLines(logStart[b.Name], connected)); in != 1 || back != 1 {
			t.Errorf("%s said %d times that it is cut off, and %d times that it is back", b.Name, in, back)
		}
	}
	c.waitReleaseDone()
	for _, broken := range c.Monitor.Check(1, crashKnownAfter) {
		t.Error("over the limit: ", broken)
	}
	for _, b := range c.Brokers {
		if n := plannedStops(b); n != 1 {
			t.Errorf("%s was stopped %d times by the release", b.Name, n)
		}
	}
}

// A leader that speaks and hears nothing is no leader for long: the others agree without it.
func TestLeaderThatReceivesNothing(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	s := c.waitForStatus("a leader", func(s *controlplane.Status) bool { return s.Leader != "" })
	isolated := c.BrokerNamed(s.Leader)
	c.Mesh.Isolate(isolated.Index, true)
	at := time.Now()
	c.waitForStatus("another leads", func(s *controlplane.Status) bool { return s.Leader != isolated.Name })
	t.Logf("another leader speaks for the majority %v after the old one went deaf", time.Since(at).Round(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.SendToVoters(ctx, (isolated.Index+1)%3, controlplane.VerbHalt, &controlplane.Request{Release: 1 << 40}, nil); err == nil {
		t.Error("a release that there is not was halted")
	}
	c.waitForStatus("the deaf one is lost", func(s *controlplane.Status) bool {
		b, _ := brokerStatus(s, isolated.Name)
		return b.Status == statemachine.BrokerLost
	})
	if up, said := isolated.Serving(); !up || !said {
		t.Error("a broker that hears no other does not serve")
	}
	c.Mesh.Heal(false)
	c.all(statemachine.BrokerServing)
}
