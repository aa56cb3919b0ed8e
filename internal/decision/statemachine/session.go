package statemachine

import (
	"cmp"
	"errors"
	"slices"
)

const (
	remember = 32      // how many results of a slot's proposals are kept: no more of them may be on their way at once
	mostSlot = 4096    // slots are below this
	mostSize = 4 << 20 // bytes of an entry
)

// session is what a slot's proposals came to, so that each takes effect once.
type session struct {
	Slot        Slot
	Incarnation uint64
	Forgotten   uint64 // proposals up to this one are too old to tell
	Past        []past // by Seq
}

type past struct {
	Seq    uint64
	Number uint64
	Reason Reason // 0: it was done
	Detail string
}

// Apply takes the entry of an index. What it returns as an error has changed nothing; it is the same on every broker.
func (s *State) Apply(index uint64, data []byte) Result {
	if s.stopped != nil {
		return Result{Err: s.stopped}
	}
	if index <= s.index {
		return Result{Err: &AlreadyAppliedError{index, s.index}}
	}
	id, e, err := Decode(data)
	if g, ok := e.(*RaiseProtocol); ok && g.Protocol > SupportedProtocol {
		err = &UnknownEntryError{Version: g.Protocol, Kind: uint64(kGate)} // what follows it can't be read here
	}
	var u *UnknownEntryError
	if errors.As(err, &u) {
		u.Index = index
		s.stopped = u
		return Result{Err: u}
	}
	s.index = index
	switch {
	case err != nil:
		return Result{Err: err}
	case len(data) > mostSize || id.Slot >= mostSlot || id.Sequence == 0:
		return Result{Err: refuse(ReasonInvalid, "slot %d, proposal %d, %d bytes", id.Slot, id.Sequence, len(data))}
	case since(e.kind()) > s.gate:
		return Result{Err: refuse(ReasonProtocol, "the tier is at protocol %d", s.gate)}
	}
	return s.once(id, e)
}

// once applies a proposal that was not applied before. Danger: a link breaks between a proposal and its answer, it is sent again,
// and a permit is given or a grant numbered twice.
func (s *State) once(id ProposalID, e Entry) (r Result) {
	i, ok := slices.BinarySearchFunc(s.sessions, id.Slot, func(x *session, slot Slot) int { return cmp.Compare(x.Slot, slot) })
	if !ok {
		s.sessions = slices.Insert(s.sessions, i, &session{Slot: id.Slot, Incarnation: id.Incarnation})
	}
	x := s.sessions[i]
	if id.Incarnation > x.Incarnation {
		*x = session{Slot: id.Slot, Incarnation: id.Incarnation}
	}
	if id.Incarnation < x.Incarnation || id.Sequence <= x.Forgotten {
		return Result{Duplicate: true, Err: refuse(ReasonForgotten, "proposal %d of slot %d, incarnation %d", id.Sequence, id.Slot, id.Incarnation)}
	}
	at, ok := slices.BinarySearchFunc(x.Past, id.Sequence, func(p past, seq uint64) int { return cmp.Compare(p.Seq, seq) })
	if ok {
		p := x.Past[at]
		if r = (Result{Number: p.Number, Duplicate: true}); p.Reason > 0 {
			r.Err = &RejectedError{p.Reason, p.Detail}
		}
		return r
	}
	r.Number, r.Err = e.apply(s)
	p := past{Seq: id.Sequence, Number: r.Number}
	var no *RejectedError
	if errors.As(r.Err, &no) {
		p.Reason, p.Detail = no.Reason, no.Detail
	}
	x.Past = slices.Insert(x.Past, at, p)
	if len(x.Past) > remember {
		x.Forgotten = x.Past[0].Seq
		x.Past = slices.Delete(x.Past, 0, 1)
	}
	return r
}

func (e *LeaderElected) apply(s *State) (uint64, error) {
	if e.Term <= s.term {
		return 0, refuse(ReasonFenced, "term %d, the present one is %d", e.Term, s.term)
	}
	s.term, s.leader = e.Term, e.Slot
	return e.Term, nil
}

func (s *State) fenced(term uint64) error {
	if term != s.term || term == 0 {
		return refuse(ReasonFenced, "term %d, the present one is %d", term, s.term)
	}
	return nil
}

func (e *RaiseProtocol) apply(s *State) (uint64, error) {
	for _, m := range s.brokers {
		if m.Protocol < e.Protocol {
			return 0, refuse(ReasonProtocol, "broker %s reads protocol %d", m.Name, m.Protocol)
		}
	}
	s.gate = max(s.gate, e.Protocol)
	return s.gate, nil
}
