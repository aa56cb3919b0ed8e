// Package catalogue encodes catalogue searches as the statement of a query, and their results as the values with which nodes answer
// its shard requests. It also merges the values of the shards into one answer. It runs no searches.
//
// Depends on decision/resultset, protocols/query. Concurrency: the package keeps no state and starts no goroutines;
// its functions may be called from any goroutine, and the caller owns what they return.
package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"flaxfront/internal/decision/resultset"
	"flaxfront/internal/protocols/query"
)

// formatVersion is the first word of statements and values, which identifies their format.
const formatVersion = "z1"

// MaxDepth bounds the number of records that a shard is asked for.
const MaxDepth = 1000

// maxHits bounds the number of matching records that a node may state, so that sums over shards stay in range. Z39.50 has 31 bits for it.
const maxHits = math.MaxInt32

// Want is what a shard is asked for: up to Depth of the first records that match a query, in a syntax.
type Want struct {
	Depth  int
	Syntax string // short name, such as marc21, dc or marcxml
	Query  *query.RPN
}

// Statement returns the encoded statement.
func (s *Want) Statement() string {
	return formatVersion + " " + strconv.Itoa(s.Depth) + " " + s.Syntax + " " + s.Query.PQF()
}

// ParseStatement decodes a statement.
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

// Value encodes a node's result: the number of matching records, and the first of the records. Records must be UTF-8, as values are.
func Value(hits int, records [][]byte) string {
	b := []byte(formatVersion + " " + strconv.Itoa(hits) + " " + strconv.Itoa(len(records)) + "\n")
	for _, r := range records {
		b = append(strconv.AppendInt(b, int64(len(r)), 10), '\n')
		b = append(append(b, r...), '\n')
	}
	return string(b)
}

var errMalformedValue = errors.New("catalogue: a node's value can't be read")

// ParseValue decodes a value. An inconsistent value is an error; no records are dropped.
func ParseValue(text string) (hits int, records [][]byte, err error) {
	line, rest, ok := bytes.Cut([]byte(text), []byte{'\n'})
	fields := strings.Fields(string(line))
	if !ok || len(fields) != 3 || fields[0] != formatVersion {
		return 0, nil, errMalformedValue
	}
	hits, err1 := strconv.Atoi(fields[1])
	n, err2 := strconv.Atoi(fields[2])
	if errors.Join(err1, err2) != nil || hits < 0 || hits > maxHits || n < 0 || n > MaxDepth || n > hits {
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

// Merge returns the answer that the values of the shards form. complete states whether the broker's result is complete. A value that
// cannot be decoded fails the whole answer, as the number of its records is not known.
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
