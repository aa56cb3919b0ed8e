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

// waitDrained waits until a node's drain is done, and returns the status that said so.
func (c *tier) waitDrained(node string) controlplane.Status {
	c.t.Helper()
	return c.waitForStatus(node+" is drained", func(s *controlplane.Status) bool {
		return slices.ContainsFunc(s.Drains, func(d controlplane.DrainStatus) bool { return d.Node == node && d.Done })
	})
}

// countArrivals counts the shard requests that reach a node in a span. It first gives those already under way time to arrive.
func countArrivals(n *lab.Node, span time.Duration) int64 {
	time.Sleep(250 * time.Millisecond)
	before := n.ShardRequests.Load()
	time.Sleep(span)
	return n.ShardRequests.Load() - before
}

// An agreed drain reaches every broker: once the status shows the node drained, no broker sends it shard requests until the drain ends.
// If discovery has marked the node as terminating meanwhile, it gets none after the end of the drain either.
func TestDrainReachesAll(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 5, Voters: 3})
	clients := c.Clients(120, 7)
	c.waitNodesListed()
	x, y, nameX, nameY := c.Nodes[0], c.Nodes[1], c.List[0].InstanceID, c.List[1].InstanceID
	c.waitFor("both nodes get shard requests", func() bool { return x.ShardRequests.Load() > 20 && y.ShardRequests.Load() > 20 })
	c.mustRun("drain", nameX)
	c.waitDrained(nameX)
	if n := countArrivals(x, quietSpan); n > 0 {
		t.Errorf("a drained node got %d shard requests", n)
	}
	c.mustRun("undrain", nameX)
	had := x.ShardRequests.Load()
	c.waitFor("the node gets shard requests again", func() bool { return x.ShardRequests.Load() > had+20 })

	c.mustRun("drain", nameY)
	c.waitDrained(nameY)
	list := slices.Clone(c.List)
	list[1].Lifecycle = "terminating"
	c.Discovery.SetList(list)
	time.Sleep(quietSpan) // the brokers learn of the change by their own watches
	c.mustRun("undrain", nameY)
	if n := countArrivals(y, quietSpan); n > 0 {
		t.Errorf("a node that is terminating in discovery got %d shard requests", n)
	}
	out := clients.Stop()
	if len(out.Violations) > 0 || answeredShare(out) < 0.95 {
		t.Errorf("share of queries answered %.3f; violations: %v", answeredShare(out), out.Violations)
	}
	t.Log(out)
}

// An isolated broker does not learn of a drain: the status must not show the node drained before that broker's lease has expired and
// the broker itself has logged that it is cut off.
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
		t.Errorf("the node is drained while the isolated broker is %v", me.Status)
	}
	var lines []string
	c.waitFor("the isolated broker logs that it is cut off", func() bool {
		lines = b.LogLines(from, cutOff)
		return len(lines) > 0
	})
	if ended := logTime(t, lines[0]); ended.After(at) {
		t.Errorf("the node was drained at %v, before the lease of the isolated broker ended at %v", at, ended)
	}
	clients.Stop()
	had := x.ShardRequests.Load() // load only through the brokers that learned of the drain
	informedClients := c.Clients(60, 9, c.Brokers[:4]...)
	time.Sleep(quietSpan)
	if out := informedClients.Stop(); x.ShardRequests.Load() != had || len(out.Violations) > 0 {
		t.Errorf("a drained node got %d shard requests; violations: %v", x.ShardRequests.Load()-had, out.Violations)
	}
	c.Mesh.Heal(true)
	c.all(statemachine.BrokerServing)
	c.waitDrained(name) // now acknowledged by the broker itself
	again := c.Clients(60, 10)
	if n := countArrivals(x, quietSpan); n > 0 {
		t.Errorf("a drained node got %d shard requests after the isolated broker was connected again", n)
	}
	again.Stop()
}

// logTime returns the time of a log line.
func logTime(t *testing.T, line string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", text)
	if err != nil {
		t.Fatal(err)
	}
	return at
}
