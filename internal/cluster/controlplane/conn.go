package controlplane

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	heartbeatInterval      = 250 * time.Millisecond
	silenceTimeout         = 5 * heartbeatInterval
	writeTimeout           = silenceTimeout
	operatorTimeout        = time.Minute // an operator sends no heartbeats
	maxQueuedBytes         = 16 << 20    // more end the connection
	maxQueuedBeforePackets = 1 << 20     // with more queued, raft packets are dropped, which raft expects of a network
)

// conn is one connection. Queuing a frame never blocks.
//
// A conn is opened by handshake, served by serveConn (one goroutine reads, one writes), and closed by whoever wants to end it; both
// goroutines then end.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	peer    helloFrame
	dialled bool
	toVoter bool // it carries packets to a voter

	mu           sync.Mutex
	queue        [][]byte
	queuedBytes  int
	closed       bool
	writerSignal chan struct{}

	connState // of the loop's goroutine alone
}

// connState is what only the participant's loop uses.
type connState struct {
	isFollower        bool   // this side feeds it
	sentIndex         uint64 // the last one queued for it
	snapshotRest      []byte // what is left to send of a snapshot
	snapshotBytes     int
	followerRoom      int
	lastToken         uint64
	otherSources      []string // that it named
	operatorProposals []uint64
}

// enqueue queues a frame. It is dropped if the connection has ended, or ends for it.
func (c *conn) enqueue(frame []byte) {
	isPacket := frame[lengthBytes] == framePacket
	c.mu.Lock()
	isFull := c.queuedBytes+len(frame) > maxQueuedBytes
	if isPacket && c.queuedBytes > maxQueuedBeforePackets {
		isFull = true
	}
	if c.closed || isFull {
		c.mu.Unlock()
		if isFull && !isPacket { // a side that does not read would take memory here
			c.close()
		}
		return
	}
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame)
	c.mu.Unlock()
	c.signalWriter()
}

// backlog is how many bytes are queued.
func (c *conn) backlog() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return maxQueuedBytes
	}
	return c.queuedBytes
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.netConn.Close()
	c.signalWriter()
}

func (c *conn) signalWriter() {
	select {
	case c.writerSignal <- struct{}{}:
	default:
	}
}

// drainQueue returns all queued frames; false: the connection is closed.
func (c *conn) drainQueue(batch [][]byte) ([][]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	batch = append(batch[:0], c.queue...)
	c.queue = c.queue[:0]
	c.queuedBytes = 0
	return batch, true
}

// writeLoop writes what is queued until the connection is closed.
func (c *conn) writeLoop() {
	var batch [][]byte
	for {
		frames, open := c.drainQueue(batch)
		if !open {
			return
		}
		batch = frames
		if len(batch) == 0 {
			<-c.writerSignal
			continue
		}
		c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, frame := range batch {
			if _, err := c.netConn.Write(frame); err != nil {
				c.close()
				return
			}
		}
	}
}

// readLoop hands frames on until the connection ends or handle returns false. Any frame renews the deadline; a side that is silent is cut
// off, or half open.
func (c *conn) readLoop(handle func(kind byte, body []byte) bool) error {
	timeout := silenceTimeout
	if c.peer.Role == roleOperator {
		timeout = operatorTimeout
	}
	for {
		c.netConn.SetReadDeadline(time.Now().Add(timeout))
		kind, body, err := readFrame(c.reader, maxFrameBytes)
		if err != nil {
			return err
		}
		if !handle(kind, body) {
			return nil
		}
	}
}
