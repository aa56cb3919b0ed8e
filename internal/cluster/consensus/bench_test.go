package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/raftlog"
)

type countingStateMachine struct{ applied int }

type countingStorage struct {
	*raftlog.Log
	saves int
}

func (c *countingStorage) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	c.saves++
	return c.Log.Save(h, e, s)
}

func (s *countingStateMachine) Apply(uint64, []byte) { s.applied++ }
func (s *countingStateMachine) Snapshot() []byte     { return nil }
func (s *countingStateMachine) Restore([]byte) error { return nil }

// BenchmarkPropose commits entries of 200 bytes with three voters on one goroutine, each with its log on the machine's disk, and messages
// without delay. The sub-benchmark's name is the number of entries proposed before each ProcessReady.
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
				storage := &countingStorage{Log: log}
				n, err := New(Config{ID: id + 1, Voters: []uint64{1, 2, 3}, ElectionTimeout: election, HeartbeatInterval: heartbeat, Storage: storage,
					StateMachine: &countingStateMachine{}}, 0)
				if err != nil {
					b.Fatal(err)
				}
				nodes = append(nodes, n)
			}
			deliverAll := func() {
				for delivered := true; delivered; {
					delivered = false
					for _, n := range nodes {
						for _, p := range n.ProcessReady() {
							nodes[p.To-1].Step(n.config.ID, p.Data, n.now)
							delivered = true
						}
					}
				}
			}
			nodes[0].Tick(2 * election)
			deliverAll()
			if !nodes[0].IsCaughtUpLeader() {
				b.Fatal("voter 1 is not a leader that has caught up")
			}
			for b.Loop() {
				for range batch {
					if err := nodes[0].Propose(make([]byte, 200), nodes[0].now); err != nil {
						b.Fatal(err)
					}
				}
				deliverAll()
			}
			saves := 0
			for _, n := range nodes {
				saves += n.config.Storage.(*countingStorage).saves
			}
			b.ReportMetric(float64(saves)/float64(b.N), "fsyncs/op")
			b.ReportMetric(float64(nodes[0].config.StateMachine.(*countingStateMachine).applied)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkFailover reports how long, in virtual time, there is no leader that has caught up after the leader is killed. It uses 1,000
// seeds, message delays of at most 10 ms, an election timeout of 200 ms and heartbeats each 50 ms. The unit is election timeouts.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				durations = durations[:0]
				for seed := range uint64(1000) {
					w := newWorld(seed, size, noMutant)
					for len(w.leaderIDs()) == 0 || w.now < 5*election {
						w.runUntil(w.now + ms)
					}
					killedAt := w.now
					w.kill(w.voters[w.leaderIDs()[0]-1])
					for ids := w.leaderIDs(); len(ids) == 0 || !w.voters[ids[0]-1].node.IsCaughtUpLeader(); ids = w.leaderIDs() {
						w.runUntil(w.now + ms)
					}
					durations = append(durations, w.now-killedAt)
				}
			}
			slices.Sort(durations)
			for _, q := range []int{500, 900, 990, 1000} {
				b.ReportMetric(float64(durations[q-1])/float64(election), fmt.Sprintf("elections/p%d", q/10))
			}
		})
	}
}
