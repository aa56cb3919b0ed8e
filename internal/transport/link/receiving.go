package link

// This file owns what a connection receives. It must never let a frame through that breaks the protocol.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"
)

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
