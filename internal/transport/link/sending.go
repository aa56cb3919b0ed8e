package link

// This file queues and writes the frames that a connection sends, with flow control for replies, and heartbeats.

import (
	"errors"
	"log/slog"
	"os"
	"time"
)

// enqueue queues a frame for the writer without blocking. It returns false if the connection has ended, or
// if the queue is full, which ends the connection.
func (c *Conn) enqueue(q queued, urgent bool) bool {
	c.mu.Lock()
	full := c.queuedBytes+len(q.frame) > maxQueuedBytes
	if c.closed || full {
		c.mu.Unlock()
		if full { // a side that does not read would use ever more memory
			c.Close("does_not_read")
		}
		return false
	}
	c.queuedBytes += len(q.frame)
	if urgent {
		c.urgent = append(c.urgent, q.frame)
	} else {
		c.queue = append(c.queue, q)
	}
	c.mu.Unlock()
	c.signalWriter()
	return true
}

func (c *Conn) frame(frameType byte, body any) []byte {
	b, err := appendFrame(nil, frameType, body)
	if err != nil {
		slog.Error("frame not encoded", "letter", string(frameType), "error", err)
		return nil
	}
	return b
}

// Query queues a query to be forwarded. It returns false if the query will never be sent.
func (c *Conn) Query(q Query) bool {
	b := c.frame(frameQuery, q)
	return b != nil && c.enqueue(queued{frame: b, query: q.ID, isQuery: true}, false)
}

// Cancel informs the other side that a query is abandoned. A query that is still queued is removed instead.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	for i, q := range c.queue {
		if q.isQuery && q.query == id {
			c.queuedBytes -= len(q.frame)
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			c.mu.Unlock()
			return
		}
	}
	c.mu.Unlock()
	c.enqueue(queued{frame: c.frame(frameCancel, cancel{ID: id})}, true)
}

// Reply queues the reply to a query.
func (c *Conn) Reply(r Reply) {
	b := c.frame(frameReply, r)
	if b == nil { // too large for a frame
		b = c.frame(frameReply, Reply{ID: r.ID, Kind: Failed})
	}
	c.enqueue(queued{frame: b, isReply: true}, false)
}

// WakeWriter wakes the writer, which writes the queued frames.
func (c *Conn) WakeWriter() { c.signalWriter() }

// dequeue returns the next frame to write; nil: none. A reply waits until the other side has room, and so do the frames queued after it.
// A reply larger than the whole window is sent once the window is unused.
func (c *Conn) dequeue() (b []byte, isQuery, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, false, true
	case len(c.urgent) > 0:
		b, c.urgent = c.urgent[0], c.urgent[1:]
	case len(c.queue) > 0:
		q := c.queue[0]
		if q.isReply && c.version >= 2 {
			if c.replyWindow < len(q.frame) && c.replyWindow < c.RemoteHello.Window {
				return nil, false, false
			}
			c.replyWindow -= len(q.frame)
		}
		b, isQuery, c.queue = q.frame, q.isQuery, c.queue[1:]
	}
	c.queuedBytes -= len(b)
	return b, isQuery, false
}

// writeLoop is the writer's goroutine: it writes queued frames, and a heartbeat every heartbeatInterval.
func (c *Conn) writeLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	c.heartbeat()
	for {
		b, isQuery, closed := c.dequeue()
		if closed {
			return
		}
		if b != nil {
			if isQuery {
				c.queryCount.Add(1)
			}
			c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.net.Write(b); err != nil {
				reason := "write_failed"
				if errors.Is(err, os.ErrDeadlineExceeded) {
					reason = "stuck"
				}
				c.Close(reason)
				return
			}
			continue
		}
		select {
		case <-c.wake:
		case <-ticker.C:
			c.heartbeat()
		}
	}
}

// heartbeat queues a heartbeat. If the other side has not acknowledged an earlier one in time, the connection is closed: the network may
// be cut in one direction only, so that this side still receives frames.
func (c *Conn) heartbeat() {
	now := time.Now()
	c.mu.Lock()
	receivedSeq, receivedAt, ackedSeq := c.receivedSeq, c.receivedAt, c.ackedSeq
	for seq, at := range c.unacked {
		if seq <= ackedSeq {
			delete(c.unacked, seq)
		} else if now.Sub(at) > silenceTimeout+heartbeatInterval {
			c.mu.Unlock()
			c.Close("not_heard")
			return
		}
	}
	c.heartbeatSeq++
	c.unacked[c.heartbeatSeq] = now
	c.mu.Unlock()
	b := heartbeat{Seq: c.heartbeatSeq, Heartbeat: receivedSeq, Status: c.status.Load()}
	if receivedSeq > 0 {
		b.AckDelayMicros = now.Sub(receivedAt).Microseconds()
	}
	c.enqueue(queued{frame: c.frame(frameHeartbeat, b)}, true)
}
