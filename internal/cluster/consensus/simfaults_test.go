package consensus

// What breaks: the faults that every voter must bear, and those put in on purpose that the checks must find.

import (
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/raftlog"
)

const faulty = 8 * time.Second // the time of faults

// mutant is a fault put in on purpose.
type mutant string

const (
	none         mutant = ""
	earlyAck     mutant = "acknowledged before the fsync"
	localRead    mutant = "read served without a majority"
	careless     mutant = "went on after a failed fsync"
	voteless     mutant = "votes not kept"
	unhealed     mutant = "no leader after healing"
	otherMachine mutant = "one voter applies something else"
)

// carelessLog goes on after a failed save as if it had kept it.
type carelessLog struct{ *raftlog.Log }

func (c carelessLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	c.Log.Save(h, e, s)
	return nil
}

// votelessLog keeps terms and not votes.
type votelessLog struct{ *raftlog.Log }

func (c votelessLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	return c.Log.Save(&pb.HardState{Term: new(h.GetTerm()), Commit: new(h.GetCommit())}, e, s)
}

// lateLog acknowledges a save and writes it with the next one.
type lateLog struct {
	*raftlog.Log
	waits func() error
}

func (l *lateLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) (err error) {
	if l.waits != nil {
		err = l.waits()
	}
	l.waits = func() error { return l.Log.Save(h, e, s) }
	return err
}

// target prefers a leader, whose loss says most.
func (w *world) target() *voter {
	if leads := w.leading(); len(leads) > 0 && w.chance(0.6) {
		return w.voters[leads[w.rnd.IntN(len(leads))]-1]
	}
	return w.some()
}

// fault plays one fault after the other.
func (w *world) fault() {
	w.after(50*ms+w.upTo(500*ms), func() {
		if w.now >= faulty {
			return
		}
		defer w.fault()
		v, kinds := w.target(), []string{"crash", "step", "fsync", "full", "pause", "split", "oneway", "unreachable", "loss", "transfer",
			"calm", "calm"}
		kind := kinds[w.rnd.IntN(len(kinds))]
		w.faults[kind]++
		back := func() { w.after(100*ms+w.upTo(2*time.Second), func() { w.start(v) }) }
		switch kind {
		case "crash":
			w.kill(v)
			back()
		case "step": // within the next saves
			v.disk.CrashAt = v.disk.Steps + 1 + w.rnd.IntN(9)
		case "fsync", "full": // the voter stops by itself; later somebody starts it on a disk that is well
			v.disk.FailSync, v.disk.Full = kind == "fsync", kind == "full"
			w.after(200*ms+w.upTo(time.Second), func() {
				if w.now < faulty {
					w.kill(v)
					back()
				}
			})
		case "pause":
			w.pause(v, w.upTo(1500*ms))
		case "split":
			side := map[uint64]bool{}
			for _, id := range w.ids {
				side[id] = w.chance(0.5)
			}
			w.cutWhere(func(from, to uint64) bool { return side[from] != side[to] })
		case "oneway":
			w.cutWhere(func(from, to uint64) bool { return from != v.id && w.chance(0.3) })
		case "unreachable":
			out := w.chance(0.5)
			w.cutWhere(func(from, to uint64) bool { return out && from == v.id || !out && to == v.id })
		case "loss":
			w.loss, w.slow = w.rnd.Float64()*0.4, 5*ms+w.upTo(150*ms)
		case "transfer":
			if v.up && !v.paused {
				v.node.TransferLeadership(v.local(w.now))
				w.turn(v)
			}
		case "calm":
			clear(w.cut)
			w.loss, w.slow = 0, 10*ms
		}
	})
}

func (w *world) cutWhere(cut func(from, to uint64) bool) {
	clear(w.cut)
	for _, from := range w.ids {
		for _, to := range w.ids {
			if from != to && cut(from, to) {
				w.cut[[2]uint64{from, to}] = true
			}
		}
	}
}

// heal mends network and disks and starts who is down.
func (w *world) heal() {
	clear(w.cut)
	w.loss, w.slow = 0, 10*ms
	for _, v := range w.voters {
		if !v.up || v.paused || v.node.Err() != nil || v.disk.FailSync || v.disk.Full || v.disk.CrashAt > 0 {
			w.kill(v)
			v.disk.CrashAt, v.disk.FailSync, v.disk.Full = 0, false, false
			w.start(v)
		}
	}
}
