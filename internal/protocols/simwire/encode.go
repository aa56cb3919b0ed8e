package simwire

// This file encodes the brokers' actions as records for the simulator.

import (
	"bufio"
	"math"
	"time"

	"flaxfront/internal/decision"
)

func (h *Host) writeReply(clock uint64, w *bufio.Writer) error {
	h.records, h.tail = h.records[:0], h.tail[:0]
	for _, b := range h.pending {
		b.pending = false
		if b.router == nil {
			continue
		}
		h.actions = b.router.Step(time.Duration(clock-b.start), b.events, h.actions[:0])
		clear(b.events)
		b.events = b.events[:0]
		if len(h.actions) == 0 {
			continue
		}
		be.PutUint16(h.appendRecord(acOnBehalf)[1:], b.number)
		for i := range h.actions {
			h.encodeAction(b, &h.actions[i])
		}
	}
	h.pending = h.pending[:0]
	var header [8]byte
	be.PutUint32(header[0:], uint32(len(h.records)/actionSize))
	be.PutUint32(header[4:], uint32(len(h.records)+len(h.tail)))
	w.Write(header[:])
	w.Write(h.records)
	w.Write(h.tail)
	return w.Flush()
}

func (h *Host) appendRecord(code byte) []byte {
	n := len(h.records)
	h.records = append(h.records, make([]byte, actionSize)...)
	h.records[n] = code
	return h.records[n:]
}

func (h *Host) encodeAction(b *broker, a *decision.Action) {
	switch a.Kind {
	case decision.SendAttempt:
		r := h.appendRecord(acSend)
		be.PutUint64(r[1:], a.ID)
		copy(r[17:], a.Node.Addr[:])
		be.PutUint16(r[21:], a.Node.Port)
	case decision.ShedQuery:
		r := h.appendRecord(acShed)
		be.PutUint64(r[1:], a.ID)
		be.PutUint64(r[9:], uint64(max(0, a.RetryAfter)))
	case decision.FailQuery:
		be.PutUint64(h.appendRecord(acFailure)[1:], a.ID)
	case decision.AnswerQuery:
		r := h.appendRecord(acRespond)
		be.PutUint64(r[1:], a.ID)
		if a.Complete {
			r[9] = 1
		}
	case decision.CancelAttempt:
		r := h.appendRecord(acAbandon)
		be.PutUint64(r[1:], a.ID)
		be.PutUint16(r[9:], a.Attempt)
	case decision.SetTimer:
		be.PutUint64(h.appendRecord(acTimer)[1:], b.start+uint64(max(0, a.TimerAt)))
	case decision.SendHealthCheck:
		r := h.appendRecord(acProbe)
		copy(r[1:], a.Node.Addr[:])
		be.PutUint16(r[5:], a.Node.Port)
	case decision.CloseIdleConnections:
		r := h.appendRecord(acLetGo)
		copy(r[1:], a.Node.Addr[:])
		be.PutUint16(r[5:], a.Node.Port)
	case decision.SubscribeList:
		h.appendRecord(acKeepInformed)[1] = 1
	case decision.LogMessage:
		h.appendTail(h.appendRecord(acEmit)[1:], a.Text)
	case decision.SendGossip:
		r := h.appendRecord(acTell)
		be.PutUint32(r[1:], math.MaxUint32) // addressed to every peer
		h.appendTail(r[5:], a.Text)
	}
}

// appendTail appends s to the tail and writes its offset and length in bytes, 4 bytes each, to the field.
func (h *Host) appendTail(field []byte, s string) {
	be.PutUint32(field, uint32(len(h.tail)))
	be.PutUint32(field[4:], uint32(len(s)))
	h.tail = append(h.tail, s...)
}
