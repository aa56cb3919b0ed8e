package back

// This file holds the attempts that wait on one connection for their turn. Until then they can be taken back.

import (
	"slices"
	"sync"
)

// maxQueuedAttempts bounds the attempts that wait on one connection. As a rule the pool has only one attempt in flight on each.
const maxQueuedAttempts = 64

// attemptQueue is the queue between the pool, which adds, cancels and withdraws attempts, and the connection's goroutine, which executes them.
type attemptQueue struct {
	added chan struct{} // signalled when there may be an attempt

	mu      sync.Mutex
	waiting []attempt
}

func newAttemptQueue() *attemptQueue { return &attemptQueue{added: make(chan struct{}, 1)} }

// add adds attempts, and reports false if there is no room for all of them.
func (q *attemptQueue) add(attempts []attempt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(attempts) > maxQueuedAttempts {
		return false
	}
	q.waiting = append(q.waiting, attempts...)
	q.signal()
	return true
}

// signal wakes the connection's goroutine. The caller holds mu.
func (q *attemptQueue) signal() {
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// next removes the first attempt, and reports false if there is none.
func (q *attemptQueue) next() (a attempt, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return a, false
	}
	a = q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	if len(q.waiting) > 0 {
		q.signal()
	}
	return a, true
}

// cancel removes an attempt if it still waits. One that has begun is executed to its end.
func (q *attemptQueue) cancel(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(a attempt) bool { return a.id == id })
}

// withdraw removes all attempts, and returns their ids.
func (q *attemptQueue) withdraw() (ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.waiting {
		ids = append(ids, a.id)
	}
	q.waiting = nil
	return ids
}
