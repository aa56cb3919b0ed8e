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

// Without a majority of the voters every broker serves queries as before, no broker is stopped for a release, and each broker logs
// once that it is cut off. The release goes on when the links work again.
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
	survivors := []*chaos.Broker{} // brokers that ran all the time
	c.waitFor("every broker that ran all the time has logged that it is cut off", func() bool {
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
		t.Error("status was answered without a majority")
	}
	n := len(c.Monitor.PlannedStops())
	if n == len(c.Brokers) {
		t.Fatal("all brokers were stopped for the release before the links were cut")
	}
	time.Sleep(2 * quietSpan)
	if now := len(c.Monitor.PlannedStops()); now != n {
		t.Errorf("%d brokers were stopped without a majority", now-n)
	}
	out := clients.Stop()
	if s := answeredShare(out); s < answeredShare(withMajority)-0.01 || len(out.Violations) > 0 {
		t.Errorf("share of queries answered %.3f, %.3f with a majority; violations: %v", s, answeredShare(withMajority), out.Violations)
	}
	for _, b := range c.Brokers {
		if clients.QueriesByBroker[b.Name] == 0 {
			t.Errorf("%s got no queries", b.Name)
		}
	}
	c.Mesh.Heal(true)
	at := time.Now()
	c.waitForStatus("a leader is elected", func(*controlplane.Status) bool { return true })
	t.Logf("a leader answers %v after the links were healed; share of queries answered %.4f, %.4f with a majority", time.Since(at).Round(10*time.Millisecond),
		answeredShare(out), answeredShare(withMajority))
	for _, b := range survivors {
		c.waitFor(b.Name+" logs that it is connected again", func() bool { return len(b.LogLines(logStart[b.Name], connected)) > 0 })
		if in, back := len(b.LogLines(logStart[b.Name], cutOff)), len(b.LogLines(logStart[b.Name], connected)); in != 1 || back != 1 {
			t.Errorf("%s logged %d times that it is cut off and %d times that it is connected, want 1 and 1", b.Name, in, back)
		}
	}
	c.waitReleaseDone()
	for _, broken := range c.Monitor.Check(1, crashKnownAfter) {
		t.Error("release limit exceeded: ", broken)
	}
	for _, b := range c.Brokers {
		if n := plannedStops(b); n != 1 {
			t.Errorf("%s was stopped %d times by the release, want 1", b.Name, n)
		}
	}
}

// A leader that can send but receives nothing is soon replaced: the others elect a new one and count it as lost.
func TestLeaderThatReceivesNothing(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	s := c.waitForStatus("a leader is elected", func(s *controlplane.Status) bool { return s.Leader != "" })
	isolated := c.BrokerNamed(s.Leader)
	c.Mesh.Isolate(isolated.Index, true)
	at := time.Now()
	c.waitForStatus("another voter leads", func(s *controlplane.Status) bool { return s.Leader != isolated.Name })
	t.Logf("another leader answers %v after the old one was isolated", time.Since(at).Round(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.SendToVoters(ctx, (isolated.Index+1)%3, controlplane.VerbHalt, &controlplane.Request{Release: 1 << 40}, nil); err == nil {
		t.Error("halting a release that does not exist succeeded")
	}
	c.waitForStatus("the isolated leader is lost", func(s *controlplane.Status) bool {
		b, _ := brokerStatus(s, isolated.Name)
		return b.Status == statemachine.BrokerLost
	})
	if up, said := isolated.Serving(); !up || !said {
		t.Error("an isolated broker does not serve")
	}
	c.Mesh.Heal(false)
	c.all(statemachine.BrokerServing)
}
