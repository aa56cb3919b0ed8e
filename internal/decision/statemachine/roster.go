package statemachine

import (
	"cmp"
	"slices"
)

// brokerRecord is a broker of the roster with its permit and lease.
type brokerRecord struct {
	Broker
	releasePermit      ReleasePermit
	lease              ConnectionLease
	acknowledgedPolicy uint64 // version it acknowledged last: the oldest policy whose reserve it may use
}

func (s *State) brokerPosition(slot Slot) (position int, found bool) {
	return slices.BinarySearchFunc(s.brokers, slot, func(b *brokerRecord, x Slot) int { return cmp.Compare(b.Slot, x) })
}

func (s *State) findBroker(slot Slot) *brokerRecord {
	if i, found := s.brokerPosition(slot); found {
		return s.brokers[i]
	}
	return nil
}

// brokerWithIncarnation returns a broker if its current incarnation is the one that an entry names.
func (s *State) brokerWithIncarnation(slot Slot, incarnation uint64) (*brokerRecord, error) {
	b := s.findBroker(slot)
	if b == nil {
		return nil, reject(ReasonNotFound, "broker of slot %d", slot)
	}
	if b.Incarnation != incarnation {
		return nil, reject(ReasonStale, "incarnation %d of broker %s, the present one is %d", incarnation, b.Name, b.Incarnation)
	}
	return b, nil
}

func (s *State) setBrokerStatus(b *brokerRecord, status BrokerStatus) {
	b.Status = status
	b.StatusIndex = s.index
}

func (e *RegisterBroker) apply(s *State) (uint64, error) {
	if err := e.check(s); err != nil {
		return 0, err
	}
	i, found := s.brokerPosition(e.Slot)
	if !found {
		// The broker learns its reserved connections from a state that includes this entry, so it cannot use an older policy.
		added := &brokerRecord{Broker: Broker{Slot: e.Slot, Name: e.Name}, acknowledgedPolicy: s.policyVersion}
		s.brokers = slices.Insert(s.brokers, i, added)
	}
	b := s.brokers[i]
	if e.Incarnation <= b.Incarnation {
		return 0, reject(ReasonStale, "incarnation %d of broker %s, the present one is %d", e.Incarnation, b.Name, b.Incarnation)
	}
	s.voidBrokerPermit(b)
	b.Incarnation = e.Incarnation
	b.Version = e.Version
	b.Zone = e.Zone
	b.Protocol = e.Protocol
	if b.HasServed {
		s.setBrokerStatus(b, BrokerReturning)
	} else {
		s.setBrokerStatus(b, BrokerJoining)
	}
	return 0, nil
}

// check rejects a registration that conflicts with the policy, the tier's protocol or the roster.
func (e *RegisterBroker) check(s *State) error {
	inForce := s.Policies().InForce
	switch {
	case e.Slot >= slotLimit || e.Name == "" || e.Incarnation == 0:
		return reject(ReasonInvalid, "broker %q, slot %d, incarnation %d", e.Name, e.Slot, e.Incarnation)
	case inForce != nil && e.Slot >= Slot(inForce.MaxBrokers):
		return reject(ReasonOverBudget, "the policy has floors for %d brokers, not for slot %d", inForce.MaxBrokers, e.Slot)
	case e.Protocol < s.tierProtocol:
		return reject(ReasonProtocol, "broker %s reads protocol %d, the tier is at %d", e.Name, e.Protocol, s.tierProtocol)
	}
	for _, b := range s.brokers {
		if (b.Name == e.Name) != (b.Slot == e.Slot) {
			return reject(ReasonInvalid, "slot %d is broker %s, not slot %d broker %s", b.Slot, b.Name, e.Slot, e.Name)
		}
	}
	return nil
}

func (e *MarkBrokerLost) apply(s *State) (uint64, error) {
	if err := s.checkTerm(e.Term); err != nil {
		return 0, err
	}
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	s.voidBrokerPermit(b) // this incarnation can no longer use it; the broker counts as out as it is lost
	if b.Status != BrokerLost {
		s.setBrokerStatus(b, BrokerLost)
	}
	return 0, nil
}

func (e *RemoveBroker) apply(s *State) (uint64, error) {
	i, found := s.brokerPosition(e.Slot)
	if !found {
		return 0, reject(ReasonNotFound, "broker of slot %d", e.Slot)
	}
	b := s.brokers[i]
	if b.Status != BrokerLost {
		return 0, reject(ReasonInvalid, "broker %s is not lost", b.Name)
	}
	if len(b.lease.Granted)+len(b.lease.Outstanding) > 0 {
		return 0, reject(ReasonBusy, "the lease of broker %s's units has not run out", b.Name)
	}
	s.brokers = slices.Delete(s.brokers, i, i+1)
	if r := s.release; r != nil {
		if step := r.findStep(e.Slot, NodeID{}); step != nil {
			step.State = StepFinished
			r.finishIfComplete()
		}
	}
	s.advancePolicy()
	return 0, nil
}

func (e *ReturnToService) apply(s *State) (uint64, error) {
	if e.ForNode {
		return 0, s.returnNodeToService(e.Node, e.Incarnation)
	}
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return 0, err
	}
	switch b.Status {
	case BrokerServing:
		return 0, nil
	case BrokerJoining, BrokerReturning:
	default: // a message from before the broker went out or was lost must not end its absence
		return 0, reject(ReasonStale, "broker %s is %v; it comes back under a new incarnation", b.Name, b.Status)
	}
	s.setBrokerStatus(b, BrokerServing)
	b.HasServed = true
	b.clearPermit()
	s.finishBrokerStep(b)
	return 0, nil
}
