package statemachine

import "errors"

const (
	slotLimit     = 4096    // slots are less than this
	maxEntryBytes = 4 << 20 // maximum size of an encoded entry
)

// Apply applies the encoded entry at a log index. An entry whose Result has an error changes at most the applied index and the stored
// results, or stops the state machine. The result is the same on every broker of the same program version.
func (s *State) Apply(index uint64, data []byte) Result {
	if s.stoppedBy != nil {
		return Result{Err: s.stoppedBy}
	}
	if index <= s.index {
		return Result{Err: &AlreadyAppliedError{Index: index, Applied: s.index}}
	}
	id, e, err := decodeSupported(data)
	var unknown *UnknownEntryError
	if errors.As(err, &unknown) {
		unknown.Index = index
		s.stoppedBy = unknown
		return Result{Err: unknown}
	}
	s.index = index
	switch {
	case err != nil:
		return Result{Err: err}
	case len(data) > maxEntryBytes || id.Slot >= slotLimit || id.Sequence == 0:
		return Result{Err: reject(ReasonInvalid, "slot %d, proposal %d, %d bytes", id.Slot, id.Sequence, len(data))}
	case minProtocol(e.kind()) > s.tierProtocol:
		return Result{Err: reject(ReasonProtocol, "the tier is at protocol %d", s.tierProtocol)}
	}
	return s.applyOnce(id, e)
}

// decodeSupported decodes an entry. It returns *UnknownEntryError for a RaiseProtocol above SupportedProtocol, since this program could not
// read the entries that follow it.
func decodeSupported(data []byte) (ProposalID, Entry, error) {
	id, e, err := Decode(data)
	if raise, ok := e.(*RaiseProtocol); ok && raise.Protocol > SupportedProtocol {
		err = &UnknownEntryError{Version: raise.Protocol, Kind: uint64(kindRaiseProtocol)}
	}
	return id, e, err
}

func (e *LeaderElected) apply(s *State) (uint64, error) {
	if e.Term <= s.term {
		return 0, reject(ReasonFenced, "term %d, the present one is %d", e.Term, s.term)
	}
	s.term = e.Term
	s.leader = e.Slot
	return e.Term, nil
}

// checkTerm rejects an entry whose term is not that of the current leader.
func (s *State) checkTerm(term uint64) error {
	if term != s.term || term == 0 {
		return reject(ReasonFenced, "term %d, the present one is %d", term, s.term)
	}
	return nil
}

func (e *RaiseProtocol) apply(s *State) (uint64, error) {
	for _, b := range s.brokers {
		if b.Protocol < e.Protocol {
			return 0, reject(ReasonProtocol, "broker %s reads protocol %d", b.Name, b.Protocol)
		}
	}
	s.tierProtocol = max(s.tierProtocol, e.Protocol)
	return s.tierProtocol, nil
}
