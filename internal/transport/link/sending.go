package link

// This file owns what a connection sends: frames in their order, credit, heartbeats.

import (
	"errors"
	"log/slog"
	"os"
	"time"
)

// enqueue leaves a frame for the writer, without waiting; false: there is no room, or the connection has ended.
func (c *Conn) enqueue(q queued, urgent bool) bool {
	c.mu.Lock()
	full := c.queuedBytes+len(q.frame) > maxQueuedBytes
	if c.closed || full {
		c.mu.Unlock()
		if full { // Danger: a side that does not read takes memory here
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
		slog.Error("a frame could not be made", "letter", string(frameType), "error", err)
		return nil
	}
	return b
}

// Query forwards a search; false: it was never sent.
func (c *Conn) Query(q Query) bool {
	b := c.frame(frameQuery, q)
	return b != nil && c.enqueue(queued{frame: b, query: q.ID, isQuery: true}, false)
}

// Cancel tells the other side that a search is given up. One that has not left yet never does.
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

// Result answers an ask.
func (c *Conn) Reply(r Reply) {
	b := c.frame(frameReply, r)
	if b == nil { // too large to be told
		b = c.frame(frameReply, Reply{ID: r.ID, Kind: Failed})
	}
	c.enqueue(queued{frame: b, isReply: true}, false)
}

// SetStatus has the other side told at once what the status is.
func (c *Conn) WakeWriter() { c.signalWriter() }

// dequeue takes what is to be written now. Verdicts wait for room at the other side; nothing overtakes within the queue.
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

// writeLoop is the writer's goroutine: what is queued, and a heartbeat now and then.
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

// heartbeat sends a heartbeat; one that the other side has not acknowledged for too long tells that this side is not heard,
// though it may still hear: a cut one way.
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
