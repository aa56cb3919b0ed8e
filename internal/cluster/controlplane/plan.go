package controlplane

// This file owns what operators ask about releases and nodes, made entries.

import (
	"fmt"
	"slices"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

func (p *Participant) nodeEntryFor(verb string, r *Request) (statemachine.Entry, error) {
	id, err := p.nodeID(r.Node)
	if err != nil {
		return nil, err
	}
	switch verb {
	case VerbUndrain:
		return &statemachine.UndrainNode{Node: id}, nil
	case VerbNodeReturned:
		permit, ok := p.state.NodePermit(id)
		if !ok {
			return nil, &InvalidRequestError{"no release has let this node go out"}
		}
		return &statemachine.ReturnToService{Incarnation: permit.Number, ForNode: true, Node: id}, nil
	case VerbNodeOut:
		permit, ok := p.state.NodePermit(id)
		if !ok {
			return nil, &InvalidRequestError{"no release lets this node go out now"}
		}
		return &statemachine.UsePermit{Permit: permit.Number, Slot: p.options.Slot, Incarnation: p.incarnation, ForNode: true, Node: id}, nil
	}
	return &statemachine.DrainNode{Node: id, Reason: r.Reason}, nil
}

func (p *Participant) releasePlan(w *ReleaseRequest) (statemachine.Entry, error) {
	if w == nil || w.To == "" {
		return nil, &InvalidRequestError{"a release names the version it leads to"}
	}
	plan := &statemachine.ReleasePlan{Name: w.Name, From: w.From, To: w.To, Batches: w.Batches, MaxOut: max(1, w.MaxOut), MaxOutPerZone: w.MaxOutPerZone, MinReadyReplicas: w.MinReadyReplicas,
		PauseMS: w.PauseMS, Gates: w.Gates}
	for _, text := range w.Nodes {
		id, err := p.nodeID(text)
		if err != nil {
			return nil, err
		}
		plan.Nodes = append(plan.Nodes, id)
	}
	var err error
	if len(plan.Nodes) == 0 && len(w.Brokers) > 0 {
		plan.Slots, err = p.slotsByName(w.Brokers)
	} else if len(plan.Nodes) == 0 {
		plan.Slots = p.allSlots()
	}
	if len(plan.Batches) == 0 {
		plan.Batches = release.Batches(len(plan.Slots) + len(plan.Nodes))
	}
	return plan, err
}

// allSlots is all brokers in turn by zones; those that vote come last, and of these the one that leads.
func (p *Participant) allSlots() []statemachine.Slot {
	slots := release.Order(p.state.Brokers())
	rank := func(s statemachine.Slot) int {
		b, _ := p.state.Broker(s)
		if b.Name == p.name {
			return 2
		}
		if slices.ContainsFunc(p.options.Voters, func(v Voter) bool { return v.Name == b.Name }) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(slots, func(a, b statemachine.Slot) int { return rank(a) - rank(b) })
	return slots
}

// slotsByName finds brokers by their names.
func (p *Participant) slotsByName(names []string) (all []statemachine.Slot, err error) {
	roster := p.state.Brokers()
	for _, name := range names {
		i := slices.IndexFunc(roster, func(b statemachine.Broker) bool { return b.Name == name })
		if i < 0 {
			return nil, &InvalidRequestError{fmt.Sprintf("no broker %.80q is known", name)}
		}
		all = append(all, roster[i].Slot)
	}
	return all, nil
}
