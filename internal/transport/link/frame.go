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
	maxFrame      = 1 << 20
	maxShards     = 4096
	maxHelloFrame = 4 << 10 // until a frame more is known of the other side
)

var (
	errFrame   = errors.New("bad frame")
	errVersion = errors.New("no version in common")
)

// Hello is the first frame each way.
type Hello struct {
	_                      struct{} `cbor:",toarray"`
	MinVersion, MaxVersion int
	Site, Broker           string // as in the certificate
	Epoch                  uint64 // drawn at the start of the process
	Credit                 int    // searches that the other side may have out here
	Window                 int    // bytes of verdicts that this side has room for
}

// ShardRequest is one part of a search.
type ShardRequest struct {
	_      struct{} `cbor:",toarray"`
	Shard  int
	Weight float64
}

// Query forwards a search.
type Query struct {
	_               struct{} `cbor:",toarray"`
	ID              uint64   // unique in the process that asks
	Resent          bool     // it may have come before, over another link
	RemainingMicros int64    // microseconds until the asking side must have the verdict
	Type            string
	Tenant          string
	ClientRetry     bool   // its client asks again
	Request         string // the client's id of it
	Text            string
	ShardRequests   []ShardRequest
}

// ShardAnswer is one part's value.
type ShardAnswer struct {
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

// Reply answers an ask.
type Reply struct {
	_                struct{} `cbor:",toarray"`
	ID               uint64
	Kind             int
	IsComplete       bool
	RetryAfterMicros int64 // microseconds; refused: when to come back
	ShardAnswers     []ShardAnswer
}

type cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Heartbeat is what a side says of itself, with each heartbeat.
type Status struct {
	_             struct{} `cbor:",toarray"`
	FreeCapacity  float64
	IsShedding    bool
	IsDraining    bool
	MissingShards []int
}

type heartbeat struct {
	_              struct{} `cbor:",toarray"`
	Seq            uint64
	Heartbeat      uint64 // the last of the other side's
	AckDelayMicros int64  // microseconds since that came
	Status         *Status
}

type windowUpdate struct {
	_     struct{} `cbor:",toarray"`
	Bytes int
}

// letters of the frames.
const (
	frameHello        = 'h'
	frameQuery        = 'a'
	frameReply        = 'v'
	frameCancel       = 'c'
	frameHeartbeat    = 'b'
	frameWindowUpdate = 'g'
)

var (
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 16, MaxNestedLevels: 8}.DecMode()
	encMode, _ = cbor.EncOptions{}.EncMode()
)

// appendFrame encodes one frame.
func appendFrame(b []byte, frameType byte, body any) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, 0, 0, frameType)
	w := bytes.NewBuffer(b)
	if err := encMode.NewEncoder(w).Encode(body); err != nil {
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
func readFrame(r *bufio.Reader, body *bytes.Buffer, limit int) (frameType byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := int64(binary.LittleEndian.Uint32(head[:]))
	if n < 2 || n > int64(limit) {
		return 0, fmt.Errorf("%w: length %d", errFrame, n)
	}
	body.Reset()
	if _, err := io.CopyN(body, r, n); errors.Is(err, io.EOF) {
		return 0, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, err
	}
	frameType, _ = body.ReadByte()
	return frameType, nil
}

func decode[T any](b []byte) (v T, err error) {
	if err = decMode.Unmarshal(b, &v); err != nil {
		err = fmt.Errorf("%w: %v", errFrame, err)
	}
	return v, err
}

// maxRemainingTime bounds the time that a search may claim to have.
const maxRemainingTime = time.Hour

// decodeQuery reads an ask, and refuses what no broker sends.
func decodeQuery(b []byte) (Query, error) {
	q, err := decode[Query](b)
	switch {
	case err != nil:
	case q.RemainingMicros <= 0 || q.RemainingMicros > maxRemainingTime.Microseconds() || len(q.ShardRequests) == 0 || len(q.ShardRequests) > maxShards || q.Request == "" ||
		len(q.Request) > 64:
		err = fmt.Errorf("%w: ask %d", errFrame, q.ID)
	}
	for _, p := range q.ShardRequests {
		if err == nil && (p.Shard < 0 || !(p.Weight >= 0 && p.Weight <= 1)) {
			err = fmt.Errorf("%w: ask %d: shard %d weighs %v", errFrame, q.ID, p.Shard, p.Weight)
		}
	}
	return q, err
}

func decodeReply(b []byte) (Reply, error) {
	r, err := decode[Reply](b)
	if err == nil && (r.Kind < Answered || r.Kind > Failed || r.RetryAfterMicros < 0 || len(r.ShardAnswers) > maxShards) {
		err = fmt.Errorf("%w: verdict on %d", errFrame, r.ID)
	}
	return r, err
}

// negotiateVersion picks the version that two sides speak.
func negotiateVersion(local, remote Hello) (int, error) {
	v := min(local.MaxVersion, remote.MaxVersion)
	if v < max(local.MinVersion, remote.MinVersion, 1) {
		return 0, fmt.Errorf("%w: %d to %d here, %d to %d there", errVersion, local.MinVersion, local.MaxVersion, remote.MinVersion, remote.MaxVersion)
	}
	return v, nil
}
