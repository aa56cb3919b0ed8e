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

// failingStorage is a disk that fails from a moment on.
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

// A voter whose disk fails votes no more; it follows the others, and nobody is lost.
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
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		voter := c.participants["b2"]
		incarnation := voter.View().Incarnation
		diskFull.Store(true)
		for n := range 20 {
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(n + 1)}); err != nil {
				t.Fatal(err)
			}
		}
		c.waitUntil("the voter follows", 3*time.Second, func() bool {
			return readInLoop(voter, func() bool { return voter.voterStopped }) && voter.View().Epoch == 20
		})
		time.Sleep(10 * time.Second)
		if v := voter.View(); !c.allConnected() || v.Incarnation != incarnation {
			t.Errorf("connected %v, incarnation %d after %d", c.allConnected(), v.Incarnation, incarnation)
		}
	})
}

// When the leader dies another goes on: permits and drains are agreed again within 3 s, and nobody counts as lost but the dead.
func TestLeaderDies(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 6 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		oldLeader := c.leader()
		c.isolate(oldLeader, true)
		began := time.Now()
		if _, err := c.propose("b6", &statemachine.SetNodeList{Epoch: 1}); err != nil || time.Since(began) > 3*time.Second {
			t.Fatalf("agreed after %v: %v", time.Since(began), err)
		}
		time.Sleep(10 * time.Second)
		for _, b := range readInLoop(c.participants["b6"], c.participants["b6"].state.Brokers) {
			if (b.Status == statemachine.BrokerLost) != (b.Name == oldLeader) {
				t.Errorf("%s is %v", b.Name, b.Status)
			}
		}
	})
}

// Without a majority nothing is agreed and everybody says so; what is proposed meanwhile is agreed once they are together again.
func TestNoMajority(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		c.network.setPartitioned("b1", "b2", true)
		c.network.setPartitioned("b1", "b3", true)
		c.network.setPartitioned("b2", "b3", true)
		c.waitUntil("all know", 6*time.Second, func() bool {
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
			t.Error("an entry was agreed without a majority")
		}
		for _, pair := range [][2]string{{"b1", "b2"}, {"b1", "b3"}, {"b2", "b3"}} {
			c.network.setPartitioned(pair[0], pair[1], false)
		}
		c.waitUntil("all are back", 3*time.Second, c.allConnected)
		<-done
		c.waitUntil("it is agreed", time.Second, func() bool { return c.participants["b1"].View().Epoch == 1 })
	})
}

// An entry of a newer version ends a voter before it, be it the leader, with its log whole; the others are not held up by it.
// Those that followed it find another source: it still beats, and would feed them nothing for ever.
func TestNewerEntry(t *testing.T) {
	for _, leads := range []bool{true, false} {
		runWithFakeTime(t, func(t *testing.T, c *tier) {
			for i := range 3 {
				c.start(i + 1)
			}
			c.waitUntil("the voters are in", 5*time.Second, c.allConnected)
			name := c.leader()
			if !leads {
				name = map[string]string{"b1": "b2", "b2": "b3", "b3": "b1"}[name]
			}
			p := c.participants[name]
			cutOthersOff := func(partitioned bool) { // b4 can follow nobody else
				for _, other := range []string{"b1", "b2", "b3"} {
					if other != name {
						c.network.setPartitioned("b4", other, partitioned)
					}
				}
			}
			cutOthersOff(true)
			follower := c.start(4)
			c.waitUntil("it is followed", 5*time.Second, c.allConnected)
			cutOthersOff(false)
			p.runInLoop(t.Context(), func() { // as if this program were older than what comes next
				p.state.Apply(p.state.AppliedIndex()+1, []byte{99, 99})
			})
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: 1}); err != nil {
				t.Fatal(err)
			}
			c.waitUntil("it stops", 3*time.Second, func() bool { return readInLoop(p, func() bool { return p.voterStopped && p.haltedBy != nil }) })
			time.Sleep(10 * time.Second)
			if v := p.View(); v.Connected || v.Halted == nil || remedyOf(v.Halted) == "" {
				t.Errorf("it goes on: %+v", v)
			}
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: 2}); err != nil {
				t.Fatal(err)
			}
			if v := follower.View(); !v.Connected {
				t.Errorf("who followed it is cut off: %+v", v)
			}
		})
	}
}

// Brokers whose clocks were set back over a restart take up incarnations above those that the ledger knows, the leader too.
func TestClockSetBack(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, c *tier) {
		for i := range 3 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
		for _, name := range []string{"b1", "b2", "b3"} {
			c.stopBroker[name]()
		}
		c.adjustOptions = func(o *Options) { o.Incarnation = 1 }
		for i := range 3 {
			c.start(i + 1)
		}
		c.waitUntil("all are in", 5*time.Second, c.allConnected)
	})
}
