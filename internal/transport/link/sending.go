package link

// This file queues and writes the frames that a connection sends, with flow control for replies, and heartbeats.

import (
	"errors"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// outgoing is a message that waits to be written. It is encoded when its turn comes: until then it shares the memory of what it carries.
type outgoing struct {
	query    *Query // nil: it is a reply
	queuedAt time.Time
	reply    *CachedReply
	bytes    int // memory that only the queue holds
}

// CachedReply is a reply that its owner keeps beside the queue. It may be used from any goroutine.
type CachedReply struct{ reply atomic.Pointer[Reply] }

// NewCachedReply returns a reply to be kept.
func NewCachedReply(r Reply) *CachedReply {
	kept := &CachedReply{}
	kept.Replace(r)
	return kept
}

// Replace replaces the reply, also where it waits to be written. So its owner can give up its memory.
func (k *CachedReply) Replace(r Reply) { k.reply.Store(&r) }

// entryBytes is the memory of a reply in the queue, beside that of its values.
const entryBytes = 64

// enqueue queues a message for the writer without blocking. It returns false if the connection has ended, or if too much waits, which ends the
// connection.
func (c *Conn) enqueue(m outgoing) bool {
	if !c.reserve(m.bytes) {
		return false
	}
	c.queue = append(c.queue, m)
	c.mu.Unlock()
	c.signalWriter()
	return true
}

// enqueueUrgent queues a frame that is written before all messages, as enqueue does.
func (c *Conn) enqueueUrgent(frame []byte) {
	if !c.reserve(len(frame)) {
		return
	}
	c.urgent = append(c.urgent, frame)
	c.mu.Unlock()
	c.signalWriter()
}

// reserve adds to the bytes that wait, and returns with the lock held. If it returns false the lock is not held: the connection has ended, or
// ends, as a side that does not read would use ever more memory.
func (c *Conn) reserve(bytes int) bool {
	c.mu.Lock()
	full := c.queuedBytes+bytes > maxQueuedBytes
	if !c.closed && !full {
		c.queuedBytes += bytes
		return true
	}
	c.mu.Unlock()
	if full {
		c.Close("does_not_read")
	}
	return false
}

func (c *Conn) frame(frameType byte, body any) []byte {
	b, err := appendFrame(nil, frameType, body)
	if err != nil {
		slog.Error("frame not encoded", "letter", string(frameType), "error", err)
		return nil
	}
	return b
}

// Query queues a query to be forwarded, which the caller holds until it ends: queries take no memory of the queue, however many wait. It returns
// false if the query will never be written to this connection; that tells nothing of connections to which it was written before.
func (c *Conn) Query(q Query) bool {
	return q.fitsFrame() && c.enqueue(outgoing{query: &q, queuedAt: time.Now()})
}

// Cancel informs the other side that a query is abandoned. A query that is still queued is removed instead.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	for i, m := range c.queue {
		if m.query != nil && m.query.ID == id {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			c.mu.Unlock()
			return
		}
	}
	c.mu.Unlock()
	c.enqueueUrgent(c.frame(frameCancel, cancel{ID: id}))
}

// Reply queues the reply to a query.
func (c *Conn) Reply(r Reply) {
	bytes := entryBytes
	for i := range r.ShardAnswers {
		bytes += entryBytes + len(r.ShardAnswers[i].Value)
	}
	c.enqueue(outgoing{reply: NewCachedReply(r), bytes: bytes})
}

// ReplyCached queues a reply that the caller keeps in any case. So its values take no memory of the queue, and all that were kept while no
// connection was up can be queued at once.
func (c *Conn) ReplyCached(r *CachedReply) { c.enqueue(outgoing{reply: r, bytes: entryBytes}) }

// WakeWriter wakes the writer, which writes the queued frames.
func (c *Conn) WakeWriter() { c.signalWriter() }

// nextFrame returns the next frame to write; nil: none. A reply waits until the other side has room, and so does what was queued after it.
// A reply larger than the whole window is sent once the window is unused. Only the writer calls it.
func (c *Conn) nextFrame() (b []byte, closed bool) {
	for {
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return nil, true
		case len(c.urgent) > 0:
			b, c.urgent = c.urgent[0], c.urgent[1:]
			c.queuedBytes -= len(b)
			c.mu.Unlock()
			return b, false
		case c.waitingReply != nil:
			b = c.takeWaitingReply()
			c.mu.Unlock()
			return b, false
		case len(c.queue) == 0:
			c.mu.Unlock()
			return nil, false
		}
		m := c.queue[0]
		c.queue[0] = outgoing{}
		c.queue = c.queue[1:]
		c.queuedBytes -= m.bytes
		c.mu.Unlock()
		if m.reply != nil {
			c.waitingReply = c.encodeReply(m.reply.reply.Load())
		} else if b = c.encodeQuery(&m); b != nil {
			return b, false
		}
	}
}

// takeWaitingReply returns the reply whose turn it is, if the other side has room for it. The lock must be held.
func (c *Conn) takeWaitingReply() []byte {
	b := c.waitingReply
	if c.version >= 2 {
		if c.replyWindow < len(b) && c.replyWindow < c.RemoteHello.Window {
			return nil
		}
		c.replyWindow -= len(b)
	}
	c.waitingReply = nil
	return b
}

// encodeQuery encodes a query with the time that it has left now; nil: it has none.
func (c *Conn) encodeQuery(m *outgoing) []byte {
	m.query.RemainingMicros -= time.Since(m.queuedAt).Microseconds()
	if m.query.RemainingMicros <= 0 {
		return nil
	}
	c.queryCount.Add(1)
	return c.frame(frameQuery, m.query)
}

func (c *Conn) encodeReply(r *Reply) []byte {
	if b := c.frame(frameReply, r); b != nil {
		return b
	}
	return c.frame(frameReply, Reply{ID: r.ID, Kind: Failed}) // the reply is too large for a frame
}

// writeLoop is the writer's goroutine: it writes queued frames, and a heartbeat every heartbeatInterval.
func (c *Conn) writeLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	c.heartbeat()
	for {
		b, closed := c.nextFrame()
		if closed {
			return
		}
		if b != nil {
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
	c.enqueueUrgent(c.frame(frameHeartbeat, b))
}
