package readpin

import (
	"encoding/binary"
	"fmt"
	"time"

	"flaxfront/internal/decision"
)

const (
	wireVersion = 1
	longestAge  = time.Hour
)

// MalformedPositionsError tells why another broker's facts were left aside, all of them.
type MalformedPositionsError struct{ ByteOffset int }

func (e *MalformedPositionsError) Error() string {
	return fmt.Sprintf("facts of replicas' positions can't be read at byte %d", e.ByteOffset)
}

// Remedy says what an operator can do.
func (e *MalformedPositionsError) Remedy() string {
	return "nothing breaks: the broker goes on with what it knows itself; look for a broker of another version in the tier"
}

// EncodePositions writes what is known of replicas' positions, with ages, in MostBytes at most: as many as fit, from where the last one ended.
func (b *Tracker) EncodePositions(now time.Duration) []byte {
	out := make([]byte, 1, b.c.MaxMessageBytes)
	out[0] = wireVersion
	if len(b.seats) == 0 {
		return out
	}
	at := b.cursor % len(b.seats)
	for range len(b.seats) {
		s, from := &b.seats[at], len(out)
		for i := range s.facts {
			if f := &s.facts[i]; f.known && now-f.lo < stale {
				out = appendFact(out, now, s.id, b.shardAt(s, i), f)
			}
		}
		if len(out) > b.c.MaxMessageBytes { // this node's go first next time; one that never fits gives what does
			if out = out[:from]; from == 1 {
				out, at = b.some(out, now, s), (at+1)%len(b.seats)
			}
			break
		}
		at = (at + 1) % len(b.seats)
	}
	b.cursor = at
	return out
}

// some writes as many facts of one node as fit.
func (b *Tracker) some(out []byte, now time.Duration, s *seat) []byte {
	for i := range s.facts {
		if f := &s.facts[i]; f.known && now-f.lo < stale {
			if more := appendFact(out, now, s.id, b.shardAt(s, i), f); len(more) <= b.c.MaxMessageBytes {
				out = more
			}
		}
	}
	return out
}

// shardAt is the shard whose fact has a place at a seat.
func (b *Tracker) shardAt(s *seat, i int) int {
	j := i % b.c.CellsPerShard
	return i/b.c.CellsPerShard*b.c.Cells + (s.cell-j+b.c.Cells)%b.c.Cells
}

func up(d time.Duration) uint64 { return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond) }

// appendFact writes moments as ages: those that must not be too late rounded up, the one that must not be too early down.
func appendFact(out []byte, now time.Duration, id decision.NodeID, shard int, f *fact) []byte {
	out = binary.BigEndian.AppendUint16(append(out, id.Addr[:]...), id.Port)
	out = binary.AppendUvarint(out, uint64(shard))
	out = binary.AppendUvarint(out, f.pos)
	out = binary.AppendUvarint(out, up(now-f.lo))
	out = binary.AppendUvarint(out, uint64(min(max(0, now-f.hi), longestAge)/time.Millisecond))
	asof, lag := uint64(0), uint64(0)
	if f.asof != never && now-f.asof < longestAge {
		asof = 1 + up(now-f.asof)
	}
	if f.lag != UnknownAge {
		lag = 1 + up(min(f.lag, longestAge))
	}
	return binary.AppendUvarint(binary.AppendUvarint(out, asof), lag)
}

// MergePositions merges another broker's facts; older is the most by which they have grown older on the way.
func (b *Tracker) MergePositions(now time.Duration, data []byte, older time.Duration) error {
	for apply := range 2 { // all is read before any of it counts
		if err := b.take(now, data, b.long(older), apply == 1); err != nil {
			b.Counts.Bad++
			return err
		}
	}
	return nil
}

func (b *Tracker) take(now time.Duration, data []byte, older time.Duration, apply bool) error {
	if len(data) == 0 || data[0] != wireVersion {
		return &MalformedPositionsError{}
	}
	for rest := data[1:]; len(rest) > 0; {
		at := len(data) - len(rest)
		if len(rest) < 6 {
			return &MalformedPositionsError{at}
		}
		id := decision.NodeID{Addr: [4]byte(rest), Port: binary.BigEndian.Uint16(rest[4:])}
		rest = rest[6:]
		var v [6]uint64
		for i := range v {
			n := 0
			if v[i], n = binary.Uvarint(rest); n <= 0 {
				return &MalformedPositionsError{at}
			}
			rest = rest[n:]
		}
		if most := 1 + uint64(longestAge/time.Millisecond); max(v[2], v[3], v[4], v[5]) > most {
			return &MalformedPositionsError{at}
		}
		seated, known := b.byID[id]
		if !apply || !known || v[0] >= uint64(b.c.Shards) {
			continue
		}
		f := b.fact(&b.seats[seated], int(v[0]))
		if f == nil {
			continue
		}
		const ms = time.Millisecond
		n := fact{known: true, pos: v[1], lo: now - older - b.long(time.Duration(v[2])*ms), hi: now - time.Duration(float64(v[3])*(1-b.c.MaxDrift))*ms,
			asof: never, lag: UnknownAge, tried: never}
		if v[4] > 0 {
			n.asof = now - older - b.long(time.Duration(v[4]-1)*ms)
		}
		if v[5] > 0 {
			n.lag = time.Duration(v[5]-1) * ms
		}
		b.Counts.Facts++
		b.merge(f, &n)
	}
	return nil
}
