package statemachine

import "errors"

const (
	slotLimit     = 4096    // slots are below this
	maxEntryBytes = 4 << 20 // of one entry
)

// Apply takes the entry of an index. What it returns as an error has changed nothing but the index; it is the same on every broker.
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

// decodeSupported reads an entry. One that raises the tier's protocol beyond this program's is unknown to it, since what
// follows can't be read here.
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

// checkTerm rejects what another leader than the present one proposed.
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
