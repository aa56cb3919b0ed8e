package controlplane

// This file owns what operators ask about releases and nodes, made entries.

import (
	"fmt"
	"slices"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

func (f *Participant) wantedNode(verb string, r *Request) (statemachine.Entry, error) {
	id, err := f.nodeID(r.Node)
	if err != nil {
		return nil, err
	}
	switch verb {
	case VerbUndrain:
		return &statemachine.UndrainNode{Node: id}, nil
	case VerbNodeReturned:
		p, ok := f.state.NodePermit(id)
		if !ok {
			return nil, &InvalidRequestError{"no release has let this node go out"}
		}
		return &statemachine.ReturnToService{Incarnation: p.Number, ForNode: true, Node: id}, nil
	case VerbNodeOut:
		p, ok := f.state.NodePermit(id)
		if !ok {
			return nil, &InvalidRequestError{"no release lets this node go out now"}
		}
		return &statemachine.UsePermit{Permit: p.Number, Slot: f.o.Slot, Incarnation: f.inc, ForNode: true, Node: id}, nil
	}
	return &statemachine.DrainNode{Node: id, Reason: r.Reason}, nil
}

func (f *Participant) plan(w *ReleaseRequest) (statemachine.Entry, error) {
	if w == nil || w.To == "" {
		return nil, &InvalidRequestError{"a release names the version it leads to"}
	}
	p := &statemachine.ReleasePlan{Name: w.Name, From: w.From, To: w.To, Batches: w.Batches, MaxOut: max(1, w.MaxOut), MaxOutPerZone: w.MaxOutPerZone, MinReadyReplicas: w.MinReadyReplicas,
		PauseMS: w.PauseMS, Gates: w.Gates}
	for _, text := range w.Nodes {
		id, err := f.nodeID(text)
		if err != nil {
			return nil, err
		}
		p.Nodes = append(p.Nodes, id)
	}
	var err error
	if len(p.Nodes) == 0 && len(w.Brokers) > 0 {
		p.Slots, err = f.slots(w.Brokers)
	} else if len(p.Nodes) == 0 {
		p.Slots = f.everybody()
	}
	if len(p.Batches) == 0 {
		p.Batches = release.DefaultBatches(len(p.Slots) + len(p.Nodes))
	}
	return p, err
}

// everybody is all brokers in turn by zones; those that vote come last, and of these the one that leads.
func (f *Participant) everybody() []statemachine.Slot {
	slots := release.OrderByZone(f.state.Brokers())
	rank := func(s statemachine.Slot) int {
		b, _ := f.state.Broker(s)
		if b.Name == f.name {
			return 2
		}
		if slices.ContainsFunc(f.o.Voters, func(v Voter) bool { return v.Name == b.Name }) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(slots, func(a, b statemachine.Slot) int { return rank(a) - rank(b) })
	return slots
}

// slots finds brokers by their names.
func (f *Participant) slots(names []string) (all []statemachine.Slot, err error) {
	roster := f.state.Brokers()
	for _, name := range names {
		i := slices.IndexFunc(roster, func(b statemachine.Broker) bool { return b.Name == name })
		if i < 0 {
			return nil, &InvalidRequestError{fmt.Sprintf("no broker %.80q is known", name)}
		}
		all = append(all, roster[i].Slot)
	}
	return all, nil
}
