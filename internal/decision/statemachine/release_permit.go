package statemachine

import "slices"

// outCount is how many targets are out in the tier, and in one zone.
type outCount struct {
	tier uint32
	zone uint32
}

func (c *outCount) add(inZone bool) {
	c.tier++
	if inZone {
		c.zone++
	}
}

// brokersOut counts the brokers that have served and do not serve now, with or without a permit, and those that hold a permit.
func (s *State) brokersOut(zone string) (out outCount) {
	for _, b := range s.brokers {
		if b.HasServed && b.Status != BrokerServing || b.releasePermit.Number > 0 {
			out.add(b.Zone == zone)
		}
	}
	return out
}

// checkOutLimits rejects a permit beyond the limits on how many targets are out at once. It is checked here so that a leader with a stale
// view, or two that both believe they lead, cannot take out more targets than the rest can make up for. Every target that is out counts,
// whatever the cause.
func (s *State) checkOutLimits(r *Release, out outCount, zone string) error {
	maxInZone := r.MaxOutPerZone
	if maxInZone == 0 {
		maxInZone = r.MaxOut
	}
	if out.tier >= r.MaxOut {
		return reject(ReasonTierLimit, "%d of %d", out.tier, r.MaxOut)
	}
	if out.zone >= maxInZone {
		return reject(ReasonZoneLimit, "%d of %d in zone %s", out.zone, maxInZone, zone)
	}
	return nil
}

func (e *IssuePermit) apply(s *State) (uint64, error) {
	step, err := s.stepForPermit(e)
	if err != nil {
		return 0, err
	}
	r := s.release
	permit := ReleasePermit{
		Number:      s.index,
		Release:     r.Number,
		ForNode:     e.ForNode,
		Slot:        e.Slot,
		Incarnation: e.Incarnation,
		Node:        e.Node,
	}
	if e.ForNode {
		s.issueNodePermit(s.findNode(e.Node), permit, r.Name)
	} else {
		b := s.findBroker(e.Slot)
		b.releasePermit = permit
		b.Permit = permit.Number
	}
	step.State = StepPermitted
	r.ChangedIndex = s.index
	return s.index, nil
}

// CheckPermit returns the error with which a permit would be rejected now, or nil if it would be issued. It changes nothing.
func (s *State) CheckPermit(e *IssuePermit) error {
	_, err := s.stepForPermit(e)
	return err
}

// stepForPermit returns the step for which a permit is to be issued, or the reason why it may not be.
func (s *State) stepForPermit(e *IssuePermit) (*ReleaseStep, error) {
	if err := s.checkTerm(e.Term); err != nil {
		return nil, err
	}
	r, err := s.runningRelease(e.Release)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(r.Steps, func(x ReleaseStep) bool {
		if r.ForNodes != e.ForNode {
			return false
		}
		return e.ForNode && x.Node == e.Node || !e.ForNode && x.Slot == e.Slot
	})
	if i < 0 || uint32(i) >= r.Batches[r.OpenBatch] {
		return nil, reject(ReasonWrongState, "no such target in the open batches")
	}
	step := &r.Steps[i]
	if step.State != StepPending {
		return nil, reject(ReasonAlreadyUsed, "its step is %v", step.State)
	}
	if e.ForNode {
		return step, s.checkNodePermit(r, e.Node)
	}
	return step, s.checkBrokerPermit(r, e)
}

func (s *State) checkBrokerPermit(r *Release, e *IssuePermit) error {
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	if err != nil {
		return err
	}
	if b.Status != BrokerServing {
		return reject(ReasonWrongState, "broker %s is %v", b.Name, b.Status)
	}
	return s.checkOutLimits(r, s.brokersOut(b.Zone), b.Zone)
}

func (e *UsePermit) apply(s *State) (uint64, error) {
	if e.ForNode {
		return e.Permit, s.useNodePermit(e.Node, e.Permit)
	}
	b, err := s.brokerWithIncarnation(e.Slot, e.Incarnation)
	switch {
	case err != nil:
		return 0, err
	case b.releasePermit.Number == 0 || b.releasePermit.Number != e.Permit:
		return 0, reject(ReasonNotFound, "permit %d of broker %s", e.Permit, b.Name)
	case b.releasePermit.Used:
		return 0, reject(ReasonAlreadyUsed, "permit %d of broker %s", e.Permit, b.Name)
	}
	r, err := s.runningRelease(b.releasePermit.Release)
	if err != nil {
		return 0, err
	}
	b.releasePermit.Used = true
	s.setBrokerStatus(b, BrokerOut)
	s.markStepOut(r, b.Slot, NodeID{})
	return e.Permit, nil
}

func (b *brokerRecord) clearPermit() {
	b.releasePermit = ReleasePermit{}
	b.Permit = 0
}

// voidBrokerPermit withdraws a broker's unused permit. It is safe at any time, as the holder may not go out before its UsePermit is applied.
func (s *State) voidBrokerPermit(b *brokerRecord) {
	if b.releasePermit.Number == 0 || b.releasePermit.Used {
		return
	}
	s.returnStepToPending(b.Slot, NodeID{})
	b.clearPermit()
}

// voidAllPermits withdraws all unused permits.
func (s *State) voidAllPermits() {
	for _, b := range s.brokers {
		s.voidBrokerPermit(b)
	}
	for _, n := range s.nodes {
		s.voidNodePermit(n)
	}
}
