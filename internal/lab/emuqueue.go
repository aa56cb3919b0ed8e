package lab

// This file implements the event queue of a small simulation, ordered by time and then by insertion.

import (
	"time"
)

// timedEvent is a function to run at a time.
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
