// Package queue implements the event queue of the simulations. Events come out by time, then by source, then by the source's
// sequence number. That order is total, so that a run does not depend on how events are spread over queues.
//
// It is a calendar queue (Brown, 1988) with buckets of one width. Most events lie within a fraction of a second and are appended
// unsorted to their bucket, which is sorted when its time comes. Events further ahead wait in a heap.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is used by one goroutine
// at a time.
package queue

import (
	"math/bits"
	"slices"
	"time"
)

// Key orders events.
type Key struct {
	At     time.Duration // from the start of the simulation; not negative
	Source uint32        // number of whoever caused the event
	Seq    uint32        // sequence number among the events of Source
}

// Compare returns -1, 0 or 1, as k comes before, is equal to, or comes after o.
func (k Key) Compare(o Key) int {
	switch {
	case k.At != o.At:
		if k.At < o.At {
			return -1
		}
		return 1
	case k.Source != o.Source:
		if k.Source < o.Source {
			return -1
		}
		return 1
	case k.Seq < o.Seq:
		return -1
	case k.Seq > o.Seq:
		return 1
	}
	return 0
}

// Item is an event with its key.
type Item[T any] struct {
	Key
	Value T
}

const (
	widthBits   = 15      // of the bucket width in nanoseconds: 32.8 microseconds
	ringSize    = 1 << 13 // buckets ahead of the current one: 268 milliseconds
	bitmapWords = ringSize / 64
)

// Queue is a queue of events. The zero value is empty.
type Queue[T any] struct {
	current   []Item[T] // the current bucket, sorted; pos is the next event
	pos       int
	late      heap4[T] // events pushed for the current bucket, or for an earlier one, since it was sorted
	slot      int64    // number of the current bucket
	ring      [][]Item[T]
	used      [bitmapWords]uint64 // bitmap of the buckets of the ring that are not empty
	ringCount int                 // events in the ring
	far       heap4[T]
}

// Len returns the number of events in the queue.
func (q *Queue[T]) Len() int { return len(q.current) - q.pos + len(q.late) + q.ringCount + len(q.far) }

// Push adds an event. If its time is before that of the last popped event, it comes out next.
func (q *Queue[T]) Push(i Item[T]) {
	if q.ring == nil {
		q.ring = make([][]Item[T], ringSize)
	}
	switch slot := int64(i.At) >> widthBits; {
	case slot <= q.slot:
		q.late.push(i)
	case slot < q.slot+ringSize:
		q.addToRing(slot, i)
	default:
		q.far.push(i)
	}
}

func (q *Queue[T]) addToRing(slot int64, i Item[T]) {
	at := slot & (ringSize - 1)
	q.ring[at] = append(q.ring[at], i)
	q.used[at>>6] |= 1 << (at & 63)
	q.ringCount++
}

// Peek returns the time of the next event; false if there is none.
func (q *Queue[T]) Peek() (time.Duration, bool) {
	if q.pos == len(q.current) && len(q.late) == 0 && !q.advance() {
		return 0, false
	}
	if q.isLate() {
		return q.late[0].At, true
	}
	return q.current[q.pos].At, true
}

// isLate reports whether the next event was pushed after its bucket was sorted.
func (q *Queue[T]) isLate() bool {
	return len(q.late) > 0 && (q.pos == len(q.current) || q.late[0].Compare(q.current[q.pos].Key) < 0)
}

// Pop removes and returns the next event; there must be one.
func (q *Queue[T]) Pop() Item[T] {
	if q.pos == len(q.current) && len(q.late) == 0 {
		q.advance()
	}
	if q.isLate() {
		return q.late.pop()
	}
	i := q.current[q.pos]
	q.current[q.pos] = Item[T]{}
	q.pos++
	return i
}

// advance makes the next bucket that is not empty the current one, and reports whether there was one.
func (q *Queue[T]) advance() bool {
	next := int64(-1)
	if q.ringCount > 0 {
		next = q.nextUsed()
	}
	if len(q.far) > 0 {
		if slot := int64(q.far[0].At) >> widthBits; next < 0 || slot < next {
			next = slot
		}
	}
	if next < 0 {
		return false
	}
	q.slot = next
	at := next & (ringSize - 1)
	q.current, q.ring[at] = q.ring[at], q.current[:0]
	q.ringCount -= len(q.current)
	q.used[at>>6] &^= 1 << (at & 63)
	q.pos = 0
	for len(q.far) > 0 {
		slot := int64(q.far[0].At) >> widthBits
		if slot >= q.slot+ringSize {
			break
		}
		if i := q.far.pop(); slot <= q.slot {
			q.current = append(q.current, i)
		} else {
			q.addToRing(slot, i)
		}
	}
	slices.SortFunc(q.current, func(a, b Item[T]) int { return a.Key.Compare(b.Key) })
	return true
}

// nextUsed returns the number of the next bucket of the ring that is not empty; there must be one.
func (q *Queue[T]) nextUsed() int64 {
	from := (q.slot + 1) & (ringSize - 1)
	word := q.used[from>>6] >> (from & 63)
	if word != 0 {
		return q.slot + 1 + int64(bits.TrailingZeros64(word))
	}
	for i := int64(1); i <= bitmapWords; i++ {
		if w := q.used[(from>>6+i)%bitmapWords]; w != 0 {
			return q.slot + 1 + i<<6 - from&63 + int64(bits.TrailingZeros64(w))
		}
	}
	return -1
}

// heap4 is a heap with four children per node.
type heap4[T any] []Item[T]

func (h *heap4[T]) push(i Item[T]) {
	*h = append(*h, i)
	s, at := *h, len(*h)-1
	for at > 0 {
		up := (at - 1) / 4
		if s[up].Key.Compare(i.Key) <= 0 {
			break
		}
		s[at] = s[up]
		at = up
	}
	s[at] = i
}

func (h *heap4[T]) pop() Item[T] {
	s := *h
	top, n := s[0], len(s)-1
	i := s[n]
	s[n] = Item[T]{}
	*h = s[:n]
	if s = s[:n]; n == 0 {
		return top
	}
	at := 0
	for {
		first := 4*at + 1
		if first >= n {
			break
		}
		best := first
		for c := first + 1; c < min(first+4, n); c++ {
			if s[c].Key.Compare(s[best].Key) < 0 {
				best = c
			}
		}
		if i.Key.Compare(s[best].Key) <= 0 {
			break
		}
		s[at] = s[best]
		at = best
	}
	s[at] = i
	return top
}
