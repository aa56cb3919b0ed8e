package proof

import (
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab"
	"flaxfront/internal/lab/chaos"
)

// waitNodesListed waits until the tier has agreed on the list of nodes.
func (c *tier) waitNodesListed() {
	c.t.Helper()
	c.waitForStatus("the nodes are listed", func(s *controlplane.Status) bool { return len(s.Nodes) == len(c.Nodes) })
}

// waitDrained waits until a node's drain is done, and returns what was known at that moment.
func (c *tier) waitDrained(node string) controlplane.Status {
	c.t.Helper()
	return c.waitForStatus(node+" is drained", func(s *controlplane.Status) bool {
		return slices.ContainsFunc(s.Drains, func(d controlplane.DrainStatus) bool { return d.Node == node && d.Done })
	})
}

// countArrivals counts the parts that come to a node in a span. What was on its way before had time to arrive.
func countArrivals(n *lab.Node, span time.Duration) int64 {
	time.Sleep(250 * time.Millisecond)
	before := n.ShardRequests.Load()
	time.Sleep(span)
	return n.ShardRequests.Load() - before
}

// An agreed drain reaches every broker: once the tier calls the node drained, no part comes to it from any of them, and after the
// end of the drain they come again. Where discovery has ended a node meanwhile, the end of a drain does not bring it back.
func TestDrainReachesAll(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(120, 7)
	c.waitNodesListed()
	x, y, nameX, nameY := c.Nodes[0], c.Nodes[1], c.List[0].InstanceID, c.List[1].InstanceID
	c.waitFor("parts come to both", func() bool { return x.ShardRequests.Load() > 20 && y.ShardRequests.Load() > 20 })
	c.mustRun("drain", nameX)
	c.waitDrained(nameX)
	if n := countArrivals(x, quietSpan); n > 0 {
		t.Errorf("%d parts came to a drained node", n)
	}
	c.mustRun("undrain", nameX)
	had := x.ShardRequests.Load()
	c.waitFor("parts come again", func() bool { return x.ShardRequests.Load() > had+20 })

	c.mustRun("drain", nameY)
	c.waitDrained(nameY)
	list := slices.Clone(c.List)
	list[1].Lifecycle = "terminating"
	c.Discovery.SetList(list)
	time.Sleep(quietSpan) // each broker's watch brings the news by itself
	c.mustRun("undrain", nameY)
	if n := countArrivals(y, quietSpan); n > 0 {
		t.Errorf("%d parts came to a node that discovery drains", n)
	}
	out := clients.Stop()
	if len(out.Violations) > 0 || answeredShare(out) < 0.95 {
		t.Errorf("share served %.3f; %v", answeredShare(out), out.Violations)
	}
	t.Log(out)
}

// A broker that is cut off has heard nothing of a drain: the node is not called drained before that broker's lease has run out, of
// which it says so itself.
func TestDrainWaitsForIsolatedBroker(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(60, 8)
	c.waitNodesListed()
	x, name, b := c.Nodes[2], c.List[2].InstanceID, c.Brokers[4]
	from := b.LogSize()
	c.Mesh.Isolate(b.Index, false)
	c.mustRun("drain", name)
	s := c.waitDrained(name)
	at := time.Now()
	if me, _ := brokerStatus(&s, b.Name); me.Status != statemachine.BrokerLost {
		t.Errorf("drained while a broker that cannot have heard of it is %v", me.Status)
	}
	var lines []string
	c.waitFor("the broker that is cut off says so", func() bool {
		lines = b.LogLines(from, cutOff)
		return len(lines) > 0
	})
	if ended := logTime(t, lines[0]); ended.After(at) {
		t.Errorf("drained at %v, and the lease of a broker that had not heard of it ended at %v", at, ended)
	}
	clients.Stop()
	had := x.ShardRequests.Load() // with no load but that through the ones that were told
	informedClients := c.Clients(60, 9, c.Brokers[:4]...)
	time.Sleep(quietSpan)
	if out := informedClients.Stop(); x.ShardRequests.Load() != had || len(out.Violations) > 0 {
		t.Errorf("%d parts came to a drained node; %v", x.ShardRequests.Load()-had, out.Violations)
	}
	c.Mesh.Heal(true)
	c.all(statemachine.BrokerServing)
	c.waitDrained(name) // now by its own word
	again := c.Clients(60, 10)
	if n := countArrivals(x, quietSpan); n > 0 {
		t.Errorf("%d parts came to a drained node after the one that was cut off is back", n)
	}
	again.Stop()
}

// logTime reads when a line was logged.
func logTime(t *testing.T, line string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", text)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
