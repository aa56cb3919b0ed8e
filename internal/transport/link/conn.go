package link

// This file owns one connection between two brokers. The side that dials asks, the other one answers.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatEvery  = 250 * time.Millisecond
	silentFor  = time.Second     // nothing was heard: the link is cut, or half open
	handshake  = 3 * time.Second // for TLS and the hello together
	frameIn    = 2 * time.Second // a frame that has begun must be whole
	writeIn    = 2 * time.Second // the other side takes what is written
	queueBytes = 1 << 20         // that wait to be written; more end the connection
	window     = 1 << 20         // bytes of verdicts that may be on their way to the asking side
)

// Event is what happens on a link. Exactly one of the pointers is set.
type Event struct {
	Conn    *Conn
	Up      *Hello   // asking side: it may ask from now on; the other one: a link has been opened
	Ask     *Ask     // the other side forwards a search
	Verdict *Verdict // on one that this side forwarded
	Cancel  *uint64  // the other side has given one up
	Heard   *Status  // what the other side says of itself
	Down    *End     // the last event of a connection
}

// End tells how a connection ended.
type End struct {
	Reason string
	Unsent []uint64 // asks that were never handed to the network
}

// Conn is one connection.
type Conn struct {
	Peer   int    // asking side: which of the configured links; else -1
	Serial uint64 // connections in the order in which they came
	Theirs Hello

	mine    Hello
	net     net.Conn
	in      *bufio.Reader
	version int
	status  *atomic.Pointer[Status]
	post    func(Event)
	begun   time.Time

	mu     sync.Mutex
	urgent [][]byte // beats, grants, cancels: they go first
	queue  []queued
	bytes  int // in both
	credit int // bytes of verdicts that the other side still has room for
	closed bool
	reason string
	wake   chan struct{}

	heard   uint64
	heardAt time.Time
	acked   uint64
	rtt     atomic.Int64

	sent  map[uint64]time.Time // beats not acknowledged yet
	beats uint64
	asks  atomic.Uint64
}

type queued struct {
	frame   []byte
	ask     uint64 // its id, where it is one
	isAsk   bool
	verdict bool
}

// RTT is the round trip as last measured; 0: not yet.
func (c *Conn) RTT() time.Duration { return time.Duration(c.rtt.Load()) }

// Version is what the two sides speak.
func (c *Conn) Version() int { return c.version }

// greet exchanges hellos; what follows is known to come from one that speaks a version in common.
func (c *Conn) greet() error {
	b, err := appendFrame(nil, letterHello, c.mine)
	if err != nil {
		return err
	}
	if _, err := c.net.Write(b); err != nil {
		return err
	}
	var body bytes.Buffer
	letter, err := readFrame(c.in, &body, maxHello)
	if err != nil {
		return err
	}
	if letter != letterHello {
		return fmt.Errorf("%w: %q comes first", errFrame, letter)
	}
	if c.Theirs, err = decode[Hello](body.Bytes()); err != nil {
		return err
	}
	if c.Theirs.Credit < 0 || c.Theirs.Window < 0 || len(c.Theirs.Site) > 64 || len(c.Theirs.Broker) > 64 {
		return fmt.Errorf("%w: hello", errFrame)
	}
	c.version, err = agree(c.mine, c.Theirs)
	c.credit = c.Theirs.Window
	return err
}

// run carries a connection until it ends, and then posts its end.
func (c *Conn) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { c.Close("shutdown") })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write()
	}()
	reason := c.read()
	c.Close(reason)
	<-done
	c.mu.Lock()
	end := &End{Reason: c.reason}
	for _, q := range c.queue {
		if q.isAsk {
			end.Unsent = append(end.Unsent, q.ask)
		}
	}
	c.queue, c.urgent = nil, nil
	c.mu.Unlock()
	slog.Info("link ended", "site", c.Theirs.Site, "broker", c.Theirs.Broker, "dialled", c.Peer >= 0, "reason", end.Reason,
		"asks", c.asks.Load(), "unsent", len(end.Unsent), "lasted", time.Since(c.begun).Round(time.Millisecond))
	c.post(Event{Conn: c, Down: end})
}

