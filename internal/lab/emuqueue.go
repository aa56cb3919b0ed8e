package lab

// This file owns the queue of what will happen in a small world.

import (
	"time"
)

// moment is something that will happen.
type moment struct {
	at  time.Duration
	seq int
	do  func()
}

type moments []moment

func (m moments) Len() int { return len(m) }

func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}

func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

func (m *moments) Push(x any) { *m = append(*m, x.(moment)) }

func (m *moments) Pop() (last any) {
	n := len(*m) - 1
	last, *m = (*m)[n], (*m)[:n]
	return last
}
