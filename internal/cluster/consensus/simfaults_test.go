package consensus

// This file has the faults that voters must tolerate, and the mutants: deliberate defects that the checks must find.

import (
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"flaxfront/internal/cluster/raftlog"
)

const faultPeriod = 8 * time.Second // faults occur during this time from the start

// mutant is a deliberate defect.
type mutant string

const (
	noMutant              mutant = ""
	earlyAck              mutant = "acknowledged before the fsync"
	localRead             mutant = "read served without a majority"
	ignoresFailedSave     mutant = "went on after a failed fsync"
	losesVotes            mutant = "votes not kept"
	neverHealed           mutant = "no leader after healing"
	divergentStateMachine mutant = "one voter applies something else"
)

// failureIgnoringLog reports a failed save as successful.
type failureIgnoringLog struct{ *raftlog.Log }

func (c failureIgnoringLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	c.Log.Save(h, e, s)
	return nil
}

// voteLosingLog saves terms but no votes.
type voteLosingLog struct{ *raftlog.Log }

func (c voteLosingLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) error {
	return c.Log.Save(&pb.HardState{Term: new(h.GetTerm()), Commit: new(h.GetCommit())}, e, s)
}

// delayedLog acknowledges a save at once and writes it at the next one.
type delayedLog struct {
	*raftlog.Log
	pendingSave func() error
}

func (l *delayedLog) Save(h *pb.HardState, e []*pb.Entry, s *pb.Snapshot) (err error) {
	if l.pendingSave != nil {
		err = l.pendingSave()
	}
	l.pendingSave = func() error { return l.Log.Save(h, e, s) }
	return err
}

// pickTarget picks the voter for a fault: in 60% of cases a leader, if there is one, since its loss has the most effects.
func (w *world) pickTarget() *voter {
	if leads := w.leaderIDs(); len(leads) > 0 && w.chance(0.6) {
		return w.voters[leads[w.random.IntN(len(leads))]-1]
	}
	return w.randomVoter()
}

// scheduleFaults schedules a random fault, then the next one, until faultPeriod ends.
func (w *world) scheduleFaults() {
	w.after(50*ms+w.randomDuration(500*ms), func() {
		if w.now >= faultPeriod {
			return
		}
		defer w.scheduleFaults()
		v, kinds := w.pickTarget(), []string{"crash", "step", "fsync", "full", "pause", "split", "oneway", "unreachable", "loss", "transfer",
			"calm", "calm"}
		kind := kinds[w.random.IntN(len(kinds))]
		w.faults[kind]++
		restartLater := func() { w.after(100*ms+w.randomDuration(2*time.Second), func() { w.start(v) }) }
		switch kind {
		case "crash":
			w.kill(v)
			restartLater()
		case "step": // crash at one of the next file system calls, within a save
			v.disk.CrashAt = v.disk.Steps + 1 + w.random.IntN(9)
		case "fsync", "full": // the voter fails; later it is restarted on a repaired disk
			v.disk.FailSync, v.disk.Full = kind == "fsync", kind == "full"
			w.after(200*ms+w.randomDuration(time.Second), func() {
				if w.now < faultPeriod {
					w.kill(v)
					restartLater()
				}
			})
		case "pause":
			w.pause(v, w.randomDuration(1500*ms))
		case "split":
			side := map[uint64]bool{}
			for _, id := range w.ids {
				side[id] = w.chance(0.5)
			}
			w.cutLinksWhere(func(from, to uint64) bool { return side[from] != side[to] })
		case "oneway":
			w.cutLinksWhere(func(from, to uint64) bool { return from != v.id && w.chance(0.3) })
		case "unreachable":
			out := w.chance(0.5)
			w.cutLinksWhere(func(from, to uint64) bool { return out && from == v.id || !out && to == v.id })
		case "loss":
			w.lossRate, w.maxDelay = w.random.Float64()*0.4, 5*ms+w.randomDuration(150*ms)
		case "transfer":
			if v.up && !v.paused {
				v.node.TransferLeadership(v.localTime(w.now))
				w.processVoter(v)
			}
		case "calm":
			clear(w.isCut)
			w.lossRate, w.maxDelay = 0, 10*ms
		}
	})
}

// cutLinksWhere cuts the links for which isCut returns true, and restores all others.
func (w *world) cutLinksWhere(isCut func(from, to uint64) bool) {
	clear(w.isCut)
	for _, from := range w.ids {
		for _, to := range w.ids {
			if from != to && isCut(from, to) {
				w.isCut[[2]uint64{from, to}] = true
			}
		}
	}
}

// heal ends all faults of network and disks, and restarts the voters that are down, paused, failed or affected by a disk fault.
func (w *world) heal() {
	clear(w.isCut)
	w.lossRate, w.maxDelay = 0, 10*ms
	for _, v := range w.voters {
		if !v.up || v.paused || v.node.Err() != nil || v.disk.FailSync || v.disk.Full || v.disk.CrashAt > 0 {
			w.kill(v)
			v.disk.CrashAt, v.disk.FailSync, v.disk.Full = 0, false, false
			w.start(v)
		}
	}
}
