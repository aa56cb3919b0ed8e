package lab

// This file owns the queue of what will happen in a small world.

import (
	"time"
)

// timedEvent is something that will happen.
type timedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []timedEvent

func (m eventHeap) Len() int { return len(m) }

func (m eventHeap) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}

func (m eventHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

func (m *eventHeap) Push(x any) { *m = append(*m, x.(timedEvent)) }

func (m *eventHeap) Pop() (last any) {
	n := len(*m) - 1
	last, *m = (*m)[n], (*m)[:n]
	return last
}
