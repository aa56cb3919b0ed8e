package cachedlist

import (
	"cmp"
	"flaxfront/internal/decision"
	"slices"
	"time"
)

// This file owns what discovery, other brokers and operators say of nodes.

// ApplyList takes discovery's word, which binds: from here on nothing is doubtful, struck out or barred but by it. What the
// list itself names is told to the decision module by the loop; the facts are for those that it leaves out. It returns how
// many nodes in service a whole list ended, of how many.
func (j *Evaluator) ApplyList(l List, id func(name string) decision.NodeID, now time.Duration) (ended, of int) {
	ended, of = j.book.ApplyList(l, j.moment(now))
	j.told, j.alike, j.due, j.exposure, j.proved = true, false, never, 0, 0
	clear(j.cells)
	clear(j.tried)
	clear(j.suspects)
	for nid, n := range j.nodes {
		if e, known := j.book.Get(n.name); !known || e.State == Ended {
			delete(j.nodes, nid)
		}
	}
	for name, e := range j.book.entries {
		if e.State == Ended {
			continue
		}
		at := id(name)
		n := j.nodes[at]
		if n == nil {
			n = &node{id: at, name: name}
			j.nodes[at] = n
		}
		again := n.standing >= Ejected || n.eased
		*n = node{id: at, name: name, cell: e.Cell, odds: 1}
		if j.cells[n.cell]++; again {
			j.fact(n)
		}
	}
	sortFacts(j.facts)
	return ended, of
}

// sortFacts puts facts in the order of their nodes, as they may come out of a map.
func sortFacts(facts []EndpointUpdate) {
	slices.SortFunc(facts, func(x, y EndpointUpdate) int { return cmp.Compare(x.Entry.Name, y.Entry.Name) })
}

// Import takes entries from an operator while discovery can't be asked, and returns how many. They are as doubtful as
// their age says. While it can be asked its word binds, and nothing is taken.
func (j *Evaluator) Import(entries []Entry, id func(name string) decision.NodeID, now time.Duration) (took int) {
	if j.told {
		return 0
	}
	for _, e := range entries {
		if j.book.Import([]Entry{e}) == 0 {
			continue
		}
		took++
		at := id(e.Name)
		n := j.nodes[at]
		if e.State == Ended {
			if n != nil {
				j.remove(n)
			}
			continue
		}
		if n == nil {
			n = &node{id: at, name: e.Name, odds: 1, standing: Excluded}
			j.nodes[at] = n
		}
		if n.standing <= Unconfirmed {
			j.cells[n.cell]--
		}
		n.cell, n.eased, n.age, n.standing = e.Cell, true, j.age(&e, now), Excluded
		if e.State == Ready && n.age <= j.policy.MaxAge {
			n.standing = Unconfirmed
			j.cells[n.cell]++
		}
		j.fact(n)
	}
	return took
}

// Forget drops entries that an operator names, and returns how many. While discovery can be asked only ended ones go, as
// the others are its word.
func (j *Evaluator) Forget(names []string, id func(name string) decision.NodeID) (n int) {
	for _, name := range names {
		e, known := j.book.Get(name)
		if !known || j.told && e.State != Ended {
			continue
		}
		if o := j.nodes[id(name)]; o != nil {
			j.remove(o)
		}
		n += j.book.Forget([]string{name})
	}
	return n
}

// ApplyGossip takes over what another broker was told by discovery of one node. It binds for that node and says nothing of the others:
// what was doubtful of a kept list stays so. The decision module has the word already.
func (j *Evaluator) ApplyGossip(name string, at decision.NodeID, state State, started Timestamp, now time.Duration) {
	e, known := j.book.Get(name)
	if !known {
		return
	}
	e.State, e.StartedAt, e.StateSince = state, max(e.StartedAt, started), j.moment(now)
	j.book.put(e)
	if n := j.nodes[at]; n != nil && state != Ready {
		if n.standing <= Unconfirmed {
			j.cells[n.cell]--
		}
		delete(j.nodes, at)
		delete(j.tried, n)
		delete(j.suspects, n)
		j.facts = slices.DeleteFunc(j.facts, func(f EndpointUpdate) bool { return f.ID == at })
	}
}

// remove takes a node out of use for good.
func (j *Evaluator) remove(n *node) {
	if n.standing <= Unconfirmed {
		j.cells[n.cell]--
	}
	n.standing, n.trial = Excluded, false
	j.fact(n)
	delete(j.nodes, n.id)
	delete(j.tried, n)
	delete(j.suspects, n)
}
