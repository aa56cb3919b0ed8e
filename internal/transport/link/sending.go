package link

// This file owns what a connection sends: frames in their order, credit, heartbeats.

import (
	"errors"
	"log/slog"
	"os"
	"time"
)

// put leaves a frame for the writer, without waiting; false: there is no room, or the connection has ended.
func (c *Conn) put(q queued, urgent bool) bool {
	c.mu.Lock()
	full := c.bytes+len(q.frame) > queueBytes
	if c.closed || full {
		c.mu.Unlock()
		if full { // Danger: a side that does not read takes memory here
			c.Close("does_not_read")
		}
		return false
	}
	c.bytes += len(q.frame)
	if urgent {
		c.urgent = append(c.urgent, q.frame)
	} else {
		c.queue = append(c.queue, q)
	}
	c.mu.Unlock()
	c.poke()
	return true
}

func (c *Conn) frame(letter byte, body any) []byte {
	b, err := appendFrame(nil, letter, body)
	if err != nil {
		slog.Error("a frame could not be made", "letter", string(letter), "error", err)
		return nil
	}
	return b
}

// Ask forwards a search; false: it was never sent.
func (c *Conn) Ask(a Ask) bool {
	b := c.frame(letterAsk, a)
	return b != nil && c.put(queued{frame: b, ask: a.ID, isAsk: true}, false)
}

// Cancel tells the other side that a search is given up. One that has not left yet never does.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	for i, q := range c.queue {
		if q.isAsk && q.ask == id {
			c.bytes -= len(q.frame)
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			c.mu.Unlock()
			return
		}
	}
	c.mu.Unlock()
	c.put(queued{frame: c.frame(letterCancel, cancel{ID: id})}, true)
}

// Verdict answers an ask.
func (c *Conn) Verdict(v Verdict) {
	b := c.frame(letterVerdict, v)
	if b == nil { // too large to be told
		b = c.frame(letterVerdict, Verdict{ID: v.ID, Kind: Failed})
	}
	c.put(queued{frame: b, verdict: true}, false)
}

// Say has the other side told at once what the status is.
func (c *Conn) Say() { c.poke() }

// next takes what is to be written now. Verdicts wait for room at the other side; nothing overtakes within the queue.
func (c *Conn) next() (b []byte, isAsk, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, false, true
	case len(c.urgent) > 0:
		b, c.urgent = c.urgent[0], c.urgent[1:]
	case len(c.queue) > 0:
		q := c.queue[0]
		if q.verdict && c.version >= 2 {
			if c.credit < len(q.frame) && c.credit < c.Theirs.Window {
				return nil, false, false
			}
			c.credit -= len(q.frame)
		}
		b, isAsk, c.queue = q.frame, q.isAsk, c.queue[1:]
	}
	c.bytes -= len(b)
	return b, isAsk, false
}

// write is the writer's goroutine: what is queued, and a heartbeat now and then.
func (c *Conn) write() {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	c.beat()
	for {
		b, isAsk, closed := c.next()
		if closed {
			return
		}
		if b != nil {
			if isAsk {
				c.asks.Add(1)
			}
			c.net.SetWriteDeadline(time.Now().Add(writeIn))
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
			c.beat()
		}
	}
}

// beat sends a heartbeat; one that the other side has not acknowledged for too long tells that this side is not heard,
// though it may still hear: a cut one way.
func (c *Conn) beat() {
	now := time.Now()
	c.mu.Lock()
	heard, heardAt, acked := c.heard, c.heardAt, c.acked
	for seq, at := range c.sent {
		if seq <= acked {
			delete(c.sent, seq)
		} else if now.Sub(at) > silentFor+beatEvery {
			c.mu.Unlock()
			c.Close("not_heard")
			return
		}
	}
	c.beats++
	c.sent[c.beats] = now
	c.mu.Unlock()
	b := beat{Seq: c.beats, Heard: heard, Status: c.status.Load()}
	if heard > 0 {
		b.Held = now.Sub(heardAt).Microseconds()
	}
	c.put(queued{frame: c.frame(letterBeat, b)}, true)
}
