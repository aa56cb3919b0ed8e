package store

// This file owns the form of frames, both ways. It must never let through an answer that it could not read whole, or
// know which parts are out.

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

// maxFrame bounds what a node may send in one frame.
const maxFrame = 64 << 10

// End tells how a node says that a part ended.
type End uint8

const (
	Served End = iota
	Broke
	Skipped
)

// Answer is a node's answer to one part.
type Answer struct {
	ID    string
	End   End
	Value string
}

// appendCall encodes one call of some parts, each with the time that is still waited for it.
func appendCall(b []byte, parts []*Part, now time.Duration) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 'q')
	for _, p := range parts {
		wait := max(1, (p.Deadline - now).Milliseconds())
		b = fmt.Appendf(b, "%s %d d=%d %d\n", p.ID, p.Shard, wait, len(p.Text))
		b = append(b, p.Text...)
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

func appendCancel(b []byte, id string) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(1+len(id)))
	return append(append(b, 'c'), id...)
}

// readFrame reads one frame. What it claims to hold is given room only as it comes.
func readFrame(r *bufio.Reader) (letter byte, rest []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > maxFrame {
		return 0, nil, fmt.Errorf("%w: length %d", errFrame, n)
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, r, int64(n)); errors.Is(err, io.EOF) {
		return 0, nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return 0, nil, err
	}
	return frame.Bytes()[0], frame.Bytes()[1:], nil
}

// parseAnswer reads what follows the letter of an answer. The load report that ends its line is not used: one that
// can't be read spoils nothing.
func parseAnswer(rest []byte) (a Answer, err error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	words := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(words) != 4 || len(words[0]) == 0 {
		return a, fmt.Errorf("%w: answer line %.60q", errFrame, line)
	}
	if !utf8.Valid(value) { // it could not be told to the client as the node gave it
		return a, fmt.Errorf("%w: value %.60q", errFrame, value)
	}
	switch string(words[1]) {
	case "served":
		a.End = Served
	case "broke":
		a.End = Broke
	case "skipped":
		a.End = Skipped
	default:
		return a, fmt.Errorf("%w: end %.20q", errFrame, words[1])
	}
	if _, err := strconv.ParseFloat(string(words[2]), 64); err != nil && string(words[2]) != "-" {
		return a, fmt.Errorf("%w: score %.20q", errFrame, words[2])
	}
	a.ID, a.Value = string(words[0]), string(value)
	return a, nil
}
