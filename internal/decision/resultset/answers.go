package resultset

// This file owns one answer and the pages of one set.

import (
	"hash/fnv"
	"time"
)

// Record is one of an answer, as a node gave it.
type Record struct {
	Shard int
	Body  []byte
}

// Answer is what a search brought: of each shard that answered how many records it has, and the first of them.
type Answer struct {
	Complete     bool
	Hits         map[int]int
	FirstRecords map[int][][]byte
	Depth        int   // so many of each shard were asked for
	Shards       []int // that were asked, in their order
}

// Count is how many records the answer has in all, of the shards that are in.
func (a *Answer) Count() (n int) {
	for _, hits := range a.Hits {
		n += hits
	}
	return n
}

// bytes is what an answer takes.
func (a *Answer) bytes() (n int) {
	for _, list := range a.FirstRecords {
		for _, r := range list {
			n += len(r) + 48
		}
	}
	return n + 64*len(a.Hits)
}

// print names an answer: which shards are in, what each counts, and what its first records are.
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

// Set is a result set. Records are in the order of shards, and within one in the order that its node gave them.
type Set struct {
	Query    string // whatever it takes to fetch more
	answer   Answer
	lastUsed time.Duration
	size     int
}

// Complete tells whether every part of the answer is in.
func (s *Set) Complete() bool { return s.answer.Complete }

// Count is how many records there are in all.
func (s *Set) Count() int { return s.answer.Count() }

// Page returns some records from a place on, counted from 1. Where not all of them were fetched, need is how many of each shard
// have to be; ok false: the place lies beyond the end.
func (s *Set) Page(start, count int) (page []Record, neededDepth int, ok bool) {
	total := s.Count()
	if start < 1 || count < 0 || start > total+1 || count > 0 && start > total {
		return nil, 0, false
	}
	position := 1
	for _, shard := range s.answer.Shards {
		hits, answered := s.answer.Hits[shard]
		if !answered {
			continue
		}
		for i := max(0, start-position); i < hits && len(page) < count && position+i < start+count; i++ {
			if i >= len(s.answer.FirstRecords[shard]) {
				neededDepth = max(neededDepth, min(hits, i+count-len(page)))
				page = append(page, Record{})
				continue
			}
			page = append(page, Record{shard, s.answer.FirstRecords[shard][i]})
		}
		position += hits
	}
	if neededDepth > 0 {
		return nil, neededDepth, true
	}
	return page, 0, true
}
