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
	operatorTimeout        = time.Minute // read timeout of an operator's connection, which carries no heartbeats
	maxQueuedBytes         = 16 << 20    // bytes; a longer queue closes the connection
	maxQueuedBeforePackets = 1 << 20     // bytes; behind a longer queue raft packets are dropped, which raft tolerates
)

// conn is a connection to a broker or an operator. Queuing a frame never blocks.
//
// handshake opens a conn, and serveConn serves it with one goroutine that reads and one that writes. Any goroutine may close it, which ends
// both.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	peer    helloFrame
	dialled bool
	toVoter bool // dialled by a voter to another voter, to carry raft packets

	mu           sync.Mutex
	queue        [][]byte
	queuedBytes  int
	closed       bool
	writerSignal chan struct{}

	connState // used by the loop's goroutine only
}

// connState is the state of a connection that only the participant's loop uses.
type connState struct {
	isFollower        bool     // the peer follows this broker, which feeds it
	sentIndex         uint64   // index of the last entry queued for the follower
	snapshotRest      []byte   // the part of a snapshot that is still to be sent
	snapshotBytes     int      // size of the whole snapshot
	followerRoom      int      // how many more followers the peer accepts
	lastToken         uint64   // token of the peer's last heartbeat
	otherSources      []string // addresses from the peer's redirect
	operatorProposals []uint64 // sequence numbers of proposals made for the operator
}

// enqueue queues a frame. It drops the frame if the connection is closed. If the queue is full, it drops a raft packet, but closes the
// connection if the frame is of another kind.
func (c *conn) enqueue(frame []byte) {
	isPacket := frame[lengthBytes] == framePacket
	c.mu.Lock()
	isFull := c.queuedBytes+len(frame) > maxQueuedBytes
	if isPacket && c.queuedBytes > maxQueuedBeforePackets {
		isFull = true
	}
	if c.closed || isFull {
		c.mu.Unlock()
		if isFull && !isPacket { // a peer that does not read must not use up memory here
			c.close()
		}
		return
	}
	c.queue = append(c.queue, frame)
	c.queuedBytes += len(frame)
	c.mu.Unlock()
	c.signalWriter()
}

// backlog returns how many bytes are queued, or maxQueuedBytes if the connection is closed.
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

// signalWriter wakes writeLoop. It never blocks.
func (c *conn) signalWriter() {
	select {
	case c.writerSignal <- struct{}{}:
	default:
	}
}

// drainQueue removes and returns all queued frames, in the memory of batch. It returns false if the connection is closed.
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

// writeLoop writes queued frames until the connection is closed.
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

// readLoop passes frames to handle until the connection ends or handle returns false. Any frame renews the read deadline. A peer that
// sends nothing until the deadline is cut off, or its connection is half open.
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
