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
	Whole  bool
	Hits   map[int]int
	First  map[int][][]byte
	Depth  int   // so many of each shard were asked for
	Shards []int // that were asked, in their order
}

// Count is how many records the answer has in all, of the shards that are in.
func (a *Answer) Count() (n int) {
	for _, h := range a.Hits {
		n += h
	}
	return n
}

// bytes is what an answer takes.
func (a *Answer) bytes() (n int) {
	for _, list := range a.First {
		for _, r := range list {
			n += len(r) + 48
		}
	}
	return n + 64*len(a.Hits)
}

// print names an answer: which shards are in, what each counts, and what its first records are.
func (a *Answer) print(depth int) uint64 {
	h := fnv.New64a()
	for _, s := range a.Shards {
		hits, in := a.Hits[s]
		h.Write([]byte{byte(s), byte(s >> 8), byte(hits), byte(hits >> 8), byte(hits >> 16)})
		if in {
			for _, r := range a.First[s][:min(depth, len(a.First[s]))] {
				h.Write(r)
				h.Write([]byte{0})
			}
		}
	}
	return h.Sum64()
}

// Set is a result set. Records are in the order of shards, and within one in the order that its node gave them.
type Set struct {
	Query  string // whatever it takes to fetch more
	answer Answer
	used   time.Duration
	size   int
}

// Whole tells whether every part of the answer is in.
func (s *Set) Whole() bool { return s.answer.Whole }

// Count is how many records there are in all.
func (s *Set) Count() int { return s.answer.Count() }

// Page returns some records from a place on, counted from 1. Where not all of them were fetched, need is how many of each shard
// have to be; ok false: the place lies beyond the end.
func (s *Set) Page(start, count int) (page []Record, need int, ok bool) {
	total := s.Count()
	if start < 1 || count < 0 || start > total+1 || count > 0 && start > total {
		return nil, 0, false
	}
	at := 1
	for _, shard := range s.answer.Shards {
		hits, in := s.answer.Hits[shard]
		if !in {
			continue
		}
		for i := max(0, start-at); i < hits && len(page) < count && at+i < start+count; i++ {
			if i >= len(s.answer.First[shard]) {
				need = max(need, min(hits, i+count-len(page)))
				page = append(page, Record{})
				continue
			}
			page = append(page, Record{shard, s.answer.First[shard][i]})
		}
		at += hits
	}
	if need > 0 {
		return nil, need, true
	}
	return page, 0, true
}
