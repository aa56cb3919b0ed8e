package consensus

// This file has the simulated environment: virtual time, voters with the real log on a disk that loses unsynced data in a crash, and a
// network that loses, duplicates, reorders and delays messages and has cut links.

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"time"

	"flaxfront/internal/cluster/raftlog"
	"flaxfront/internal/filesystem/crashfs"
)

const (
	ms        = time.Millisecond
	heartbeat = 50 * ms
	election  = 200 * ms
)

// voter is a simulated voter with its disk and clock.
type voter struct {
	id           uint64
	node         *Node
	disk         *crashfs.FS
	log          *raftlog.Log
	stateMachine *register
	startCount   uint64 // number of starts so far
	up           bool
	paused       bool
	drift        time.Duration // of its clock, in thousandths
	offset       time.Duration // of its clock
	timerCount   uint64        // number of timers set so far; only the last one is valid
	inbox        []Packet      // received while paused; To is the sender
}

// localTime returns the time on a voter's own clock, which has an arbitrary offset and runs up to 2% too fast or too slow.
func (v *voter) localTime(now time.Duration) time.Duration { return v.offset + now*(1000+v.drift)/1000 }

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// world is the simulation of one seed.
type world struct {
	random   *rand.Rand
	now      time.Duration
	seq      uint64
	queue    events
	voters   []*voter
	ids      []uint64
	isCut    map[[2]uint64]bool // by sender and receiver
	lossRate float64
	maxDelay time.Duration // maximum delay of a message
	mutant   mutant
	checks   checks
	ops      ops
	faults   map[string]int // number of faults by kind
	seen     map[string]int // number of times that each situation to be tested occurred
}

func newWorld(seed uint64, size int, m mutant) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, uint64(size))), isCut: map[[2]uint64]bool{}, maxDelay: 10 * ms, mutant: m,
		checks: newChecks(), faults: map[string]int{}, seen: map[string]int{}}
	for i := range size {
		w.ids = append(w.ids, uint64(i+1))
	}
	for _, id := range w.ids {
		v := &voter{id: id, disk: crashfs.New(w.random.Uint64()), drift: time.Duration(w.random.IntN(41) - 20),
			offset: time.Duration(w.random.Int64N(int64(time.Hour)))}
		w.voters = append(w.voters, v)
		w.start(v)
	}
	return w
}

// after schedules do to run after d.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// runUntil runs the events up to the time end, or until the first check fails.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.checks.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }
func (w *world) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}
func (w *world) randomVoter() *voter { return w.voters[w.random.IntN(len(w.voters))] }

// start starts a voter from the content of its disk.
func (w *world) start(v *voter) {
	if v.up {
		return
	}
	v.startCount++
	v.disk.FailSync, v.disk.Full = false, false
	log, err := raftlog.Open(raftlog.Options{Directory: "d", Cluster: "sim", VoterID: v.id, Voters: w.ids, Create: true, FS: v.disk,
		Unlocked: true})
	if errors.Is(err, crashfs.ErrCrash) {
		v.disk = v.disk.Crash()
		w.after(w.randomDuration(time.Second), func() { w.start(v) })
		return
	} else if err != nil {
		w.checks.fail("voter %d does not start: %v", v.id, err)
		return
	}
	v.log, v.stateMachine = log, &register{w: w, v: v}
	var disk Storage = log
	switch w.mutant {
	case ignoresFailedSave:
		disk = failureIgnoringLog{log}
	case losesVotes:
		disk = voteLosingLog{log}
	case earlyAck:
		disk = &delayedLog{Log: log}
	}
	v.node, err = New(Config{ID: v.id, Voters: w.ids, ElectionTimeout: election, HeartbeatInterval: heartbeat, Seed: w.random.Uint64(), Storage: disk,
		StateMachine: v.stateMachine, SnapshotEntries: 12, TrailingEntries: 4, SnapshotChunkBytes: 30}, v.localTime(w.now))
	if err != nil {
		w.checks.fail("voter %d does not start: %v", v.id, err)
		return
	}
	v.up, v.paused, v.inbox = true, false, nil
	w.processVoter(v)
}

// kill crashes a voter: it stops, and its disk loses unsynced data.
func (w *world) kill(v *voter) {
	if v.up {
		w.seen["resigned"] += int(v.node.resignations)
		v.up, v.disk = false, v.disk.Crash()
	}
}

// processVoter processes a voter's inputs: it sends the packets, completes reads, runs the checks and schedules the next Tick.
func (w *world) processVoter(v *voter) {
	next := v.node.Tick(v.localTime(w.now))
	for _, p := range v.node.ProcessReady() {
		w.send(v.id, p)
	}
	if errors.Is(v.node.Err(), crashfs.ErrCrash) {
		w.seen["killed in a save"]++
		w.kill(v)
		w.after(w.randomDuration(2*time.Second), func() { w.start(v) })
		return
	}
	if v.node.Err() != nil {
		w.seen["called after its disk failed"]++
	}
	var broken *InconsistentStateError
	if errors.As(v.node.Err(), &broken) {
		w.checks.fail("voter %d: %v", v.id, broken)
	}
	w.ops.completeReads(w, v, v.node.CompletedReads())
	w.checks.checkLeader(v)
	v.timerCount++
	if startCount, timerCount := v.startCount, v.timerCount; next != Never {
		in := (next-v.localTime(w.now))*1000/(1000+v.drift) + 1
		w.after(max(in, 1), func() {
			if v.up && !v.paused && v.startCount == startCount && v.timerCount == timerCount {
				w.processVoter(v)
			}
		})
	}
}

func (w *world) send(from uint64, p Packet) {
	for range 1 + w.random.IntN(20)/19 { // one in twenty is duplicated
		if w.chance(w.lossRate) {
			continue
		}
		w.after(w.randomDuration(w.maxDelay), func() {
			if w.isCut[[2]uint64{from, p.To}] {
				return
			}
			v := w.voters[p.To-1]
			switch {
			case !v.up:
			case v.paused:
				v.inbox = append(v.inbox, Packet{from, p.Data})
			default:
				v.node.Step(from, p.Data, v.localTime(w.now))
				w.processVoter(v)
			}
		})
	}
}

// pause suspends a voter for d, like a stopped process: packets that arrive wait for it, and it resumes with its state unchanged.
func (w *world) pause(v *voter, d time.Duration) {
	if !v.up || v.paused {
		return
	}
	v.paused = true
	startCount := v.startCount
	w.after(d, func() {
		if !v.up || v.startCount != startCount {
			return
		}
		v.paused = false
		for _, p := range v.inbox {
			v.node.Step(p.To, p.Data, v.localTime(w.now))
		}
		v.inbox = nil
		w.processVoter(v)
	})
}
