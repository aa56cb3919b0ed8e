package controlplane

// This file owns the frames: four bytes of length (least significant first), a letter, and a body in CBOR (RFC 8949). Fields
// have numbers, and those that a side does not know are passed over, so that two versions understand one another.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	protocol  = 1
	maxFrame  = 4 << 20
	maxHello  = 4 << 10   // until the hello is read
	pieceOf   = 256 << 10 // of a snapshot in one frame
	maxWhole  = 256 << 20 // a snapshot
	maxName   = 64
	maxDepth  = 6
	maxBatch  = 4096 // of anything in one frame
	maxTopics = 8
)

// letters of the frames.
const (
	letterHello  = 'h'
	letterRaft   = 'r' // a packet between voters, as it is
	letterFollow = 'f'
	letterOther  = 'o' // no room: others that have it
	letterFeed   = 'e'
	letterPiece  = 's' // of a snapshot
	letterUp     = 'u'
	letterDown   = 'd'
	letterBeat   = 'b'
	letterAsk    = 'q'
	letterSaid   = 'a'
)

// Role is what a side of a connection came for.
type role uint8

const (
	roleVoter role = 1 + iota
	roleFollower
	roleOperator
)

type hello struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     role   `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Listen   string `cbor:"4,keyasint,omitempty"` // where others may follow this one
}

type follow struct {
	Index uint64 `cbor:"1,keyasint"` // applied already
}

type other struct {
	Addrs []string `cbor:"1,keyasint,omitempty"`
}

type entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

type feed struct {
	Prev    uint64  `cbor:"1,keyasint"` // the index before the first of them
	Entries []entry `cbor:"2,keyasint"`
}

type piece struct {
	Index uint64 `cbor:"1,keyasint"` // that the snapshot stands for
	Total int    `cbor:"2,keyasint"`
	At    int    `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint"`
}

// renewal asks for the session's lease.
type renewal struct {
	Slot  uint32 `cbor:"1,keyasint"`
	Inc   uint64 `cbor:"2,keyasint"`
	Token uint64 `cbor:"3,keyasint"`
}

type report struct {
	Slot uint32 `cbor:"1,keyasint"`
	Inc  uint64 `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint"`
}

type up struct {
	Renewals []renewal `cbor:"1,keyasint,omitempty"`
	Entries  [][]byte  `cbor:"2,keyasint,omitempty"` // proposed
	Reports  []report  `cbor:"3,keyasint,omitempty"`
}

type down struct {
	Lease  int64     `cbor:"1,keyasint"` // nanoseconds
	Leader string    `cbor:"2,keyasint"`
	Grants []renewal `cbor:"3,keyasint"`
}

type beat struct {
	Path  []string        `cbor:"1,keyasint,omitempty"` // from a voter down to this side; empty: it follows nobody now
	Room  int             `cbor:"2,keyasint,omitempty"` // followers that it would take yet
	Token uint64          `cbor:"3,keyasint,omitempty"`
	Echo  uint64          `cbor:"4,keyasint,omitempty"` // the last token of the other side's
	Facts map[string]fact `cbor:"5,keyasint,omitempty"`
}

type fact struct {
	Data []byte `cbor:"1,keyasint"`
	Held int64  `cbor:"2,keyasint,omitempty"` // nanoseconds since it was collected
}

type ask struct {
	ID   uint64 `cbor:"1,keyasint"`
	Verb string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

type said struct {
	ID     uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	Fault  string `cbor:"3,keyasint,omitempty"`
	Remedy string `cbor:"4,keyasint,omitempty"`
	Leader string `cbor:"5,keyasint,omitempty"` // the name of whoever leads

	Elsewhere bool `cbor:"6,keyasint,omitempty"` // this side does not lead; nothing was done
}

var (
	errFrame    = errors.New("bad frame")
	encoding, _ = cbor.EncOptions{}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
)

func frame(letter byte, body any) []byte {
	w := bytes.NewBuffer([]byte{0, 0, 0, 0, letter})
	if raw, ok := body.([]byte); ok {
		w.Write(raw)
	} else if err := encoding.NewEncoder(w).Encode(body); err != nil {
		panic(err) // a type of this file cannot be encoded
	}
	b := w.Bytes()
	binary.LittleEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// readFrame reads one frame, giving room only as its bytes come.
func readFrame(r *bufio.Reader, most int) (letter byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int64(binary.LittleEndian.Uint32(head[:])) - 1
	if n < 0 || n > int64(most) {
		return 0, nil, fmt.Errorf("%w: length %d", errFrame, n)
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, n); err != nil {
		return 0, nil, err
	}
	return head[4], b.Bytes(), nil
}

func decode[T any](b []byte) (v T, err error) {
	if err = decoding.Unmarshal(b, &v); err != nil {
		err = fmt.Errorf("%w: %v", errFrame, err)
	}
	return v, err
}
