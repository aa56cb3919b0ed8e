// Package link carries searches and their verdicts between brokers of two sites. It owns the connections: handshake, version,
// frames, flow control, heartbeats, and the end of each with a reason code. It must never decide where a search goes, keep one
// after its connection, hold more memory for a slow or hostile other side than is stated here, or make the loop wait.
//
// Depends on transport/keys. Concurrency: goroutines of its own, which the caller's context ends; what they
// share with callers is behind a lock or an atomic value.
package link

// This file owns the frames: four bytes of length (least significant first), a letter, and a body in CBOR (RFC 8949) whose
// fields stand in a fixed order. The length covers the letter and the body.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The versions of the protocol that this side speaks. The hello is the same in all of them.
//
//	1  hello, ask, verdict, cancel, beat; a planned stop is told in the status of a beat
//	2  grant: verdicts take no more than the bytes that the asking side has room for
const (
	MinVersion = 1
	MaxVersion = 2
)

// maxFrame bounds a frame: a search holds 64 KiB at most, its verdict some values of as much.
const (
	maxFrame = 1 << 20
	maxParts = 4096
	maxHello = 4 << 10 // until a frame more is known of the other side
)

var (
	errFrame   = errors.New("bad frame")
	errVersion = errors.New("no version in common")
)

// Hello is the first frame each way.
type Hello struct {
	_            struct{} `cbor:",toarray"`
	Min, Max     int
	Site, Broker string // as in the certificate
	Epoch        uint64 // drawn at the start of the process
	Credit       int    // searches that the other side may have out here
	Window       int    // bytes of verdicts that this side has room for
}

// Part is one part of a search.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Shard  int
	Weight float64
}

// Ask forwards a search.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64   // unique in the process that asks
	Again   bool     // it may have come before, over another link
	Left    int64    // microseconds until the asking side must have the verdict
	Type    string
	Tenant  string
	Repeat  bool   // its client asks again
	Request string // the client's id of it
	Text    string
	Parts   []Part
}

// Piece is one part's value.
type Piece struct {
	_     struct{} `cbor:",toarray"`
	Shard int
	Value string
}

// The kinds of a verdict.
const (
	Answered = iota
	Refused
	Failed
)

// Verdict answers an ask.
type Verdict struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Kind   int
	Whole  bool
	After  int64 // microseconds; refused: when to come back
	Pieces []Piece
}

type cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Status is what a side says of itself, with each heartbeat.
type Status struct {
	_        struct{} `cbor:",toarray"`
	Room     float64
	Refusing bool
	Stopping bool
	Lacking  []int
}

type beat struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Heard  uint64 // the last of the other side's
	Held   int64  // microseconds since that came
	Status *Status
}

type grant struct {
	_     struct{} `cbor:",toarray"`
	Bytes int
}

// letters of the frames.
const (
	letterHello   = 'h'
	letterAsk     = 'a'
	letterVerdict = 'v'
	letterCancel  = 'c'
	letterBeat    = 'b'
	letterGrant   = 'g'
)

var (
	decoding, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 16, MaxNestedLevels: 8}.DecMode()
	encoding, _ = cbor.EncOptions{}.EncMode()
)

// appendFrame encodes one frame.
func appendFrame(b []byte, letter byte, body any) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, 0, 0, letter)
	w := bytes.NewBuffer(b)
	if err := encoding.NewEncoder(w).Encode(body); err != nil {
		return b[:at], err
	}
	b = w.Bytes()
	if len(b)-at-4 > maxFrame {
		return b[:at], fmt.Errorf("%w: %d bytes to be sent", errFrame, len(b)-at-4)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b, nil
}

// readFrame reads one frame, giving room only as its bytes come.
func readFrame(r *bufio.Reader, body *bytes.Buffer, most int) (letter byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := int64(binary.LittleEndian.Uint32(head[:]))
	if n < 2 || n > int64(most) {
		return 0, fmt.Errorf("%w: length %d", errFrame, n)
	}
	body.Reset()
	if _, err := io.CopyN(body, r, n); errors.Is(err, io.EOF) {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	letter, _ = body.ReadByte()
	return letter, nil
}

func decode[T any](b []byte) (v T, err error) {
	if err = decoding.Unmarshal(b, &v); err != nil {
		err = fmt.Errorf("%w: %v", errFrame, err)
	}
	return v, err
}

// longestLeft bounds the time that a search may claim to have.
const longestLeft = time.Hour

// decodeAsk reads an ask, and refuses what no broker sends.
func decodeAsk(b []byte) (Ask, error) {
	a, err := decode[Ask](b)
	switch {
	case err != nil:
	case a.Left <= 0 || a.Left > longestLeft.Microseconds() || len(a.Parts) == 0 || len(a.Parts) > maxParts || a.Request == "" ||
		len(a.Request) > 64:
		err = fmt.Errorf("%w: ask %d", errFrame, a.ID)
	}
	for _, p := range a.Parts {
		if err == nil && (p.Shard < 0 || !(p.Weight >= 0 && p.Weight <= 1)) {
			err = fmt.Errorf("%w: ask %d: shard %d weighs %v", errFrame, a.ID, p.Shard, p.Weight)
		}
	}
	return a, err
}

func decodeVerdict(b []byte) (Verdict, error) {
	v, err := decode[Verdict](b)
	if err == nil && (v.Kind < Answered || v.Kind > Failed || v.After < 0 || len(v.Pieces) > maxParts) {
		err = fmt.Errorf("%w: verdict on %d", errFrame, v.ID)
	}
	return v, err
}

// agree picks the version that two sides speak.
func agree(mine, theirs Hello) (int, error) {
	v := min(mine.Max, theirs.Max)
	if v < max(mine.Min, theirs.Min, 1) {
		return 0, fmt.Errorf("%w: %d to %d here, %d to %d there", errVersion, mine.Min, mine.Max, theirs.Min, theirs.Max)
	}
	return v, nil
}
