package controlplane

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/consensus"
	"flaxfront/internal/decision/statemachine"
)

// failingStorage is a storage whose writes fail while isFailing is set.
type failingStorage struct {
	consensus.Storage
	isFailing *atomic.Bool
}

func (d failingStorage) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	if d.isFailing.Load() {
		return errors.New("no space left")
	}
	return d.Storage.Save(h, e, s)
}

// TestDiskFails checks that a voter whose disk fails stops voting and follows the others, and that no broker is marked as lost.
func TestDiskFails(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		var diskFull atomic.Bool
		c.adjustOptions = func(o *Options) {
			if o.Slot == 2 {
				o.Storage = failingStorage{o.Storage, &diskFull}
			}
		}
		for i := range 4 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		voter := c.participants["b2"]
		incarnation := voter.View().Incarnation
		diskFull.Store(true)
		for n := range 20 {
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(n + 1)}); err != nil {
				t.Fatal(err)
			}
		}
		c.waitUntil("the voter has stopped and follows the others", 3*time.Second, func() bool {
			return readInLoop(voter, func() bool { return voter.voterStopped }) && voter.View().Epoch == 20
		})
		time.Sleep(10 * time.Second)
		if v := voter.View(); !c.allConnected() || v.Incarnation != incarnation {
			t.Errorf("all connected: %v; incarnation %d, was %d", c.allConnected(), v.Incarnation, incarnation)
		}
	})
}

// TestLeaderDies checks that entries are committed again within 3 s of the loss of the leader, and that only the old leader is marked as lost.
func TestLeaderDies(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 6 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		oldLeader := c.leader()
		c.isolate(oldLeader, true)
		began := time.Now()
		if _, err := c.propose("b6", &statemachine.SetNodeList{Epoch: 1}); err != nil || time.Since(began) > 3*time.Second {
			t.Fatalf("proposal ended after %v, want at most 3 s; error %v", time.Since(began), err)
		}
		time.Sleep(10 * time.Second)
		for _, b := range readInLoop(c.participants["b6"], c.participants["b6"].state.Brokers) {
			if (b.Status == statemachine.BrokerLost) != (b.Name == oldLeader) {
				t.Errorf("%s has status %v", b.Name, b.Status)
			}
		}
	})
}

// TestNoMajority checks that without a majority no entry is committed and all brokers know that they are cut off. An entry proposed
// meanwhile is committed once the voters reach one another again.
func TestNoMajority(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		c.network.setPartitioned("b1", "b2", true)
		c.network.setPartitioned("b1", "b3", true)
		c.network.setPartitioned("b2", "b3", true)
		c.waitUntil("all brokers know that they are cut off", 6*time.Second, func() bool {
			for _, p := range c.participants {
				if p.View().Connected {
					return false
				}
			}
			return true
		})
		done := make(chan error, 1)
		go func() {
			_, err := c.propose("b5", &statemachine.SetNodeList{Epoch: 1})
			done <- err
		}()
		time.Sleep(5 * time.Second)
		if len(done) > 0 || c.participants["b1"].View().Epoch != 0 {
			t.Error("an entry was committed without a majority")
		}
		for _, pair := range [][2]string{{"b1", "b2"}, {"b1", "b3"}, {"b2", "b3"}} {
			c.network.setPartitioned(pair[0], pair[1], false)
		}
		c.waitUntil("all brokers are connected again", 3*time.Second, c.allConnected)
		<-done
		c.waitUntil("the entry is applied on b1", time.Second, func() bool { return c.participants["b1"].View().Epoch == 1 })
	})
}

// TestNewerEntry checks that a voter, leader or not, stops at an entry of a newer version, and that the others go on. The followers of that
// voter must find another source, as it still sends heartbeats, but would never feed them another entry.
func TestNewerEntry(t *testing.T) {
	for _, leads := range []bool{true, false} {
		runWithFakeTime(t, func(t *testing.T, c *tier) {
			for i := range 3 {
				c.start(i + 1)
			}
			c.waitUntil("the voters are connected", 5*time.Second, c.allConnected)
			name := c.leader()
			if !leads {
				name = map[string]string{"b1": "b2", "b2": "b3", "b3": "b1"}[name]
			}
			p := c.participants[name]
			cutOthersOff := func(partitioned bool) { // leaves b4 only this voter to follow
				for _, other := range []string{"b1", "b2", "b3"} {
					if other != name {
						c.network.setPartitioned("b4", other, partitioned)
					}
				}
			}
			cutOthersOff(true)
			follower := c.start(4)
			c.waitUntil("b4 follows the voter", 5*time.Second, c.allConnected)
			cutOthersOff(false)
			p.runInLoop(t.Context(), func() { // simulates an entry that a newer program has proposed
				p.state.Apply(p.state.AppliedIndex()+1, []byte{99, 99})
			})
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: 1}); err != nil {
				t.Fatal(err)
			}
			c.waitUntil("the voter stops", 3*time.Second, func() bool { return readInLoop(p, func() bool { return p.voterStopped && p.haltedBy != nil }) })
			time.Sleep(10 * time.Second)
			if v := p.View(); v.Connected || v.Halted == nil || remedyOf(v.Halted) == "" {
				t.Errorf("the voter has not halted: %+v", v)
			}
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: 2}); err != nil {
				t.Fatal(err)
			}
			if v := follower.View(); !v.Connected {
				t.Errorf("the voter's follower is cut off: %+v", v)
			}
		})
	}
}

// TestClockSetBack checks that brokers whose clocks were set back before a restart, the leader included, register with incarnations above
// those in the state machine.
func TestClockSetBack(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 3 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
		for _, name := range []string{"b1", "b2", "b3"} {
			c.stopBroker[name]()
		}
		c.adjustOptions = func(o *Options) { o.Incarnation = 1 }
		for i := range 3 {
			c.start(i + 1)
		}
		c.waitUntil("all brokers are connected", 5*time.Second, c.allConnected)
	})
}
