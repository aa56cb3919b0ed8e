package statemachine

import (
	"cmp"
	"errors"
	"slices"
)

// maxSessionResults is how many results of a slot's proposals are kept. A slot must not have more proposals in flight.
const maxSessionResults = 32

// session holds the results of a slot's recent proposals, so that each takes effect once.
type session struct {
	Slot             Slot
	Incarnation      uint64
	ForgottenThrough uint64           // results up to this sequence number are no longer kept
	Results          []proposalResult // sorted by sequence number
}

// proposalResult is a Result in the form in which it is stored.
type proposalResult struct {
	Sequence uint64
	Number   uint64
	Reason   Reason // 0: accepted
	Detail   string
}

func compareSequence(r proposalResult, sequence uint64) int { return cmp.Compare(r.Sequence, sequence) }

// applyOnce applies a proposal, or returns the stored result if it was applied before. A proposer whose connection breaks before the answer
// sends the proposal again; without this check a permit or a grant would be issued twice.
func (s *State) applyOnce(id ProposalID, e Entry) Result {
	x := s.sessionForProposal(id)
	if id.Incarnation < x.Incarnation || id.Sequence <= x.ForgottenThrough {
		err := reject(ReasonForgotten, "proposal %d of slot %d, incarnation %d", id.Sequence, id.Slot, id.Incarnation)
		return Result{Duplicate: true, Err: err}
	}
	position, found := slices.BinarySearchFunc(x.Results, id.Sequence, compareSequence)
	if found {
		return x.Results[position].asDuplicate()
	}
	number, err := e.apply(s)
	x.addResult(position, id.Sequence, number, err)
	return Result{Number: number, Err: err}
}

// sessionForProposal returns the session of a proposal's slot. It begins an empty one for a new slot or a newer incarnation.
func (s *State) sessionForProposal(id ProposalID) *session {
	position, found := slices.BinarySearchFunc(s.sessions, id.Slot, func(x *session, slot Slot) int { return cmp.Compare(x.Slot, slot) })
	if !found {
		s.sessions = slices.Insert(s.sessions, position, &session{Slot: id.Slot, Incarnation: id.Incarnation})
	}
	x := s.sessions[position]
	if id.Incarnation > x.Incarnation {
		*x = session{Slot: id.Slot, Incarnation: id.Incarnation}
	}
	return x
}

// asDuplicate returns the stored result for a repeated proposal.
func (r *proposalResult) asDuplicate() Result {
	again := Result{Number: r.Number, Duplicate: true}
	if r.Reason > 0 {
		again.Err = &RejectedError{Reason: r.Reason, Detail: r.Detail}
	}
	return again
}

// addResult stores a result at its position, and drops the oldest result beyond maxSessionResults.
func (x *session) addResult(position int, sequence, number uint64, err error) {
	r := proposalResult{Sequence: sequence, Number: number}
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		r.Reason = rejected.Reason
		r.Detail = rejected.Detail
	}
	x.Results = slices.Insert(x.Results, position, r)
	if len(x.Results) > maxSessionResults {
		x.ForgottenThrough = x.Results[0].Sequence
		x.Results = slices.Delete(x.Results, 0, 1)
	}
}
