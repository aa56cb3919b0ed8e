package statemachine

import "slices"

// clone returns a copy, so that the models can branch from one state. Rows and plans are shared, as they are never changed in place.
func (s *State) clone() *State {
	c := *s
	c.brokers, c.nodes, c.sessions = cloneAll(s.brokers), cloneAll(s.nodes), cloneAll(s.sessions)
	c.policies = slices.Clone(s.policies)
	for _, n := range c.nodes {
		n.drain.Acknowledged = slices.Clone(n.drain.Acknowledged)
	}
	for _, x := range c.sessions {
		x.Results = slices.Clone(x.Results)
	}
	if s.release != nil {
		r := *s.release
		r.Steps = slices.Clone(r.Steps)
		c.release = &r
	}
	return &c
}

func cloneAll[T any](l []*T) []*T {
	c := make([]*T, len(l))
	for i, p := range l {
		x := *p
		c[i] = &x
	}
	return c
}

// releaseFaults are faults injected into the state machine, which the model must find.
var releaseFaults = map[string]injectedFault{
	"limit not kept": func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*IssuePermit); ok && s.release != nil {
			s.release.MaxOut = 99
			defer func() { s.release.MaxOut = modelMaxOut }()
		}
		return apply()
	},
	"lost broker counts as serving": func(s *State, e Entry, apply func() Result) Result {
		r := apply()
		if l, ok := e.(*MarkBrokerLost); ok && r.Err == nil {
			s.findBroker(l.Slot).Status = BrokerServing
		}
		return r
	},
	"used twice": func(s *State, e Entry, apply func() Result) Result {
		if u, ok := e.(*UsePermit); ok {
			if m := s.findBroker(u.Slot); m.releasePermit.Used {
				m.releasePermit.Used, m.Status = false, BrokerServing
			}
		}
		return apply()
	},
	"halt leaves permits": func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*HaltRelease); ok {
			held := map[Slot]ReleasePermit{}
			for _, m := range s.brokers {
				held[m.Slot] = m.releasePermit
			}
			r := apply()
			for _, m := range s.brokers {
				m.releasePermit, m.Permit = held[m.Slot], held[m.Slot].Number
			}
			return r
		}
		if _, ok := e.(*UsePermit); ok && s.release.State == ReleaseHalted {
			s.release.State = ReleaseRunning
			defer func() { s.release.State = ReleaseHalted }()
		}
		return apply()
	},
	"old leaders accepted": func(s *State, e Entry, apply func() Result) Result {
		if p, ok := e.(*IssuePermit); ok {
			term := s.term
			s.term = p.Term
			defer func() { s.term = term }()
		}
		return apply()
	},
	"late return accepted": func(s *State, e Entry, apply func() Result) Result {
		if x, ok := e.(*ReturnToService); ok {
			if m := s.findBroker(x.Slot); m != nil && m.Status == BrokerOut && m.Incarnation == x.Incarnation {
				m.Status = BrokerReturning
			}
		}
		return apply()
	},
}

// leaseModelFaults are faults injected into the state machine, the holders or the granters, which the model must find.
var leaseModelFaults = map[string]*leaseFault{
	"lease counted from the answer": {leaseFromAnswer: true},
	"lease expired early":           {expiresEarly: true},
	"acknowledged before kept":      {acknowledgesEarly: true},
	"budget not kept": {apply: func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*GrantLease); ok && s.findNode(testNode(1)) != nil {
			actual := s.findNode(testNode(1)).leased
			s.findNode(testNode(1)).leased = 0
			r := apply()
			s.findNode(testNode(1)).leased = actual
			return r
		}
		return apply()
	}},
}
