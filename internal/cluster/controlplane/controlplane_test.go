package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/decision/statemachine"
)

// runWithFakeTime runs a test in a bubble with its own time, which fails where a goroutine is left behind.
func runWithFakeTime(t *testing.T, test func(t *testing.T, c *tier)) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(t)
		defer c.close()
		test(t, c)
	})
}

var _ consensus.Storage = (*raftlog.Log)(nil)

func TestJoin(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
	})
}

// Where a source is full its followers take others on; nobody has more than it may, and no path is longer or goes round.
func TestFollowerTree(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		c.maxFollowers = 2
		for i := range 30 {
			c.start(i + 1)
		}
		check := func() {
			for name, p := range c.participants {
				n, path := readInLoop(p, p.followerCount), readInLoop(p, p.pathFromVoter)
				if n > 2 || len(path) > maxPathLength || strings.Count(strings.Join(path, " ")+" ", name+" ") > 1 {
					c.t.Fatalf("%s has %d followers, its path is %v", name, n, path)
				}
			}
		}
		c.waitUntil("all are in", 20*time.Second, func() bool { check(); return c.allConnected() })
		c.stopBroker["b4"]() // whoever follows it finds another
		c.stopBroker["b5"]()
		c.waitUntil("all are in again", 20*time.Second, func() bool { check(); return c.allConnected() })
	})
}

// findLostLeaseHolder tells of a broker that believes in its session though the ledger has it as lost.
func (c *tier) findLostLeaseHolder() string {
	for _, p := range c.participants {
		brokers := readInLoop(p, p.state.Brokers)
		for _, b := range brokers {
			holder := c.participants[b.Name]
			if holder != nil && b.Status == statemachine.BrokerLost && readInLoop(holder, func() bool { return holder.incarnation == b.Incarnation && holder.session.runsAt(holder.options.Now()) }) {
				return fmt.Sprintf("%s holds a lease as %d, and is lost", b.Name, b.Incarnation)
			}
		}
	}
	return ""
}

// Whoever is cut off knows it before the others count it as lost, and is back soon after the cut heals.
func TestCutOff(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		for _, name := range []string{"b5", c.leader(), "b4", "b2"} {
			p, incarnation := c.participants[name], c.participants[name].View().Incarnation
			c.isolate(name, true)
			other := c.participants["b1"]
			if name == "b1" {
				other = c.participants["b2"]
			}
			c.waitUntil(name+" is lost", 10*time.Second, func() bool {
				if fault := c.findLostLeaseHolder(); fault != "" {
					c.t.Fatal(fault)
				}
				b, _ := readInLoop(other, func() statemachine.Broker { b, _ := other.state.Broker(p.options.Slot); return b }), 0
				return b.Status == statemachine.BrokerLost
			})
			if p.View().Connected {
				t.Errorf("%s does not know that it is cut off", name)
			}
			c.isolate(name, false)
			c.waitUntil(name+" is back", 3*time.Second, c.allConnected)
			if p.View().Incarnation <= incarnation {
				t.Errorf("%s came back as %d, which was lost", name, incarnation)
			}
		}
	})
}

// The check above finds a granter that counts from the wrong side.
func TestCutOffCheckFindsEarlyExpiry(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		c.adjustOptions = func(o *Options) {
			if o.Slot <= 3 {
				o.MaxClockDrift = -0.8 // the leader takes a lease for over when a fifth of it is
			}
		}
		for i := range 4 {
			c.start(i + 1)
		}
		found := ""
		for end := time.Now().Add(20 * time.Second); found == "" && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			found = c.findLostLeaseHolder()
		}
		if found == "" {
			t.Error("a lease cut short was not found")
		}
	})
}

// What is proposed takes effect once, whoever leads and whatever link breaks meanwhile. A second time would be refused.
func TestProposalTakesEffectOnce(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		rnd := rand.New(rand.NewPCG(1, 2))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for n := range 40 {
			if n%4 == 1 { // links break while it is on its way
				go func(a, b, wait int) {
					time.Sleep(time.Duration(wait) * time.Millisecond)
					c.network.setPartitioned(fmt.Sprint("b", a+1), fmt.Sprint("b", b+1), true)
					time.Sleep(200 * time.Millisecond)
					c.network.setPartitioned(fmt.Sprint("b", a+1), fmt.Sprint("b", b+1), false)
				}(rnd.IntN(3), rnd.IntN(5), rnd.IntN(10))
			}
			if n == 20 {
				name := c.leader()
				i := int(name[1] - '0')
				c.stopBroker[name]()
				c.start(i)
			}
			r, err := c.participants["b5"].Propose(ctx, &statemachine.SetNodeList{Epoch: uint64(n + 1)})
			if err != nil || r.Number != uint64(n+1) {
				t.Fatalf("epoch %d: %+v, %v", n+1, r, err)
			}
		}
		time.Sleep(time.Second)
	})
}

// A broker that is far behind gets a snapshot, and all hold the same bytes.
func TestSnapshot(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 4 {
			p := c.start(i + 1)
			p.runInLoop(t.Context(), func() { p.recentEntries.maxEntries = 8 })
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		for n := range 60 {
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(n + 1)}); err != nil {
				t.Fatal(err)
			}
		}
		c.start(5)
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		time.Sleep(time.Second)
		var first []byte
		snapshots := uint64(0)
		for _, p := range c.participants {
			data := readInLoop(p, p.state.Snapshot)
			snapshots += p.Counts.Snapshots.Load()
			if first == nil {
				first = data
			}
			if string(data) != string(first) {
				t.Error("two brokers hold different bytes")
			}
		}
		if snapshots == 0 {
			t.Error("no snapshot was needed")
		}
	})
}
