package simwire

// This file decodes the contents of event records. A field that is out of range is an error.

import (
	"fmt"
	"math"
	"time"

	"flaxfront/internal/decision"
)

// tailBytes returns the bytes of the tail that a field refers to: a 4-byte offset in bytes and a 4-byte count of items of itemSize bytes.
func tailBytes(tail, field []byte, itemSize uint64) ([]byte, error) {
	offset, size := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))*itemSize
	if offset > uint64(len(tail)) || size > uint64(len(tail))-offset {
		return nil, fmt.Errorf("offset %d with %d bytes lies outside the tail of %d bytes", offset, size, len(tail))
	}
	return tail[offset : offset+size], nil
}

func (h *Host) storeManifest(r, tail []byte) error {
	sheet := r[1]
	if int(sheet) >= len(h.sheets) {
		return fmt.Errorf("message Manifest: sheet %d out of range", sheet)
	}
	entries, err := tailBytes(tail, r[2:], entrySize)
	if err != nil {
		return fmt.Errorf("message Manifest: %w", err)
	}
	h.sheets[sheet], h.received[sheet] = append(h.sheets[sheet][:0], entries...), true
	return nil
}

func decodeNode(b []byte) decision.NodeID {
	return decision.NodeID{Addr: [4]byte(b), Port: be.Uint16(b[4:])}
}

func decodeDuration(v uint64) time.Duration { return time.Duration(min(v, math.MaxInt64/4)) }

func decodeFloat(b []byte) float32 { return math.Float32frombits(be.Uint32(b)) }

func decodeEntries(raw []byte, start uint64) ([]decision.Endpoint, error) {
	out := make([]decision.Endpoint, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		e := decision.Endpoint{Node: decodeNode(raw), Cell: int(be.Uint16(raw[9:])), Zone: int(be.Uint16(raw[6:])),
			StartedAt: decision.StartedLongAgo}
		switch raw[11] {
		case 0:
			e.State = decision.Draining
		case 1:
			e.State = decision.Removed
		case 2:
			e.State = decision.Ready
		default:
			return nil, fmt.Errorf("message Endpoints: entry %d: unknown mode %d", len(out), raw[11])
		}
		if boot := be.Uint64(raw[16:]); boot != 0 {
			e.StartedAt = time.Duration(boot - start) // wraps to a negative duration if the node started before the broker
		}
		out = append(out, e)
	}
	return out, nil
}
