// Package simwire implements the simulator's binary protocol and runs many brokers, which share no state, in one process.
//
// Depends on config/terms, decision. Concurrency: the package takes no locks and starts no goroutines; a value
// is used by one goroutine at a time.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
)

// Sizes in bytes of frames and records, and their codes in the simulator's protocol.
const (
	eventSize  = 56
	actionSize = 24
	entrySize  = 24
	headerSize = 12
	maxFrame   = 1 << 30
	flagRepeat = 2

	evNew, evEndpoints, evWorkItem, evOpened, evResolved, evHangup = 1, 2, 3, 4, 5, 6
	evElapsed, evProbeDone, evDatagram, evKill, evManifest         = 7, 8, 9, 10, 11
	evSelect                                                       = 12

	acSend, acShed, acFailure, acAbandon, acTimer = 1, 2, 3, 4, 5
	acProbe, acLetGo, acTell                      = 6, 7, 8
	acEmit, acKeepInformed, acRespond, acOnBehalf = 9, 11, 13, 14

	listDelta, listFailed, listFull, listCached = 1, 2, 3, 4
)

var be = binary.BigEndian

type broker struct {
	number  uint16
	start   uint64 // the simulator's clock when the broker started, in nanoseconds
	router  decision.Router
	events  []decision.Event
	pending bool // is in Host.pending
}

// Host decodes batches of events, steps each broker that a batch has events for, and writes the brokers' actions.
type Host struct {
	newRouter func(decision.Settings) decision.Router
	brokers   map[uint16]*broker
	pending   []*broker  // have events in this batch
	sheets    [16][]byte // encoded endpoint lists: Manifest records fill them, and Endpoints records refer to them
	received  [16]bool   // whether a Manifest has filled the sheet
	frame     bytes.Buffer
	actions   []decision.Action
	records   []byte
	tail      []byte
}

// NewHost returns a host that makes each broker's router with newRouter.
func NewHost(newRouter func(decision.Settings) decision.Router) *Host {
	return &Host{newRouter: newRouter, brokers: map[uint16]*broker{}}
}

// Serve answers batches until the input ends. An input that ends within a frame is an error.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var header [headerSize]byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header cut short: %w", n, err)
		}
		clock, size := be.Uint64(header[0:]), be.Uint32(header[8:])
		if size < 4 || size > maxFrame {
			return fmt.Errorf("batch %d: length %d out of range", n, size)
		}
		h.frame.Reset()
		if got, err := io.CopyN(&h.frame, r, int64(size)); err != nil {
			return fmt.Errorf("batch %d: got %d of %d bytes: %w", n, got, size, err)
		}
		if err := h.handleBatch(clock, h.frame.Bytes()); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := h.writeReply(clock, w); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}

