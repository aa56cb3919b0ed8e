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

// failing is a disk that fails from a moment on.
type failing struct {
	consensus.Storage
	now *atomic.Bool
}

func (d failing) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	if d.now.Load() {
		return errors.New("no space left")
	}
	return d.Storage.Save(h, e, s)
}

// A voter whose disk fails votes no more; it follows the others, and nobody is lost.
func TestDiskFails(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		var full atomic.Bool
		c.set = func(o *Options) {
			if o.Slot == 2 {
				o.Storage = failing{o.Storage, &full}
			}
		}
		for i := range 4 {
			c.start(i + 1)
		}
		c.until("all are in", 5*time.Second, c.connected)
		voter := c.all["b2"]
		inc := voter.View().Incarnation
		full.Store(true)
		for n := range 20 {
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: uint64(n + 1)}); err != nil {
				t.Fatal(err)
			}
		}
		c.until("the voter follows", 3*time.Second, func() bool {
			return peek(voter, func() bool { return voter.voterStopped }) && voter.View().Epoch == 20
		})
		time.Sleep(10 * time.Second)
		if v := voter.View(); !c.connected() || v.Incarnation != inc {
			t.Errorf("connected %v, incarnation %d after %d", c.connected(), v.Incarnation, inc)
		}
	})
}

// When the leader dies another goes on: permits and drains are agreed again within 3 s, and nobody counts as lost but the dead.
func TestLeaderDies(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		for i := range 6 {
			c.start(i + 1)
		}
		c.until("all are in", 5*time.Second, c.connected)
		dead := c.leader()
		c.isolate(dead, true)
		began := time.Now()
		if _, err := c.propose("b6", &statemachine.SetNodeList{Epoch: 1}); err != nil || time.Since(began) > 3*time.Second {
			t.Fatalf("agreed after %v: %v", time.Since(began), err)
		}
		time.Sleep(10 * time.Second)
		for _, b := range peek(c.all["b6"], c.all["b6"].state.Brokers) {
			if (b.Status == statemachine.BrokerLost) != (b.Name == dead) {
				t.Errorf("%s is %v", b.Name, b.Status)
			}
		}
	})
}

// Without a majority nothing is agreed and everybody says so; what is proposed meanwhile is agreed once they are together again.
func TestNoMajority(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		for i := range 5 {
			c.start(i + 1)
		}
		c.until("all are in", 5*time.Second, c.connected)
		c.w.cut("b1", "b2", true)
		c.w.cut("b1", "b3", true)
		c.w.cut("b2", "b3", true)
		c.until("all know", 6*time.Second, func() bool {
			for _, f := range c.all {
				if f.View().Connected {
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
		if len(done) > 0 || c.all["b1"].View().Epoch != 0 {
			t.Error("an entry was agreed without a majority")
		}
		for _, pair := range [][2]string{{"b1", "b2"}, {"b1", "b3"}, {"b2", "b3"}} {
			c.w.cut(pair[0], pair[1], false)
		}
		c.until("all are back", 3*time.Second, c.connected)
		<-done
		c.until("it is agreed", time.Second, func() bool { return c.all["b1"].View().Epoch == 1 })
	})
}

// An entry of a newer version ends a voter before it, be it the leader, with its log whole; the others are not held up by it.
// Those that followed it find another source: it still beats, and would feed them nothing for ever.
func TestNewerEntry(t *testing.T) {
	for _, leads := range []bool{true, false} {
		inside(t, func(t *testing.T, c *tier) {
			for i := range 3 {
				c.start(i + 1)
			}
			c.until("the voters are in", 5*time.Second, c.connected)
			name := c.leader()
			if !leads {
				name = map[string]string{"b1": "b2", "b2": "b3", "b3": "b1"}[name]
			}
			f := c.all[name]
			only := func(apart bool) { // b4 can follow nobody else
				for _, other := range []string{"b1", "b2", "b3"} {
					if other != name {
						c.w.cut("b4", other, apart)
					}
				}
			}
			only(true)
			follower := c.start(4)
			c.until("it is followed", 5*time.Second, c.connected)
			only(false)
			f.runInLoop(t.Context(), func() { // as if this program were older than what comes next
				f.state.Apply(f.state.AppliedIndex()+1, []byte{99, 99})
			})
			if _, err := c.propose("b4", &statemachine.SetNodeList{Epoch: 1}); err != nil {
				t.Fatal(err)
			}
			c.until("it stops", 3*time.Second, func() bool { return peek(f, func() bool { return f.voterStopped && f.haltedBy != nil }) })
			time.Sleep(10 * time.Second)
			if v := f.View(); v.Connected || v.Halted == nil || remedyOf(v.Halted) == "" {
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
func TestClockBack(t *testing.T) {
	inside(t, func(t *testing.T, c *tier) {
		for i := range 3 {
			c.start(i + 1)
		}
		c.until("all are in", 5*time.Second, c.connected)
		for _, name := range []string{"b1", "b2", "b3"} {
			c.stop[name]()
		}
		c.set = func(o *Options) { o.Incarnation = 1 }
		for i := range 3 {
			c.start(i + 1)
		}
		c.until("all are in", 5*time.Second, c.connected)
	})
}
