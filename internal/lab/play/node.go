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

type queueItem = queue.Item[event]

// What nodes are told.
const (
	kDial     kind = iota + 1 // a: the connection, n: the node's start that it is meant for
	kFrame                    // a: the connection, p: bytes, n: when they were written, in milliseconds
	kClose                    // a: the connection
	kJobDone                  // n: the core, a: the job's number
	kStallEnd                 // a pause is over
	kFault                    // p: script.Event
	kSampleNode
)

// job is a part in hand, or the work of a handshake.
type job struct {
	conn      *nodeConn
	id        string // empty: a handshake
	work      time.Duration
	effect    decision.Idempotency
	cancelled bool
	sentAt    time.Duration
	n         uint64

	version, report string // of the state that it found
}

// nodeConn is a connection as the node sees it.
type nodeConn struct {
	brokerID    uint32
	id          uint64
	zone        int
	lastArrival time.Duration // when what was last written arrives
	index       int
	closed      bool
}

type node struct {
	actorState
	n            int
	zone         int
	cell         int
	startCount   int           // how many processes have been this node
	startedAt    time.Duration // of this one
	cold         bool          // it has started within the run
	processDown  bool
	vanishCount  int // vanished so many times over
	hangCount    int
	stalledUntil time.Duration // it stands still until then
	crashed      bool
	drained      bool

	cores         []*job
	jobCount      uint64
	queue         []*job
	conns         []*nodeConn
	connByID      map[[2]uint64]*nodeConn
	recentWork    []offeredWork
	recentWorkSum time.Duration
	served        uint16
	replicaState  replica
}

type offeredWork struct{ at, work time.Duration }

func newNode(w *world, n int) *node {
	return &node{n: n, zone: w.script.ZoneOf(n), cell: n % w.script.Fleet.Cells, cores: make([]*job, w.script.Fleet.Cores),
		connByID: map[[2]uint64]*nodeConn{}}
}

// nodeName names a process: the node's number and how many were there before it.
func nodeName(n, start int) string { return fmt.Sprintf("n%05d.%d", n, start) }

func (n *node) start() {
	for i := range n.w.schedule.Events {
		if e := &n.w.schedule.Events[i]; e.Node == n.n {
			n.send(n.id, e.At, kFault, 0, uint64(e.Action), e)
		}
	}
	n.send(n.id, time.Second-1, kSampleNode, 0, 0, nil)
	if n.w.script.Reads.On {
		n.startReplica()
	}
}

func (n *node) handle(e *event) {
	switch e.kind {
	case kDial:
		n.acceptDial(uint32(e.a>>40), e.a, int(e.n))
	case kFrame:
		if l := n.connByID[[2]uint64{e.a}]; l != nil && !l.closed && n.vanishCount == 0 {
			n.handleFrame(l, e.payload.([]byte), time.Duration(e.n)*time.Millisecond)
		}
	case kClose:
		if l := n.connByID[[2]uint64{e.a}]; l != nil {
			n.dropConn(l)
		}
	case kJobDone:
		n.finishJob(int(e.n), e.a)
	case kStallEnd:
		n.startJobs()
	case kFault:
		n.applyFault(e.payload.(*script.Event))
	case kSampleNode:
		n.sample()
		n.send(n.id, n.now+time.Second, kSampleNode, 0, 0, nil)
	}
}

func (n *node) brokerZone(id uint32) int { return (int(id) - idBrokers) % n.w.script.Fleet.Zones }

// acceptDial answers a connection, as the kernel does: also while the process hangs or stands still.
func (n *node) acceptDial(brokerID uint32, id uint64, start int) {
	zone := n.brokerZone(brokerID)
	took, lost, held := n.samplePath(n.zone, zone)
	switch {
	case n.vanishCount > 0 || lost || held > 0:
	case n.processDown || n.crashed || start != n.startCount || len(n.conns) >= n.w.script.Fleet.Connections:
		n.send(brokerID, n.now+took, kConnDown, downRefused, id, nil)
	default:
		l := &nodeConn{brokerID: brokerID, id: id, zone: zone, lastArrival: n.now + took, index: len(n.conns)}
		n.conns = append(n.conns, l)
		n.connByID[[2]uint64{id}] = l
		n.send(brokerID, l.lastArrival, kConnUp, 0, id, nil)
		if work := n.w.script.Fleet.Handshake; work > 0 && n.hangCount == 0 {
			n.recordOfferedWork(work)
			n.enqueue(&job{conn: l, work: work})
		}
	}
}

func (n *node) dropConn(c *nodeConn) {
	c.closed = true
	last := n.conns[len(n.conns)-1]
	n.conns[c.index], last.index = last, c.index
	n.conns = n.conns[:len(n.conns)-1]
	delete(n.connByID, [2]uint64{c.id})
}

// recordOfferedWork counts what is offered against the rule on cold nodes.
func (n *node) recordOfferedWork(work time.Duration) {
	fleet := &n.w.script.Fleet
	age := n.now - n.startedAt
	if !n.cold || n.crashed {
		return
	}
	if age >= fleet.WarmUpAfter {
		n.cold, n.recentWork, n.recentWorkSum = false, nil, 0
		return
	}
	n.recentWork, n.recentWorkSum = append(n.recentWork, offeredWork{n.now, work}), n.recentWorkSum+work
	for n.recentWork[0].at < n.now-fleet.CrashAfter {
		n.recentWorkSum -= n.recentWork[0].work
		n.recentWork = n.recentWork[1:]
	}
	possible := n.capacity() * float64(len(n.cores)) * float64(fleet.CrashAfter)
	if float64(n.recentWorkSum) > fleet.CrashMultiple*possible {
		n.reportBreach(4, "node %d fell over %v after its start: offered %.2f times what it can do", n.n, age, float64(n.recentWorkSum)/possible)
		n.crashed = true
		n.queue = nil
		clear(n.cores)
	}
}

// capacity is the share of its speed that a node has.
func (n *node) capacity() float64 {
	fleet := &n.w.script.Fleet
	if age := n.now - n.startedAt; n.cold && age < fleet.WarmUpAfter {
		return fleet.ColdCapacity + (1-fleet.ColdCapacity)*float64(age)/float64(fleet.WarmUpAfter)
	}
	return 1
}

// advance samples the node once a second.
func (n *node) sample() {
	s := &n.runner.tally.samplesAt(n.now, n.w.script.Fleet.Nodes)[n.n]
	switch {
	case n.crashed:
		s.State = StateCrashed
	case n.processDown || n.vanishCount > 0:
		s.State = StateGone
	case n.hangCount > 0:
		s.State = StateHanging
	case n.now < n.stalledUntil:
		s.State = StateStalled
	case n.drained:
		s.State = StateDraining
	case n.cold && n.now-n.startedAt < n.w.script.Fleet.WarmUpAfter:
		s.State = StateWarmingUp
	}
	s.Slow = n.w.schedule.Slow(n.n, n.now) > 1.05
	s.Queue, s.Served = uint16(min(len(n.queue), 65535)), n.served
	n.served = 0
}
