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
	wireProtocol       = 1
	maxFrameBytes      = 4 << 20
	maxHelloBytes      = 4 << 10   // until the hello is read
	snapshotPieceBytes = 256 << 10 // of a snapshot in one frame
	maxSnapshotBytes   = 256 << 20 // a snapshot
	maxNameBytes       = 64
	maxPathLength      = 6
	maxBatch           = 4096 // of anything in one frame
	maxTopics          = 8
)

// letters of the frames.
const (
	frameHello         = 'h'
	framePacket        = 'r' // a packet between voters, as it is
	frameFollow        = 'f'
	frameRedirect      = 'o' // no room: others that have it
	frameFeed          = 'e'
	frameSnapshotPiece = 's' // of a snapshot
	frameUpstream      = 'u'
	frameGrants        = 'd'
	frameHeartbeat     = 'b'
	frameRequest       = 'q'
	frameResponse      = 'a'
)

// Role is what a side of a connection came for.
type role uint8

const (
	roleVoter role = 1 + iota
	roleFollower
	roleOperator
)

type helloFrame struct {
	Protocol int    `cbor:"1,keyasint"`
	Role     role   `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Listen   string `cbor:"4,keyasint,omitempty"` // where others may follow this one
}

type followFrame struct {
	Index uint64 `cbor:"1,keyasint"` // applied already
}

type redirectFrame struct {
	Addrs []string `cbor:"1,keyasint,omitempty"`
}

type feedEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

type feedFrame struct {
	Previous uint64      `cbor:"1,keyasint"` // the index before the first of them
	Entries  []feedEntry `cbor:"2,keyasint"`
}

type snapshotPiece struct {
	Index  uint64 `cbor:"1,keyasint"` // that the snapshot stands for
	Total  int    `cbor:"2,keyasint"`
	Offset int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// leaseRenewal asks for the session's lease.
type leaseRenewal struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Token       uint64 `cbor:"3,keyasint"`
}

type reportFrame struct {
	Slot        uint32 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Data        []byte `cbor:"3,keyasint"`
}

type upstreamFrame struct {
	Renewals []leaseRenewal `cbor:"1,keyasint,omitempty"`
	Entries  [][]byte       `cbor:"2,keyasint,omitempty"` // proposed
	Reports  []reportFrame  `cbor:"3,keyasint,omitempty"`
}

type grantsFrame struct {
	Lease  int64          `cbor:"1,keyasint"` // nanoseconds
	Leader string         `cbor:"2,keyasint"`
	Grants []leaseRenewal `cbor:"3,keyasint"`
}

type heartbeatFrame struct {
	Path         []string             `cbor:"1,keyasint,omitempty"` // from a voter down to this side; empty: it follows nobody now
	FollowerRoom int                  `cbor:"2,keyasint,omitempty"` // followers that it would take yet
	Token        uint64               `cbor:"3,keyasint,omitempty"`
	Echo         uint64               `cbor:"4,keyasint,omitempty"` // the last token of the other side's
	Topics       map[string]topicData `cbor:"5,keyasint,omitempty"`
}

type topicData struct {
	Data  []byte `cbor:"1,keyasint"`
	AgeNS int64  `cbor:"2,keyasint,omitempty"` // nanoseconds since it was collected
}

type requestFrame struct {
	ID   uint64 `cbor:"1,keyasint"`
	Verb string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

type responseFrame struct {
	ID     uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	Error  string `cbor:"3,keyasint,omitempty"`
	Remedy string `cbor:"4,keyasint,omitempty"`
	Leader string `cbor:"5,keyasint,omitempty"` // the name of whoever leads

	NotLeader bool `cbor:"6,keyasint,omitempty"` // this side does not lead; nothing was done
}

var (
	errMalformedFrame = errors.New("bad frame")
	encoding, _       = cbor.EncOptions{}.EncMode()
	decoding, _       = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 8}.DecMode()
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
		return 0, nil, fmt.Errorf("%w: length %d", errMalformedFrame, n)
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, n); err != nil {
		return 0, nil, err
	}
	return head[4], b.Bytes(), nil
}

func decode[T any](b []byte) (v T, err error) {
	if err = decoding.Unmarshal(b, &v); err != nil {
		err = fmt.Errorf("%w: %v", errMalformedFrame, err)
	}
	return v, err
}
