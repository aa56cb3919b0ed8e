package store

// This file holds the set of attempts in flight on one connection. Their order has no meaning, but is the same in every run. The set must
// never contain an attempt twice.

// indexThreshold is the number of attempts from which an index by id is worth its cost (BenchmarkAttemptSet).
const indexThreshold = 64

// attemptSet holds the attempts in flight on a connection: usually few, but thousands when no other connection may be opened.
type attemptSet struct {
	attempts []*Subrequest
	index    map[string]*Subrequest // by id; nil until there are indexThreshold attempts
}

func (o *attemptSet) len() int { return len(o.attempts) }

func (o *attemptSet) last() *Subrequest { return o.attempts[len(o.attempts)-1] }

func (o *attemptSet) add(a *Subrequest) {
	a.position = len(o.attempts)
	o.attempts = append(o.attempts, a)
	if o.index != nil {
		o.index[a.ID] = a
	} else if len(o.attempts) == indexThreshold {
		o.index = make(map[string]*Subrequest, 2*indexThreshold)
		for _, a := range o.attempts {
			o.index[a.ID] = a
		}
	}
}

// find returns the attempt with an id, or nil.
func (o *attemptSet) find(id string) *Subrequest {
	if o.index != nil {
		return o.index[id]
	}
	for _, a := range o.attempts {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// remove removes an attempt, and reports whether it was in the set.
func (o *attemptSet) remove(a *Subrequest) bool {
	if a.position >= len(o.attempts) || o.attempts[a.position] != a {
		return false
	}
	last := o.last()
	o.attempts[a.position], last.position = last, a.position
	o.attempts[len(o.attempts)-1] = nil
	o.attempts = o.attempts[:len(o.attempts)-1]
	if o.index != nil {
		if delete(o.index, a.ID); len(o.attempts) == 0 {
			o.index = nil
		}
	}
	return true
}
