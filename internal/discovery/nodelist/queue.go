package nodelist

import (
	"sync"

	"flaxfront/internal/decision/cachedlist"
)

// queue holds the changes that wait to be written, merged. It may be used from any goroutine.
type queue struct {
	added chan struct{} // has a value when something was added

	mu      sync.Mutex
	pending bool // something was added since the last collect
	head    cachedlist.Head
	entries map[string]*cachedlist.Entry // by name; nil: removed
}

func newQueue() queue {
	return queue{added: make(chan struct{}, 1), entries: map[string]*cachedlist.Entry{}}
}

// add merges changes into those that wait; the later state of an entry counts, and of one call the removal.
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
	default: // a value is there already
	}
}

// collect calls apply for each entry that waits, with nil for one that was removed, and empties the queue. It returns the head of the
// list after the changes; false: nothing waits.
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
