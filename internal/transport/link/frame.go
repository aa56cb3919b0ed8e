// Package link carries forwarded queries and their replies between brokers of two sites. It manages the connections: handshake, version,
// frames, flow control, heartbeats, and the reason code of each end. It must never decide where a query goes, keep one after its
// connection has ended, use more memory for a slow or hostile other side than its limits allow, or block the loop.
//
// Depends on transport/keys. Concurrency: it starts goroutines, which end with the caller's context; what they share with callers is
// protected by a lock or an atomic value.
package link

// This file defines the frames: four bytes of length (least significant first), a byte with the type, and a body in CBOR (RFC 8949). Bodies
// are arrays, so that the order of a struct's fields is part of the protocol, and their names are not. The length covers type and body.

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

// The lowest and highest version of the protocol that this side supports. The hello is the same in all of them.
//
//	1  hello, query, reply, cancel, heartbeat; a graceful shutdown is announced in the status of a heartbeat
//	2  window update: replies use no more bytes than the dialling side has room for
const (
	MinVersion = 1
	MaxVersion = 2
)

// maxFrame is the largest length of a frame in bytes: a query has 64 KiB at most, and its reply a few values of that size.
const (
	maxFrame      = 1 << 20
	maxShards     = 4096
	maxHelloFrame = 4 << 10 // for the hello, before which nothing is known of the other side
)

var (
	errFrame   = errors.New("bad frame")
	errVersion = errors.New("no common protocol version")
)

// Hello is the first frame in each direction.
type Hello struct {
	_                      struct{} `cbor:",toarray"`
	MinVersion, MaxVersion int
	Site, Broker           string // as in the certificate
	Epoch                  uint64 // drawn at the start of the process
	Credit                 int    // queries that the other side may have in flight here
	Window                 int    // bytes of replies that this side has room for
}

// ShardRequest is the request to one shard of a query.
type ShardRequest struct {
	_      struct{} `cbor:",toarray"`
	Shard  int
	Weight float64
}

// Query forwards a query.
type Query struct {
	_               struct{} `cbor:",toarray"`
	ID              uint64   // unique in the process that forwards it
	Resent          bool     // it may have been sent before, over another link
	RemainingMicros int64    // microseconds until the forwarding side must have the reply
	Type            string
	Tenant          string
	ClientRetry     bool   // the client has sent the query before
	Request         string // the client's id of the query
	Text            string
	ShardRequests   []ShardRequest
}

const (
	maxQueryFields     = 256 // bytes of a query's frame beside its texts and shard requests
	maxShardRequestLen = 24  // bytes of an encoded shard request
)

// fitsFrame reports whether the query's frame is certain not to be too large.
func (q *Query) fitsFrame() bool {
	texts := len(q.Type) + len(q.Tenant) + len(q.Request) + len(q.Text)
	return maxQueryFields+texts+len(q.ShardRequests)*maxShardRequestLen <= maxFrame
}

// ShardAnswer is the answer of one shard.
type ShardAnswer struct {
	_     struct{} `cbor:",toarray"`
	Shard int
	Value string
}

// The kinds of a reply.
const (
	Answered = iota
	Refused
	Failed
)

// Reply is the reply to a forwarded query.
type Reply struct {
	_                struct{} `cbor:",toarray"`
	ID               uint64
	Kind             int
	IsComplete       bool
	RetryAfterMicros int64 // microseconds; for Refused: when the query may be sent again
	ShardAnswers     []ShardAnswer
}

type cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Status is the status that a side sends with each heartbeat.
type Status struct {
	_             struct{} `cbor:",toarray"`
	FreeCapacity  float64  // free share of the capacity for queries of other sites, 0 to 1
	IsShedding    bool     // it sheds queries
	IsDraining    bool     // a graceful shutdown is under way
	MissingShards []int    // those without an available replica
}

type heartbeat struct {
	_              struct{} `cbor:",toarray"`
	Seq            uint64
	Heartbeat      uint64 // number of the last heartbeat received from the other side; 0: none
	AckDelayMicros int64  // microseconds from receiving that heartbeat to sending this one; SetStatus leaves it 0
	Status         *Status
}

// windowUpdate states how many bytes of replies the dialling side has handled, for which it has room again.
type windowUpdate struct {
	_     struct{} `cbor:",toarray"`
	Bytes int
}

// The types of frames.
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

// appendFrame appends an encoded frame.
func appendFrame(b []byte, frameType byte, body any) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, 0, 0, frameType)
	w := bytes.NewBuffer(b)
	if err := encMode.NewEncoder(w).Encode(body); err != nil {
		return b[:at], err
	}
	b = w.Bytes()
	if len(b)-at-4 > maxFrame {
		return b[:at], fmt.Errorf("%w: %d bytes to send, more than the maximum", errFrame, len(b)-at-4)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b, nil
}

// readFrame reads one frame of at most limit bytes. Memory is allocated as bytes arrive, not by the length that the frame states.
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

// maxRemainingTime is the longest remaining time that a query may state.
const maxRemainingTime = time.Hour

// decodeQuery decodes a query, and rejects values that no broker sends.
func decodeQuery(b []byte) (Query, error) {
	q, err := decode[Query](b)
	switch {
	case err != nil:
	case q.RemainingMicros <= 0 || q.RemainingMicros > maxRemainingTime.Microseconds() || len(q.ShardRequests) == 0 ||
		len(q.ShardRequests) > maxShards || q.Request == "" || len(q.Request) > 64:
		err = fmt.Errorf("%w: query %d: invalid remaining time, shard requests or request id", errFrame, q.ID)
	}
	for _, p := range q.ShardRequests {
		if err == nil && (p.Shard < 0 || !(p.Weight >= 0 && p.Weight <= 1)) {
			err = fmt.Errorf("%w: query %d: shard %d has weight %v", errFrame, q.ID, p.Shard, p.Weight)
		}
	}
	return q, err
}

func decodeReply(b []byte) (Reply, error) {
	r, err := decode[Reply](b)
	if err == nil && (r.Kind < Answered || r.Kind > Failed || r.RetryAfterMicros < 0 || len(r.ShardAnswers) > maxShards) {
		err = fmt.Errorf("%w: invalid reply to query %d", errFrame, r.ID)
	}
	return r, err
}

// negotiateVersion returns the highest version that both sides support.
func negotiateVersion(local, remote Hello) (int, error) {
	v := min(local.MaxVersion, remote.MaxVersion)
	if v < max(local.MinVersion, remote.MinVersion, 1) {
		return 0, fmt.Errorf("%w: this side supports %d to %d, the other side %d to %d", errVersion,
			local.MinVersion, local.MaxVersion, remote.MinVersion, remote.MaxVersion)
	}
	return v, nil
}
