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

// runWithFakeTime runs a test in a synctest bubble, with fake time. The test fails if a goroutine is still running at its end.
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
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
	})
}

// TestFollowerTree checks that the followers of full sources accept followers in turn, that no broker has more than MaxFollowers, and that
// no path from a voter exceeds maxPathLength or has a loop.
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
					c.t.Fatalf("%s has %d followers and the path %v", name, n, path)
				}
			}
		}
		c.waitUntil("all brokers are connected", 20*time.Second, func() bool { check(); return c.allConnected() })
		c.stopBroker["b4"]() // its followers must find another source
		c.stopBroker["b5"]()
		c.waitUntil("all brokers are connected again", 20*time.Second, func() bool { check(); return c.allConnected() })
	})
}

// findLostLeaseHolder describes a broker that takes its session for valid although the state machine has marked it as lost. It returns an
// empty string if there is none.
func (c *tier) findLostLeaseHolder() string {
	for _, p := range c.participants {
		brokers := readInLoop(p, p.state.Brokers)
		for _, b := range brokers {
			holder := c.participants[b.Name]
			if holder != nil && b.Status == statemachine.BrokerLost && readInLoop(holder, func() bool { return holder.incarnation == b.Incarnation && holder.session.runsAt(holder.options.Now()) }) {
				return fmt.Sprintf("%s, incarnation %d, holds a valid lease but is marked as lost", b.Name, b.Incarnation)
			}
		}
	}
	return ""
}

// TestCutOff checks that a broker that is cut off knows so before the others mark it as lost, and that it returns with a new incarnation
// soon after the link is restored.
func TestCutOff(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
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
				t.Errorf("%s is cut off, but its view says connected", name)
			}
			c.isolate(name, false)
			c.waitUntil(name+" is connected again", 3*time.Second, c.allConnected)
			if p.View().Incarnation <= incarnation {
				t.Errorf("%s came back with incarnation %d, which was marked as lost", name, incarnation)
			}
		}
	})
}

// TestCutOffCheckFindsEarlyExpiry checks that findLostLeaseHolder detects a leader that counts leases as expired too early.
func TestCutOffCheckFindsEarlyExpiry(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		c.adjustOptions = func(o *Options) {
			if o.Slot <= 3 {
				o.MaxClockDrift = -0.8 // the leader counts a lease as expired after a fifth of its duration
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
			t.Error("a lease that the leader counts as expired too early was not detected")
		}
	})
}

// TestProposalTakesEffectOnce checks that an entry takes effect exactly once while links break and the leader restarts. The state machine
// would reject an epoch that is set a second time.
func TestProposalTakesEffectOnce(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		rnd := rand.New(rand.NewPCG(1, 2))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for n := range 40 {
			if n%4 == 1 { // a link breaks while the proposal is in flight
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

// TestSnapshot checks that a broker that is far behind receives a snapshot, and that the state is the same on all brokers.
func TestSnapshot(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 4 {
			p := c.start(i + 1)
			p.runInLoop(t.Context(), func() { p.recentEntries.maxEntries = 8 })
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		for n := range 60 {
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(n + 1)}); err != nil {
				t.Fatal(err)
			}
		}
		c.start(5)
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
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
				t.Error("the snapshots of two brokers' states differ")
			}
		}
		if snapshots == 0 {
			t.Error("no snapshot was sent")
		}
	})
}
