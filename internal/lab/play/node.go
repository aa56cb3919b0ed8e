package play

// This file simulates store nodes: connections, warming up, and crashes by overload. The outcome of a shard request depends only on
// the events that the node received.

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/lab/queue"
	"flaxfront/internal/lab/script"
)

type queueItem = queue.Item[event]

// Events for nodes.
const (
	kDial     kind = iota + 1 // a: the connection, n: which process of the node it is meant for (startCount)
	kFrame                    // a: the connection, payload: []byte, n: when they were written, in milliseconds
	kClose                    // a: the connection
	kJobDone                  // n: the core, a: the job's n
	kStallEnd                 // a stall may be over
	kFault                    // payload: *script.Event
	kSampleNode
)

// job is a shard request, or the work of a handshake.
type job struct {
	conn      *nodeConn
	id        string // of the shard request; empty for a handshake
	work      time.Duration
	effect    decision.Idempotency
	cancelled bool
	sentAt    time.Duration
	n         uint64 // counts the node's jobs

	version, report string // of the replica's state when the job started
}

// nodeConn is a connection on the node's side.
type nodeConn struct {
	brokerID    uint32
	id          uint64
	zone        int
	lastArrival time.Duration // arrival time of the last write
	index       int           // in node.conns
	closed      bool
}

type node struct {
	actorState
	n            int // index of the node
	zone         int
	cell         int
	startCount   int           // number of earlier processes of this node
	startedAt    time.Duration // of the present process
	cold         bool          // started during the run, and not warm yet
	processDown  bool
	vanishCount  int // faults that keep the node unreachable at present
	hangCount    int
	stalledUntil time.Duration // no job starts or ends before
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

// nodeName returns the name of a process: the node's number and the count of its earlier processes.
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

// acceptDial answers a connection attempt as the kernel does: also while the process hangs or is stalled.
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

// recordOfferedWork adds work offered to a node that is warming up, and crashes the node if it is too much (rule 4).
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
		n.reportBreach(4, "node %d crashed %v after its start: it was offered %.2f times its capacity", n.n, age, float64(n.recentWorkSum)/possible)
		n.crashed = true
		n.queue = nil
		clear(n.cores)
	}
}

// capacity returns the node's speed as a share of that of a warm node.
func (n *node) capacity() float64 {
	fleet := &n.w.script.Fleet
	if age := n.now - n.startedAt; n.cold && age < fleet.WarmUpAfter {
		return fleet.ColdCapacity + (1-fleet.ColdCapacity)*float64(age)/float64(fleet.WarmUpAfter)
	}
	return 1
}

// sample records the node's state once a second.
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
