package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/raftlog"
)

type sink struct{ applied int }

type counted struct {
	*raftlog.Log
	saves int
}

func (c *counted) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	c.saves++
	return c.Log.Save(h, e, s)
}

func (s *sink) Apply(uint64, []byte) { s.applied++ }
func (s *sink) Snapshot() []byte     { return nil }
func (s *sink) Restore([]byte) error { return nil }

// Three voters on one goroutine, each with its log on the machine's disk, messages without delay: entries of 200 bytes,
// so many handed in before each ProcessReady.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			var nodes []*Node
			for id := range uint64(3) {
				log, err := raftlog.Open(raftlog.Options{Directory: b.TempDir(), Cluster: "b", VoterID: id + 1, Voters: []uint64{1, 2, 3},
					Create: true})
				if err != nil {
					b.Fatal(err)
				}
				defer log.Close()
				disk := &counted{Log: log}
				n, err := New(Config{ID: id + 1, Voters: []uint64{1, 2, 3}, ElectionTimeout: election, HeartbeatInterval: heartbeat, Storage: disk,
					StateMachine: &sink{}}, 0)
				if err != nil {
					b.Fatal(err)
				}
				nodes = append(nodes, n)
			}
			settle := func() {
				for busy := true; busy; {
					busy = false
					for _, n := range nodes {
						for _, p := range n.ProcessReady() {
							nodes[p.To-1].Step(n.config.ID, p.Data, n.now)
							busy = true
						}
					}
				}
			}
			nodes[0].Tick(2 * election)
			settle()
			if !nodes[0].IsCaughtUpLeader() {
				b.Fatal("no leader")
			}
			for b.Loop() {
				for range batch {
					if err := nodes[0].Propose(make([]byte, 200), nodes[0].now); err != nil {
						b.Fatal(err)
					}
				}
				settle()
			}
			saves := 0
			for _, n := range nodes {
				saves += n.config.Storage.(*counted).saves
			}
			b.ReportMetric(float64(saves)/float64(b.N), "fsyncs/op")
			b.ReportMetric(float64(nodes[0].config.StateMachine.(*sink).applied)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// How long, in virtual time, a tier is without a leader that has caught up after the leader is killed: 1,000 seeds, links of
// 10 ms at most, an election time of 200 ms, heartbeats each 50 ms. Given in election times.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				took = took[:0]
				for seed := range uint64(1000) {
					w := newWorld(seed, size, none)
					for len(w.leading()) == 0 || w.now < 5*election {
						w.until(w.now + ms)
					}
					killed := w.now
					w.kill(w.voters[w.leading()[0]-1])
					for ids := w.leading(); len(ids) == 0 || !w.voters[ids[0]-1].node.IsCaughtUpLeader(); ids = w.leading() {
						w.until(w.now + ms)
					}
					took = append(took, w.now-killed)
				}
			}
			slices.Sort(took)
			for _, q := range []int{500, 900, 990, 1000} {
				b.ReportMetric(float64(took[q-1])/float64(election), fmt.Sprintf("elections/p%d", q/10))
			}
		})
	}
}
