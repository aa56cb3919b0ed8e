package store

// This file encodes calls and cancels, and decodes the frames of nodes: four bytes of length (least significant first), a byte with the frame's
// type, and the body. It must never accept an answer that it could not decode completely. Which attempts are in flight is not known here.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"flaxfront/internal/transport/membudget"
)

// maxFrame is the largest length, in bytes, of a frame from a node.
const maxFrame = 64 << 10

// Result is a node's result of an attempt: served, broke (it failed), or skipped (the node rejected it).
type Result uint8

const (
	Served Result = iota
	Broke
	Skipped
	Dropped // served, but there was no memory for the value
)

// Answer is a node's answer to one attempt.
type Answer struct {
	ID     string
	Result Result
	Value  string
	Report string // load report; empty unless the pool keeps reports
	// Memory holds the bytes of a large value, until Close; nil: it is small.
	Memory *membudget.Account
}

// appendCall encodes a call with attempts, each with its remaining time in ms, at least 1.
func appendCall(b []byte, attempts []*Subrequest, now time.Duration) []byte {
	at := len(b)
	b = slices.Grow(b, callBytes(attempts))
	b = append(b, 0, 0, 0, 0, 'q')
	for _, a := range attempts {
		wait := max(1, (a.Deadline - now).Milliseconds())
		b = append(append(b, a.ID...), ' ')
		b = append(strconv.AppendInt(b, int64(a.Shard), 10), " d="...)
		b = append(strconv.AppendInt(b, wait, 10), ' ')
		b = append(strconv.AppendInt(b, int64(len(a.Text)), 10), '\n')
		b = append(b, a.Text...)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// callBytes returns the size of a call, at most.
func callBytes(attempts []*Subrequest) int {
	const headBytes, lineBytes = 5, 64 // a line without its id
	size := headBytes
	for _, a := range attempts {
		size += len(a.ID) + lineBytes + len(a.Text)
	}
	return size
}

func appendCancel(b []byte, id string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(id)))
	return append(append(b, 'c'), id...)
}

// Memory for a frame: one of up to smallFrame bytes, as nearly all are, needs no reservation; a larger one is in memory twice while its value is
// taken out of it.
const (
	smallFrame       = 512
	copiesOfLargeOne = 2
)

// SmallValue is the size in bytes of a value for which no memory need be reserved.
const SmallValue = smallFrame

// nodeFrame is a frame of a node.
type nodeFrame struct {
	kind    byte
	body    []byte
	memory  *membudget.Account // reserved for the body; nil: it is small
	skipped bool               // there was no memory for it, so that body is only the part that fits the reader's buffer
}

// readFrame reads one frame, within a memory budget; nil: it is unlimited. The caller closes the frame's memory.
func readFrame(r *bufio.Reader, budget *membudget.Budget) (f nodeFrame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > maxFrame {
		return f, fmt.Errorf("%w: length %d", errFrame, n)
	}
	if n > smallFrame {
		f.memory = &membudget.Account{}
		f.memory.Open(budget, 0)
		if !f.memory.TryGrow(int(n) * copiesOfLargeOne) {
			return skipFrame(r, int(n))
		}
	}
	content := make([]byte, n)
	if _, err := io.ReadFull(r, content); err != nil {
		f.memory.Close()
		return f, insideFrame(err)
	}
	f.kind = content[0]
	f.body = content[1:]
	return f, nil
}

// skipFrame reads a frame of n bytes and keeps the part that fits the reader's buffer.
func skipFrame(r *bufio.Reader, n int) (nodeFrame, error) {
	start, err := r.Peek(min(n, r.Size()))
	if err != nil {
		return nodeFrame{}, insideFrame(err)
	}
	f := nodeFrame{kind: start[0], body: bytes.Clone(start[1:]), skipped: true}
	_, err = r.Discard(n)
	return f, insideFrame(err)
}

// insideFrame returns an error that occurred inside a frame: io.EOF becomes io.ErrUnexpectedEOF.
func insideFrame(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseDropped decodes the line of an answer whose frame was skipped.
func parseDropped(start []byte) (Answer, error) {
	line, _, _ := bytes.Cut(start, []byte{'\n'})
	a, err := parseAnswer(append(bytes.Clone(line), '\n'), false)
	if a.Result == Served {
		a.Result = Dropped
	}
	return a, err
}

// parseAnswer decodes the body of an answer frame. The load report at the end of its line is kept only with keepReport, and is not validated.
func parseAnswer(body []byte, keepReport bool) (a Answer, err error) {
	line, value, ok := bytes.Cut(body, []byte{'\n'})
	id, more, ok1 := bytes.Cut(line, []byte{' '})
	status, more, ok2 := bytes.Cut(more, []byte{' '})
	score, report, ok3 := bytes.Cut(more, []byte{' '})
	if !ok || !ok1 || !ok2 || !ok3 || len(id) == 0 {
		return a, fmt.Errorf("%w: answer line %.60q", errFrame, line)
	}
	if !utf8.Valid(value) { // it could not be passed to the client unchanged
		return a, fmt.Errorf("%w: value %.60q", errFrame, value)
	}
	switch string(status) {
	case "served":
		a.Result = Served
	case "broke":
		a.Result = Broke
	case "skipped":
		a.Result = Skipped
	default:
		return a, fmt.Errorf("%w: result %.20q", errFrame, status)
	}
	if _, err := strconv.ParseFloat(string(score), 64); err != nil && string(score) != "-" {
		return a, fmt.Errorf("%w: score %.20q", errFrame, score)
	}
	a.ID, a.Value = string(id), string(value)
	if keepReport && string(report) != "-" {
		a.Report = string(report)
	}
	return a, nil
}
