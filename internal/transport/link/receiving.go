package link

// This file handles the frames that a connection receives. It must never post an event for a frame that violates the protocol.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"
)

// readLoop reads frames until the connection ends, and returns the reason code.
func (c *Conn) readLoop() string {
	var body bytes.Buffer
	for {
		// Any byte restarts silenceTimeout. A frame that has begun must be complete within frameTimeout, even if bytes keep arriving slowly.
		c.net.SetReadDeadline(time.Now().Add(silenceTimeout))
		if _, err := c.in.Peek(1); err != nil {
			return c.endReason(err, "silent")
		}
		c.net.SetReadDeadline(time.Now().Add(frameTimeout))
		frameType, err := readFrame(c.in, &body, maxFrame)
		if err == nil {
			err = c.handleFrame(frameType, body.Bytes())
		}
		if err != nil {
			return c.endReason(err, "slow_frame")
		}
	}
}

func (c *Conn) endReason(err error, timeoutReason string) string {
	switch {
	case errors.Is(err, errFrame):
		slog.Warn("malformed frame received over a link", "site", c.RemoteHello.Site, "broker", c.RemoteHello.Broker, "error", err)
		return "bad_frame"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return timeoutReason
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed_there"
	default:
		return "reset"
	}
}

// handleFrame posts the event of a frame. A frame whose type the other side may not send in its role is an error, which ends the
// connection: only the dialling side sends queries, cancels and window updates, and only the accepting side replies.
func (c *Conn) handleFrame(frameType byte, b []byte) error {
	dialled := c.Peer >= 0
	switch {
	case frameType == frameHeartbeat:
		return c.handleHeartbeat(b)
	case frameType == frameQuery && !dialled:
		q, err := decodeQuery(b)
		if err != nil {
			return err
		}
		c.queryCount.Add(1)
		c.post(Event{Conn: c, Query: &q})
	case frameType == frameCancel && !dialled:
		v, err := decode[cancel](b)
		if err != nil {
			return err
		}
		c.post(Event{Conn: c, Cancel: &v.ID})
	case frameType == frameWindowUpdate && !dialled && c.version >= 2:
		g, err := decode[windowUpdate](b)
		if err != nil || g.Bytes < 0 || g.Bytes > maxFrame+4 {
			return fmt.Errorf("%w: window update of %d bytes, %v", errFrame, g.Bytes, err)
		}
		c.mu.Lock()
		c.replyWindow = min(c.RemoteHello.Window, c.replyWindow+g.Bytes)
		c.mu.Unlock()
		c.signalWriter()
	case frameType == frameReply && dialled:
		v, err := decodeReply(b)
		if err != nil {
			return err
		}
		c.post(Event{Conn: c, Reply: &v}) // blocks while the loop is behind, which also delays the window update
		if c.version >= 2 {
			c.enqueueUrgent(c.frame(frameWindowUpdate, windowUpdate{Bytes: len(b) + 5}))
		}
	default:
		return fmt.Errorf("%w: unexpected type %q", errFrame, frameType)
	}
	return nil
}

func (c *Conn) handleHeartbeat(b []byte) error {
	v, err := decode[heartbeat](b)
	if err != nil {
		return err
	}
	now := time.Now()
	c.mu.Lock()
	invalid := v.Heartbeat > c.heartbeatSeq || v.AckDelayMicros < 0
	sentAt, known := c.unacked[v.Heartbeat]
	if c.ackedSeq = max(c.ackedSeq, v.Heartbeat); v.Seq > c.receivedSeq { // a heartbeat of SetStatus may overtake a regular one
		c.receivedSeq, c.receivedAt = v.Seq, now
	}
	c.mu.Unlock()
	if invalid {
		return fmt.Errorf("%w: heartbeat %d acknowledges %d, which was not sent, or has a negative delay", errFrame, v.Seq, v.Heartbeat)
	}
	if roundTrip := now.Sub(sentAt) - time.Duration(v.AckDelayMicros)*time.Microsecond; known && roundTrip > 0 {
		if old := c.RTT(); old > 0 {
			roundTrip = (7*old + roundTrip) / 8
		}
		c.rtt.Store(int64(roundTrip))
	}
	if s := v.Status; s != nil {
		if !(s.FreeCapacity >= 0 && s.FreeCapacity <= 1) || len(s.MissingShards) > maxShards {
			return fmt.Errorf("%w: invalid status", errFrame)
		}
		c.post(Event{Conn: c, Heartbeat: s})
	}
	return nil
}
