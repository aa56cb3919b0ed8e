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
	"strconv"
	"time"
	"unicode/utf8"
)

// maxFrame is the largest length, in bytes, of a frame from a node.
const maxFrame = 64 << 10

// Result is a node's result of an attempt: served, broke (it failed), or skipped (the node rejected it).
type Result uint8

const (
	Served Result = iota
	Broke
	Skipped
)

// Answer is a node's answer to one attempt.
type Answer struct {
	ID     string
	Result Result
	Value  string
	Report string // load report; empty unless the pool keeps reports
}

// appendCall encodes a call with attempts, each with its remaining time in ms, at least 1.
func appendCall(b []byte, attempts []*Subrequest, now time.Duration) []byte {
	at := len(b)
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

func appendCancel(b []byte, id string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(id)))
	return append(append(b, 'c'), id...)
}

// readFrame reads one frame. Memory is allocated as bytes arrive, not by the length that the frame states.
func readFrame(r *bufio.Reader) (frameType byte, body []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > maxFrame {
		return 0, nil, fmt.Errorf("%w: length %d", errFrame, n)
	}
	if r.Buffered() >= int(n) { // it is buffered completely
		frame := make([]byte, n)
		io.ReadFull(r, frame)
		return frame[0], frame[1:], nil
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(n)); errors.Is(err, io.EOF) {
		return 0, nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, nil, err
	}
	return frame.Bytes()[0], frame.Bytes()[1:], nil
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
