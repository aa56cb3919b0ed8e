package proof

import (
	"testing"
	"time"

	"flaxfront/internal/lab/chaos"
)

// A broker that starts while a node is drained by agreement knows nothing of it at first; it takes no searches before it does, so
// that none goes to that node.
func TestDrainHoldsOverRestarts(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.waitNodesListed()
	x, name := c.Nodes[0], c.List[0].InstanceID
	c.mustRun("drain", name)
	c.waitDrained(name)
	time.Sleep(250 * time.Millisecond)
	had := x.ShardRequests.Load()
	for i, b := range []*chaos.Broker{c.Brokers[3], c.Brokers[1]} { // one that follows, and a voter
		c.stopBroker(b)
		c.Mesh.SetDelay(b.Index, 40*time.Millisecond)
		clients := c.Clients(200, uint64(11+i), b)
		if err := c.Start(b); err != nil {
			t.Fatal(err)
		}
		c.waitFor("it serves", func() bool { up, said := b.Serving(); return up && said })
		time.Sleep(quietSpan / 2)
		c.waitDrained(name)
		clients.Stop()
		c.Mesh.SetDelay(b.Index, 0)
	}
	if n := x.ShardRequests.Load() - had; n > 0 {
		t.Errorf("%d parts came to a drained node from brokers that started", n)
	}
}
