// Package catalogue is the form in which catalogue searches travel inside a search's statement, and their answers inside the values
// that nodes make of its parts. It owns that form and the merging of parts into one answer. It must never search or keep anything.
//
// Depends on decision/resultset, protocols/query. Concurrency: it keeps no state and starts no goroutine, so
// that its functions may be called from any goroutine; what they return is the caller's.
package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/query"
)

// formatVersion opens a statement. A later form would have another.
const formatVersion = "z1"

// MaxDepth bounds the records that a part is asked for.
const MaxDepth = 1000

// Want is what a part is asked for: how many of its first records, in which syntax, and of which query.
type Want struct {
	Depth  int
	Syntax string // a short name: marc21, dc, marcxml or another
	Query  *query.RPN
}

// Statement encodes it.
func (s *Want) Statement() string {
	return formatVersion + " " + strconv.Itoa(s.Depth) + " " + s.Syntax + " " + s.Query.PQF()
}

// ParseStatement decodes one.
func ParseStatement(text string) (w Want, err error) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) != 4 || fields[0] != formatVersion || fields[2] == "" {
		return w, fmt.Errorf("catalogue: statement %.60q", text)
	}
	if w.Depth, err = strconv.Atoi(fields[1]); err != nil || w.Depth < 0 || w.Depth > MaxDepth {
		return w, fmt.Errorf("catalogue: depth %.20q", fields[1])
	}
	w.Syntax = fields[2]
	_, w.Query, err = query.ParsePQF(fields[3])
	return w, err
}

// Value encodes what a node found: how many records there are, and the first of them. Records are UTF-8, as values are.
func Value(hits int, records [][]byte) string {
	b := []byte(formatVersion + " " + strconv.Itoa(hits) + " " + strconv.Itoa(len(records)) + "\n")
	for _, r := range records {
		b = append(strconv.AppendInt(b, int64(len(r)), 10), '\n')
		b = append(append(b, r...), '\n')
	}
	return string(b)
}

var errMalformedValue = errors.New("catalogue: a node's value can't be read")

// ParseValue decodes one. What does not add up is an error, never fewer records.
func ParseValue(text string) (hits int, records [][]byte, err error) {
	line, rest, ok := bytes.Cut([]byte(text), []byte{'\n'})
	fields := strings.Fields(string(line))
	if !ok || len(fields) != 3 || fields[0] != formatVersion {
		return 0, nil, errMalformedValue
	}
	hits, err1 := strconv.Atoi(fields[1])
	n, err2 := strconv.Atoi(fields[2])
	if errors.Join(err1, err2) != nil || hits < 0 || n < 0 || n > MaxDepth || n > hits {
		return 0, nil, errMalformedValue
	}
	for range n {
		head, body, ok := bytes.Cut(rest, []byte{'\n'})
		size, err := strconv.Atoi(string(head))
		if !ok || err != nil || size < 0 || size+1 > len(body) || body[size] != '\n' {
			return 0, nil, errMalformedValue
		}
		records = append(records, body[:size])
		rest = body[size+1:]
	}
	if len(rest) > 0 {
		return 0, nil, errMalformedValue
	}
	return hits, records, nil
}

// Merge makes one answer of the parts that are in. Whole is what the broker said of it. A value that can't be read fails all: what it
// stands for is not known.
func Merge(requested []int, depth int, complete bool, shards []int, values []string) (resultset.Answer, error) {
	a := resultset.Answer{Complete: complete, Hits: map[int]int{}, FirstRecords: map[int][][]byte{}, Depth: depth, Shards: requested}
	for i, s := range shards {
		hits, records, err := ParseValue(values[i])
		if err != nil {
			return a, fmt.Errorf("shard %d: %w", s, err)
		}
		a.Hits[s], a.FirstRecords[s] = hits, records
	}
	return a, nil
}
