// Package usedids remembers the ids of queries that may have run, so that a query whose id comes again is not run again. By the protocol every
// request brings a new id; one that repeats would run its effect twice, and a node's late answer to the first would pass for one to the second.
//
// The memory is bounded: the ids used last are remembered, a number of them in any case. The package does no I/O, reads no clock and depends on
// no package of this module. It takes no locks: a Record is for one goroutine at a time.
package usedids

import "hash/maphash"

// bytesPerID is the memory that one remembered id takes in a map at its usual load.
const bytesPerID = 24

// Record remembers ids by their hashes, in two generations: when the newer one is full, the older one is dropped.
type Record struct {
	capacity int // ids of a generation
	seed     maphash.Seed
	newer    map[uint64]struct{}
	older    map[uint64]struct{}
}

// New returns an empty record that takes about twice the given number of bytes at most. At least that number divided by bytesPerID of the ids
// used last are remembered.
func New(bytes int) *Record {
	return &Record{
		capacity: max(1, bytes/bytesPerID),
		seed:     maphash.MakeSeed(),
		newer:    map[uint64]struct{}{},
		older:    map[uint64]struct{}{},
	}
}

// Add remembers an id.
func (r *Record) Add(id string) {
	if len(r.newer) >= r.capacity {
		r.newer, r.older = r.older, r.newer
		clear(r.newer)
	}
	r.newer[maphash.String(r.seed, id)] = struct{}{}
}

// Contains reports whether an id is remembered.
func (r *Record) Contains(id string) bool {
	hash := maphash.String(r.seed, id)
	if _, found := r.newer[hash]; found {
		return true
	}
	_, found := r.older[hash]
	return found
}
