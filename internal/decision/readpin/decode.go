package readpin

import (
	"encoding/binary"
	"fmt"
	"time"

	"flaxfront/internal/decision"
)

// MalformedPositionsError reports that another broker's message of replica positions can't be decoded. None of its positions is used.
type MalformedPositionsError struct{ ByteOffset int }

func (e *MalformedPositionsError) Error() string {
	return fmt.Sprintf("malformed message of replica positions from another broker: can't decode byte %d", e.ByteOffset)
}

// Remedy returns what an operator can do about the error.
func (e *MalformedPositionsError) Remedy() string {
	return "queries are not affected: the broker uses the positions that it observes itself; look for a broker of another version in the tier"
}

// MergePositions merges the positions in another broker's message. transit is the longest time for which the message may have been on its
// way. The error is a *MalformedPositionsError.
func (t *Tracker) MergePositions(now time.Duration, message []byte, transit time.Duration) error {
	if err := decodePositions(message, nil); err != nil { // checks the whole message before any position is used
		t.Counts.Malformed++
		return err
	}
	transit = t.longestSpan(transit)
	return decodePositions(message, func(row *encodedPosition) { t.mergeEncoded(now, row, transit) })
}

// encodedPosition is one position of a message. Ages and lag are in milliseconds.
type encodedPosition struct {
	node              decision.NodeID
	shard             uint64
	offset            uint64
	observedAfterAge  uint64
	observedBeforeAge uint64
	asOfAgePlus1      uint64 // 0: unknown
	lagPlus1          uint64 // 0: unknown
}

// decodePositions checks a message and calls handle, if it is not nil, for each position.
func decodePositions(message []byte, handle func(*encodedPosition)) error {
	if len(message) == 0 || message[0] != wireVersion {
		return &MalformedPositionsError{}
	}
	rest := message[1:]
	for len(rest) > 0 {
		offset := len(message) - len(rest)
		row, after, ok := decodePosition(rest)
		if !ok {
			return &MalformedPositionsError{ByteOffset: offset}
		}
		rest = after
		if handle != nil {
			handle(&row)
		}
	}
	return nil
}

func decodePosition(data []byte) (row encodedPosition, rest []byte, ok bool) {
	if len(data) < nodeIDBytes {
		return row, nil, false
	}
	row.node = decision.NodeID{Addr: [4]byte(data), Port: binary.BigEndian.Uint16(data[4:])}
	rest = data[nodeIDBytes:]
	var values [varintsPerRow]uint64
	for i := range values {
		value, n := binary.Uvarint(rest)
		if n <= 0 {
			return row, nil, false
		}
		values[i] = value
		rest = rest[n:]
	}
	row.shard = values[0]
	row.offset = values[1]
	row.observedAfterAge = values[2]
	row.observedBeforeAge = values[3]
	row.asOfAgePlus1 = values[4]
	row.lagPlus1 = values[5]
	maxAge := 1 + uint64(maxEncodedAge/time.Millisecond)
	longest := max(row.observedAfterAge, row.observedBeforeAge, row.asOfAgePlus1, row.lagPlus1)
	return row, rest, longest <= maxAge
}

func (t *Tracker) mergeEncoded(now time.Duration, row *encodedPosition, transit time.Duration) {
	index, known := t.byID[row.node]
	if !known || row.shard >= uint64(t.config.Shards) {
		return
	}
	held := t.position(&t.nodes[index], int(row.shard))
	if held == nil {
		return
	}
	received := position{
		known:          true,
		offset:         row.offset,
		observedAfter:  now - transit - t.longestSpan(milliseconds(row.observedAfterAge)),
		observedBefore: now - t.shortestSpan(row.observedBeforeAge),
		asOf:           DistantPast,
		lag:            UnknownAge,
		triedAt:        DistantPast,
	}
	if row.asOfAgePlus1 > 0 {
		received.asOf = now - transit - t.longestSpan(milliseconds(row.asOfAgePlus1-1))
	}
	if row.lagPlus1 > 0 {
		received.lag = milliseconds(row.lagPlus1 - 1)
	}
	t.Counts.Merged++
	t.merge(held, &received)
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
