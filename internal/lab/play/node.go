package play

// This file owns the simulated store nodes: cores, a queue, connections, warming up, falling over, and all that a script does to
// them. What a node does with a part depends on nothing but what it was told.

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/lab/queue"
	"flaxfront/internal/lab/script"
)

type itemOf = queue.Item[event]

// What nodes are told.
const (
	kDial    kind = iota + 1 // a: the connection, n: the node's start that it is meant for
	kFrame                   // a: the connection, p: bytes, n: when they were written, in milliseconds
	kClose                   // a: the connection
	kDone                    // n: the core, a: the job's number
	kResume                  // a pause is over
	kTrouble                 // p: script.Event
	kSecond
)

// job is a part in hand, or the work of a handshake.
type job struct {
	conn   *link
	id     string // empty: a handshake
	work   time.Duration
	effect decision.Idempotency
	off    bool
	sent   time.Duration
	n      uint64

	version, report string // of the state that it found
}

// link is a connection as the node sees it.
type link struct {
	from uint32
	id   uint64
	zone int
	last time.Duration // when what was last written arrives
	at   int
	shut bool
}

type node struct {
	self
	n       int
	zone    int
	cell    int
	start0  int           // how many processes have been this node
	boot    time.Duration // of this one
	cold    bool          // it has started within the run
	dead    bool
	gone    int // vanished so many times over
	hung    int
	still   time.Duration // it stands still until then
	fallen  bool
	drained bool

	cores  []*job
	jobs   uint64
	queue  []*job
	links  []*link
	byID   map[[2]uint64]*link
	recent []offer
	sum    time.Duration
	served uint16
	rep    replica
}

type offer struct{ at, work time.Duration }

func newNode(w *world, n int) *node {
	return &node{n: n, zone: w.script.ZoneOf(n), cell: n % w.script.Fleet.Cells, cores: make([]*job, w.script.Fleet.Cores),
		byID: map[[2]uint64]*link{}}
}

// nodeName names a process: the node's number and how many were there before it.
func nodeName(n, start int) string { return fmt.Sprintf("n%05d.%d", n, start) }

func (n *node) start() {
	for i := range n.w.plan.Events {
		if e := &n.w.plan.Events[i]; e.Node == n.n {
			n.send(n.id, e.At, kTrouble, 0, uint64(e.Action), e)
		}
	}
	n.send(n.id, time.Second-1, kSecond, 0, 0, nil)
	if n.w.script.Reads.On {
		n.startReplica()
	}
}

func (n *node) handle(e *event) {
	switch e.kind {
	case kDial:
		n.dial(uint32(e.a>>40), e.a, int(e.n))
	case kFrame:
		if l := n.byID[[2]uint64{e.a}]; l != nil && !l.shut && n.gone == 0 {
			n.frame(l, e.p.([]byte), time.Duration(e.n)*time.Millisecond)
		}
	case kClose:
		if l := n.byID[[2]uint64{e.a}]; l != nil {
			n.drop(l)
		}
	case kDone:
		n.done(int(e.n), e.a)
	case kResume:
		n.fill()
	case kTrouble:
		n.trouble(e.p.(*script.Event))
	case kSecond:
		n.look()
		n.send(n.id, n.now+time.Second, kSecond, 0, 0, nil)
	}
}

func (n *node) zoneOf(id uint32) int { return (int(id) - idBrokers) % n.w.script.Fleet.Zones }

// dial answers a connection, as the kernel does: also while the process hangs or stands still.
func (n *node) dial(from uint32, id uint64, start int) {
	zone := n.zoneOf(from)
	took, lost, held := n.way(n.zone, zone)
	switch {
	case n.gone > 0 || lost || held > 0:
	case n.dead || n.fallen || start != n.start0 || len(n.links) >= n.w.script.Fleet.Connections:
		n.send(from, n.now+took, kDown, downRefused, id, nil)
	default:
		l := &link{from: from, id: id, zone: zone, last: n.now + took, at: len(n.links)}
		n.links = append(n.links, l)
		n.byID[[2]uint64{id}] = l
		n.send(from, l.last, kUp, 0, id, nil)
		if work := n.w.script.Fleet.Handshake; work > 0 && n.hung == 0 {
			n.press(work)
			n.take(&job{conn: l, work: work})
		}
	}
}

func (n *node) drop(l *link) {
	l.shut = true
	last := n.links[len(n.links)-1]
	n.links[l.at], last.at = last, l.at
	n.links = n.links[:len(n.links)-1]
	delete(n.byID, [2]uint64{l.id})
}

// press counts what is offered against the rule on cold nodes.
func (n *node) press(work time.Duration) {
	f := &n.w.script.Fleet
	age := n.now - n.boot
	if !n.cold || n.fallen {
		return
	}
	if age >= f.WarmUpAfter {
		n.cold, n.recent, n.sum = false, nil, 0
		return
	}
	n.recent, n.sum = append(n.recent, offer{n.now, work}), n.sum+work
	for n.recent[0].at < n.now-f.CrashAfter {
		n.sum -= n.recent[0].work
		n.recent = n.recent[1:]
	}
	can := n.capacity() * float64(len(n.cores)) * float64(f.CrashAfter)
	if float64(n.sum) > f.CrashMultiple*can {
		n.breach(4, "node %d fell over %v after its start: offered %.2f times what it can do", n.n, age, float64(n.sum)/can)
		n.fallen = true
		n.queue = nil
		clear(n.cores)
	}
}

// capacity is the share of its speed that a node has.
func (n *node) capacity() float64 {
	f := &n.w.script.Fleet
	if age := n.now - n.boot; n.cold && age < f.WarmUpAfter {
		return f.ColdCapacity + (1-f.ColdCapacity)*float64(age)/float64(f.WarmUpAfter)
	}
	return 1
}

// look samples the node once a second.
func (n *node) look() {
	s := &n.by.tally.sample(n.now, n.w.script.Fleet.Nodes)[n.n]
	switch {
	case n.fallen:
		s.State = Over
	case n.dead || n.gone > 0:
		s.State = Lost
	case n.hung > 0:
		s.State = Silent
	case n.now < n.still:
		s.State = Still
	case n.drained:
		s.State = Leaving
	case n.cold && n.now-n.boot < n.w.script.Fleet.WarmUpAfter:
		s.State = Cold
	}
	s.Slow = n.w.plan.Slow(n.n, n.now) > 1.05
	s.Queue, s.Served = uint16(min(len(n.queue), 65535)), n.served
	n.served = 0
}
