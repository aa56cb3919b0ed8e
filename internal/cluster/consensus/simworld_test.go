package consensus

// The world of the simulation: virtual time, voters with the real log on a disk that forgets, and a network that loses,
// doubles, reorders and cuts.

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

type voter struct {
	id      uint64
	node    *Node
	disk    *crashfs.FS
	log     *raftlog.Log
	machine *register
	birth   uint64
	up      bool
	paused  bool
	drift   time.Duration // thousandths
	offset  time.Duration // of its clock
	timer   uint64
	inbox   []Packet // while it is paused; To is who sent it
}

// local is the time on a voter's own clock: off by any amount, and up to 2% too fast or slow.
func (v *voter) local(now time.Duration) time.Duration { return v.offset + now*(1000+v.drift)/1000 }

type event struct {
	at  time.Duration
	seq uint64
	do  func()
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

type world struct {
	rnd    *rand.Rand
	now    time.Duration
	seq    uint64
	queue  events
	voters []*voter
	ids    []uint64
	cut    map[[2]uint64]bool
	loss   float64
	slow   time.Duration // most that a message takes
	mutant mutant
	checks checks
	ops    ops
	faults map[string]int // how often each kind was played
	seen   map[string]int // how often what is to be tested came about
}

func newWorld(seed uint64, size int, m mutant) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, uint64(size))), cut: map[[2]uint64]bool{}, slow: 10 * ms, mutant: m,
		checks: newChecks(), faults: map[string]int{}, seen: map[string]int{}}
	for i := range size {
		w.ids = append(w.ids, uint64(i+1))
	}
	for _, id := range w.ids {
		v := &voter{id: id, disk: crashfs.New(w.rnd.Uint64()), drift: time.Duration(w.rnd.IntN(41) - 20),
			offset: time.Duration(w.rnd.Int64N(int64(time.Hour)))}
		w.voters = append(w.voters, v)
		w.start(v)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// until runs to a moment, or to the first broken check.
func (w *world) until(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.checks.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) chance(p float64) bool              { return w.rnd.Float64() < p }
func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(d) + 1)) }
func (w *world) some() *voter                       { return w.voters[w.rnd.IntN(len(w.voters))] }

// start starts a voter on what its disk holds.
func (w *world) start(v *voter) {
	if v.up {
		return
	}
	v.birth++
	v.disk.FailSync, v.disk.Full = false, false
	log, err := raftlog.Open(raftlog.Options{Directory: "d", Cluster: "sim", VoterID: v.id, Voters: w.ids, Create: true, FS: v.disk,
		Unlocked: true})
	if errors.Is(err, crashfs.ErrCrash) {
		v.disk = v.disk.Crash()
		w.after(w.upTo(time.Second), func() { w.start(v) })
		return
	} else if err != nil {
		w.checks.fail("voter %d doesn't start: %v", v.id, err)
		return
	}
	v.log, v.machine = log, &register{w: w, v: v}
	var disk Storage = log
	switch w.mutant {
	case careless:
		disk = carelessLog{log}
	case voteless:
		disk = votelessLog{log}
	case earlyAck:
		disk = &lateLog{Log: log}
	}
	v.node, err = New(Config{ID: v.id, Voters: w.ids, ElectionTimeout: election, HeartbeatInterval: heartbeat, Seed: w.rnd.Uint64(), Storage: disk,
		StateMachine: v.machine, SnapshotEntries: 12, TrailingEntries: 4, SnapshotChunkBytes: 30}, v.local(w.now))
	if err != nil {
		w.checks.fail("voter %d doesn't start: %v", v.id, err)
		return
	}
	v.up, v.paused, v.inbox = true, false, nil
	w.turn(v)
}

// kill ends a voter and leaves its disk as a crash leaves it.
func (w *world) kill(v *voter) {
	if v.up {
		w.seen["resigned"] += int(v.node.resignations)
		v.up, v.disk = false, v.disk.Crash()
	}
}

// turn lets a voter do what it has to after anything was handed to it.
func (w *world) turn(v *voter) {
	next := v.node.Tick(v.local(w.now))
	for _, p := range v.node.ProcessReady() {
		w.send(v.id, p)
	}
	if errors.Is(v.node.Err(), crashfs.ErrCrash) {
		w.seen["killed in a save"]++
		w.kill(v)
		w.after(w.upTo(2*time.Second), func() { w.start(v) })
		return
	}
	if v.node.Err() != nil {
		w.seen["called after its disk failed"]++
	}
	var broken *InconsistentStateError
	if errors.As(v.node.Err(), &broken) {
		w.checks.fail("voter %d: %v", v.id, broken)
	}
	w.ops.answers(w, v, v.node.CompletedReads())
	w.checks.leader(v)
	v.timer++
	if birth, timer := v.birth, v.timer; next != Never {
		in := (next-v.local(w.now))*1000/(1000+v.drift) + 1
		w.after(max(in, 1), func() {
			if v.up && !v.paused && v.birth == birth && v.timer == timer {
				w.turn(v)
			}
		})
	}
}

func (w *world) send(from uint64, p Packet) {
	for range 1 + w.rnd.IntN(20)/19 { // one in twenty comes twice
		if w.chance(w.loss) {
			continue
		}
		w.after(w.upTo(w.slow), func() {
			if w.cut[[2]uint64{from, p.To}] {
				return
			}
			v := w.voters[p.To-1]
			switch {
			case !v.up:
			case v.paused:
				v.inbox = append(v.inbox, Packet{from, p.Data})
			default:
				v.node.Step(from, p.Data, v.local(w.now))
				w.turn(v)
			}
		})
	}
}

// pause stops a voter for a while; what arrives waits for it, and it wakes up believing what it believed.
func (w *world) pause(v *voter, d time.Duration) {
	if !v.up || v.paused {
		return
	}
	v.paused = true
	birth := v.birth
	w.after(d, func() {
		if !v.up || v.birth != birth {
			return
		}
		v.paused = false
		for _, p := range v.inbox {
			v.node.Step(p.To, p.Data, v.local(w.now))
		}
		v.inbox = nil
		w.turn(v)
	})
}