func (h *Host) handleBatch(clock uint64, body []byte) error {
	count := uint64(be.Uint32(body))
	if count*eventSize > uint64(len(body)-4) {
		return fmt.Errorf("%d records do not fit in %d bytes", count, len(body))
	}
	records, tail := body[4:4+count*eventSize], body[4+count*eventSize:]
	var current *broker
	var number uint16
	selected := false
	for i := 0; len(records) > 0; i++ {
		r := records[:eventSize]
		records = records[eventSize:]
		var err error
		switch code := r[0]; {
		case code == evSelect:
			number, selected = be.Uint16(r[1:]), true
			current = h.brokers[number]
		case code == evManifest:
			err = h.storeManifest(r, tail)
		case code < evNew || code > evSelect:
			err = fmt.Errorf("unknown event code %d", code)
		case !selected:
			err = fmt.Errorf("event code %d before any Select", code)
		case code == evNew:
			current, err = h.start(clock, number, r, tail)
		case current == nil:
			err = fmt.Errorf("event code %d for broker %d, which is not running", code, number)
		case code == evKill:
			current.router, current.events = nil, nil
			delete(h.brokers, number)
			current = nil
		default:
			if !current.pending {
				current.pending = true
				h.pending = append(h.pending, current)
			}
			err = h.decodeEvent(current, r, tail)
		}
		if err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	return nil
}

func (h *Host) start(clock uint64, number uint16, r, tail []byte) (*broker, error) {
	text, err := tailBytes(tail, r[9:], 1)
	if err != nil {
		return nil, fmt.Errorf("NewInstance: setup: %w", err)
	}
	t, err := terms.FromText(string(text), be.Uint64(r[1:]))
	if err != nil {
		return nil, fmt.Errorf("NewInstance: %w", err)
	}
	if old := h.brokers[number]; old != nil {
		old.router = nil
	}
	b := &broker{number: number, start: clock, router: h.newRouter(t.Module), pending: true}
	h.brokers[number] = b
	h.pending = append(h.pending, b)
	return b, nil
}

func (h *Host) decodeEvent(b *broker, r, tail []byte) error {
	var e decision.Event
	switch r[0] {
	case evEndpoints:
		switch r[10] {
		case listFailed:
			e.Kind = decision.ListPollFailed
			b.events = append(b.events, e)
			return nil
		case listDelta:
			e.Kind = decision.ListUpdateReceived
		case listFull, listCached:
			e.Kind = decision.FullListReceived
		default:
			return fmt.Errorf("message Endpoints: unknown mode %d", r[10])
		}
		if int(r[9]) >= len(h.sheets) || !h.received[r[9]] {
			return fmt.Errorf("message Endpoints: no Manifest received for sheet %d", r[9])
		}
		var err error
		if e.Endpoints, err = decodeEntries(h.sheets[r[9]], b.start); err != nil {
			return err
		}
	case evWorkItem:
		e.Kind, e.ID, e.RemainingTime = decision.QueryReceived, be.Uint64(r[1:]), decodeDuration(be.Uint64(r[9:]))
		e.Weight, e.Type = float64(decodeFloat(r[17:])), int(r[21])
		e.Tenant, e.Serial, e.Retry = int(be.Uint16(r[30:])), decodeFloat(r[45:]), r[36]&flagRepeat != 0
		if shard := decodeFloat(r[32:]); shard >= 0 && shard < 1<<24 {
			e.Kind, e.Shard = decision.ShardRequestReceived, int(shard)
		} else if !(shard < 0) {
			return fmt.Errorf("WorkItem: shard %v", shard)
		}
		if e.Kind == decision.ShardRequestReceived && !(e.Weight >= 0 && e.Weight <= 1.001) {
			return fmt.Errorf("WorkItem: weight %v", e.Weight)
		}
	case evResolved:
		e.Kind, e.ID, e.Attempt = decision.AttemptEnded, be.Uint64(r[1:]), be.Uint16(r[10:])
		e.Elapsed, e.Node = decodeDuration(be.Uint64(r[12:])), decodeNode(r[22:])
		status := be.Uint16(r[20:])
		if status > uint16(decision.NeverSent) {
			return fmt.Errorf("message Resolved: unknown outcome %d", status)
		}
		e.Outcome = decision.Outcome(status)
	case evHangup:
		e.Kind, e.ID = decision.ClientDeparted, be.Uint64(r[1:])
	case evElapsed:
		e.Kind = decision.TimerFired
	case evDatagram:
		text, err := tailBytes(tail, r[5:], 1)
		if err != nil {
			return fmt.Errorf("message Datagram: %w", err)
		}
		e.Kind, e.From, e.Payload = decision.GossipReceived, be.Uint32(r[1:]), bytes.Clone(text)
	case evProbeDone:
		e.Kind, e.Node, e.Elapsed = decision.HealthCheckEnded, decodeNode(r[1:]), decodeDuration(be.Uint64(r[7:]))
		status := be.Uint16(r[15:])
		if status > uint16(decision.NeverSent) {
			return fmt.Errorf("ProbeDone: unknown outcome %d", status)
		}
		e.Outcome = decision.Outcome(status)
	case evOpened:
		return nil // the router does not use streams
	}
	b.events = append(b.events, e)
	return nil
}
