package store

// This file owns the parts that are out on one connection, in no order that matters but the same in every run. It must never
// hold one twice.

// indexThreshold is the number of parts from which an index by id is worth its upkeep (BenchmarkAttemptSet).
const indexThreshold = 64

// attemptSet are the parts out on a connection: few as a rule, thousands where no other connection may be opened.
type attemptSet struct {
	attempts []*Subrequest
	index    map[string]*Subrequest // nil while there are few
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

// find looks for the part that an answer names.
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

// remove takes a part out; false: it was not there.
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
