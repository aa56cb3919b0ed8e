package controlplane

import (
	"fmt"
	"slices"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// ReleaseRequest describes a release that an operator asks for.
type ReleaseRequest struct {
	Name             string   `json:"name"`
	From             string   `json:"from"`
	To               string   `json:"to"`
	Brokers          []string `json:"brokers,omitempty"` // names; if Nodes is empty too: all brokers, voters last
	Nodes            []string `json:"nodes,omitempty"`
	Batches          []uint32 `json:"batches,omitempty"`
	MaxOut           uint32   `json:"most"`
	MaxOutPerZone    uint32   `json:"most_zone,omitempty"`
	MinReadyReplicas uint32   `json:"least,omitempty"`
	PauseMS          uint64   `json:"pause_ms,omitempty"`
	Gates            string   `json:"gates,omitempty"`
}

// releasePlan returns the log entry of a release request.
func (p *Participant) releasePlan(request *ReleaseRequest) (statemachine.Entry, error) {
	if request == nil || request.To == "" {
		return nil, &InvalidRequestError{"the release does not name the version to install"}
	}
	plan := &statemachine.ReleasePlan{
		Name:             request.Name,
		From:             request.From,
		To:               request.To,
		Batches:          request.Batches,
		MaxOut:           max(1, request.MaxOut),
		MaxOutPerZone:    request.MaxOutPerZone,
		MinReadyReplicas: request.MinReadyReplicas,
		PauseMS:          request.PauseMS,
		Gates:            request.Gates,
	}
	for _, text := range request.Nodes {
		id, err := p.nodeID(text)
		if err != nil {
			return nil, err
		}
		plan.Nodes = append(plan.Nodes, id)
	}
	if len(plan.Nodes) == 0 {
		slots, err := p.releaseSlots(request.Brokers)
		if err != nil {
			return nil, err
		}
		plan.Slots = slots
	}
	if len(plan.Batches) == 0 {
		plan.Batches = release.DefaultBatches(len(plan.Slots) + len(plan.Nodes))
	}
	return plan, nil
}

// releaseSlots returns the slots of the named brokers, or of all brokers if none are named.
func (p *Participant) releaseSlots(names []string) ([]statemachine.Slot, error) {
	if len(names) > 0 {
		return p.slotsByName(names)
	}
	return p.allSlots(), nil
}

// allSlots returns the slots of all brokers, with the zones interleaved. Voters come last, and the leader last of these.
func (p *Participant) allSlots() []statemachine.Slot {
	const (
		follower = iota
		voter
		leader
	)
	rank := func(slot statemachine.Slot) int {
		broker, _ := p.state.Broker(slot)
		switch {
		case broker.Name == p.name:
			return leader
		case p.voterIndex(broker.Name) >= 0:
			return voter
		}
		return follower
	}
	slots := release.InterleaveZones(p.state.Brokers())
	slices.SortStableFunc(slots, func(a, b statemachine.Slot) int { return rank(a) - rank(b) })
	return slots
}

func (p *Participant) slotsByName(names []string) ([]statemachine.Slot, error) {
	var slots []statemachine.Slot
	brokers := p.state.Brokers()
	for _, name := range names {
		i := slices.IndexFunc(brokers, func(b statemachine.Broker) bool { return b.Name == name })
		if i < 0 {
			return nil, &InvalidRequestError{fmt.Sprintf("broker %.80q is not registered in the tier", name)}
		}
		slots = append(slots, brokers[i].Slot)
	}
	return slots, nil
}
