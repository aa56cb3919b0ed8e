package resultset

// This file has the answer to a search, and the pages of a result set.

import (
	"hash/fnv"
	"time"
)

// Record is one record of an answer, as a node returned it.
type Record struct {
	Shard int
	Body  []byte
}

// Answer is the result of a search: for each shard that answered, how many records match and the first of these records.
type Answer struct {
	Complete     bool
	Hits         map[int]int
	FirstRecords map[int][][]byte
	Depth        int   // how many records were asked for from each shard
	Shards       []int // all that were asked, in the order of their records
}

// Count returns how many records match on all shards that answered.
func (a *Answer) Count() (n int) {
	for _, hits := range a.Hits {
		n += hits
	}
	return n
}

// bytes returns an estimate of the memory that an answer takes.
func (a *Answer) bytes() (n int) {
	for _, list := range a.FirstRecords {
		for _, r := range list {
			n += len(r) + 48
		}
	}
	return n + 64*len(a.Hits) + 8*len(a.Shards)
}

// print returns a fingerprint of an answer: a hash of which shards answered, how many records match on each, and the first records of each,
// up to depth.
func (a *Answer) print(depth int) uint64 {
	h := fnv.New64a()
	for _, shard := range a.Shards {
		hits, answered := a.Hits[shard]
		h.Write([]byte{byte(shard), byte(shard >> 8), byte(hits), byte(hits >> 8), byte(hits >> 16)})
		if answered {
			for _, r := range a.FirstRecords[shard][:min(depth, len(a.FirstRecords[shard]))] {
				h.Write(r)
				h.Write([]byte{0})
			}
		}
	}
	return h.Sum64()
}

// Set is a result set. Its records are ordered by shard, and within a shard as the node returned them.
type Set struct {
	Query    string // the search, as the caller needs it to fetch more records
	answer   Answer
	lastUsed time.Duration
	size     int // in bytes, estimated

	name           string
	session        *sessionSets
	next, previous *Set // in the order of last use; nil: it is not kept
}

// Complete reports whether the answer is complete: no shard is missing.
func (s *Set) Complete() bool { return s.answer.Complete }

// Count returns how many records the set has in all, fetched or not.
func (s *Set) Count() int { return s.answer.Count() }

// Page returns up to count records from the position start on, which counts from 1. If some of them were not fetched yet, it returns none,
// and neededDepth is how many records have to be fetched from each shard. ok is false if count is negative or start is not a position in the
// set; an empty page may begin just behind the last record. The cost is that of the records returned, whatever count is.
func (s *Set) Page(start, count int) (page []Record, neededDepth int, ok bool) {
	total := s.Count()
	if start < 1 || count < 0 || start > total+1 || count > 0 && start > total {
		return nil, 0, false
	}
	position := 0      // of the shard's first record, counted from 0
	remaining := count // records that the page still lacks
	for _, shard := range s.answer.Shards {
		hits := s.answer.Hits[shard] // 0 if the shard did not answer
		first := max(0, start-1-position)
		position += hits
		if first >= hits || remaining == 0 {
			continue
		}
		fetched := s.answer.FirstRecords[shard]
		wanted := min(hits-first, remaining)
		if first+wanted > len(fetched) {
			neededDepth = max(neededDepth, min(hits, first+remaining))
		} else {
			page = appendRecords(page, shard, fetched[first:first+wanted])
		}
		remaining -= wanted
	}
	if neededDepth > 0 {
		return nil, neededDepth, true
	}
	return page, 0, true
}

func appendRecords(page []Record, shard int, bodies [][]byte) []Record {
	for _, body := range bodies {
		page = append(page, Record{shard, body})
	}
	return page
}
