package proof

import (
	"testing"
	"time"

	"flaxfront/internal/lab/chaos"
)

// A broker that starts does not know of an agreed drain at first. It must take no queries before it does, so that none of their shard
// requests goes to the drained node.
func TestDrainHoldsOverRestarts(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.waitNodesListed()
	x, name := c.Nodes[0], c.List[0].InstanceID
	c.mustRun("drain", name)
	c.waitDrained(name)
	time.Sleep(250 * time.Millisecond)
	had := x.ShardRequests.Load()
	for i, b := range []*chaos.Broker{c.Brokers[3], c.Brokers[1]} { // a broker that is no voter, and a voter
		c.stopBroker(b)
		c.Mesh.SetDelay(b.Index, 40*time.Millisecond)
		clients := c.Clients(200, uint64(11+i), b)
		if err := c.Start(b); err != nil {
			t.Fatal(err)
		}
		c.waitFor("the broker serves", func() bool { up, said := b.Serving(); return up && said })
		time.Sleep(quietSpan / 2)
		c.waitDrained(name)
		clients.Stop()
		c.Mesh.SetDelay(b.Index, 0)
	}
	if n := x.ShardRequests.Load() - had; n > 0 {
		t.Errorf("a drained node got %d shard requests from brokers that had just started", n)
	}
}
