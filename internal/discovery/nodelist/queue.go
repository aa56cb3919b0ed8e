package nodelist

import (
	"sync"

	"flaxfront/internal/decision/cachedlist"
)

// queue holds the merged changes that wait to be written. It may be used from any goroutine.
type queue struct {
	added chan struct{} // has a value if changes were added

	mu      sync.Mutex
	pending bool // changes were added since the last collect
	head    cachedlist.Head
	entries map[string]*cachedlist.Entry // by name; nil: removed
}

func newQueue() queue {
	return queue{added: make(chan struct{}, 1), entries: map[string]*cachedlist.Entry{}}
}

// add merges changes into those that wait. The latest change of an entry counts; within one call, a removal counts over a put.
func (q *queue) add(c cachedlist.Changes) {
	q.mu.Lock()
	q.pending = true
	q.head = c.Head
	for i := range c.Put {
		q.entries[c.Put[i].Name] = &c.Put[i]
	}
	for _, name := range c.Removed {
		q.entries[name] = nil
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default: // it has a value already
	}
}

// collect calls apply for each changed entry, with nil for one that was removed, and empties the queue. It returns the head of the list
// after the changes, and false if there are none.
func (q *queue) collect(apply func(name string, e *cachedlist.Entry)) (head cachedlist.Head, any bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.pending {
		return head, false
	}
	q.pending = false
	for name, e := range q.entries {
		apply(name, e)
	}
	clear(q.entries)
	return q.head, true
}