// Close ends a connection, with the first reason that is given.
func (c *Conn) Close(reason string) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.reason = true, reason
	}
	c.mu.Unlock()
	c.net.Close()
	c.poke()
}

func (c *Conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

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

// read is the reader: frames until the connection ends, and why it did.
func (c *Conn) read() string {
	var body bytes.Buffer
	for {
		// Whatever comes renews the time; a frame that has begun must be whole soon, however slowly its bytes go on coming.
		c.net.SetReadDeadline(time.Now().Add(silentFor))
		if _, err := c.in.Peek(1); err != nil {
			return c.why(err, "silent")
		}
		c.net.SetReadDeadline(time.Now().Add(frameIn))
		letter, err := readFrame(c.in, &body, maxFrame)
		if err == nil {
			err = c.take(letter, body.Bytes())
		}
		if err != nil {
			return c.why(err, "slow_frame")
		}
	}
}

func (c *Conn) why(err error, late string) string {
	switch {
	case errors.Is(err, errFrame):
		slog.Warn("link: what came makes no sense", "site", c.Theirs.Site, "broker", c.Theirs.Broker, "error", err)
		return "bad_frame"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return late
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed_there"
	default:
		return "reset"
	}
}

// take makes an event of a frame. A side that sends what is not its part to send is not trusted further.
func (c *Conn) take(letter byte, b []byte) error {
	asking := c.Peer >= 0
	switch {
	case letter == letterBeat:
		return c.takeBeat(b)
	case letter == letterAsk && !asking:
		a, err := decodeAsk(b)
		if err != nil {
			return err
		}
		c.asks.Add(1)
		c.post(Event{Conn: c, Ask: &a})
	case letter == letterCancel && !asking:
		v, err := decode[cancel](b)
		if err != nil {
			return err
		}
		c.post(Event{Conn: c, Cancel: &v.ID})
	case letter == letterGrant && !asking && c.version >= 2:
		g, err := decode[grant](b)
		if err != nil || g.Bytes < 0 || g.Bytes > maxFrame+4 {
			return fmt.Errorf("%w: grant of %d, %v", errFrame, g.Bytes, err)
		}
		c.mu.Lock()
		c.credit = min(c.Theirs.Window, c.credit+g.Bytes)
		c.mu.Unlock()
		c.poke()
	case letter == letterVerdict && asking:
		v, err := decodeVerdict(b)
		if err != nil {
			return err
		}
		c.post(Event{Conn: c, Verdict: &v}) // waits while the loop is behind: then no room is granted either
		if c.version >= 2 {
			c.put(queued{frame: c.frame(letterGrant, grant{Bytes: len(b) + 5})}, true)
		}
	default:
		return fmt.Errorf("%w: letter %q", errFrame, letter)
	}
	return nil
}

func (c *Conn) takeBeat(b []byte) error {
	v, err := decode[beat](b)
	if err != nil {
		return err
	}
	now := time.Now()
	c.mu.Lock()
	bad := v.Heard > c.beats || v.Held < 0
	at, known := c.sent[v.Heard]
	if c.acked = max(c.acked, v.Heard); v.Seq > c.heard { // one out of turn may overtake another
		c.heard, c.heardAt = v.Seq, now
	}
	c.mu.Unlock()
	if bad {
		return fmt.Errorf("%w: beat %d after %d", errFrame, v.Seq, v.Heard)
	}
	if trip := now.Sub(at) - time.Duration(v.Held)*time.Microsecond; known && trip > 0 {
		if old := c.RTT(); old > 0 {
			trip = (7*old + trip) / 8
		}
		c.rtt.Store(int64(trip))
	}
	if s := v.Status; s != nil {
		if !(s.Room >= 0 && s.Room <= 1) || len(s.Lacking) > maxParts {
			return fmt.Errorf("%w: status", errFrame)
		}
		c.post(Event{Conn: c, Heard: s})
	}
	return nil
}
