package statemachine

import "slices"

// clone is a copy by which the models go on from one state in several ways. Rows and plans are never changed in place.
func (s *State) clone() *State {
	c := *s
	c.brokers, c.nodes, c.sessions = copies(s.brokers), copies(s.nodes), copies(s.sessions)
	c.policies = slices.Clone(s.policies)
	for _, n := range c.nodes {
		n.drain.Acknowledged = slices.Clone(n.drain.Acknowledged)
	}
	for _, x := range c.sessions {
		x.Past = slices.Clone(x.Past)
	}
	if s.release != nil {
		r := *s.release
		r.Steps = slices.Clone(r.Steps)
		c.release = &r
	}
	return &c
}

func copies[T any](l []*T) []*T {
	c := make([]*T, len(l))
	for i, p := range l {
		x := *p
		c[i] = &x
	}
	return c
}

// modelPlants are faults put into the machine, which the model must find.
var modelPlants = map[string]plant{
	"limit not kept": func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*IssuePermit); ok && s.release != nil {
			s.release.MaxOut = 99
			defer func() { s.release.MaxOut = modelMost }()
		}
		return apply()
	},
	"freed by silence": func(s *State, e Entry, apply func() Result) Result {
		r := apply()
		if l, ok := e.(*MarkBrokerLost); ok && r.Err == nil {
			s.member(l.Slot).Status = BrokerServing
		}
		return r
	},
	"used twice": func(s *State, e Entry, apply func() Result) Result {
		if u, ok := e.(*UsePermit); ok {
			if m := s.member(u.Slot); m.pass.Used {
				m.pass.Used, m.Status = false, BrokerServing
			}
		}
		return apply()
	},
	"halt leaves permits": func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*HaltRelease); ok {
			held := map[Slot]ReleasePermit{}
			for _, m := range s.brokers {
				held[m.Slot] = m.pass
			}
			r := apply()
			for _, m := range s.brokers {
				m.pass, m.Permit = held[m.Slot], held[m.Slot].Number
			}
			return r
		}
		if _, ok := e.(*UsePermit); ok && s.release.State == ReleaseHalted {
			s.release.State = ReleaseRunning
			defer func() { s.release.State = ReleaseHalted }()
		}
		return apply()
	},
	"old leaders heard": func(s *State, e Entry, apply func() Result) Result {
		if p, ok := e.(*IssuePermit); ok {
			term := s.term
			s.term = p.Term
			defer func() { s.term = term }()
		}
		return apply()
	},
	"late return taken": func(s *State, e Entry, apply func() Result) Result {
		if x, ok := e.(*ReturnToService); ok {
			if m := s.member(x.Slot); m != nil && m.Status == BrokerOut && m.Incarnation == x.Incarnation {
				m.Status = BrokerReturning
			}
		}
		return apply()
	},
}

// leasePlants are faults put into the machine or into those who hold and grant.
var leasePlants = map[string]*leasePlant{
	"lease counted from the answer": {fromAnswer: true},
	"expired by silence":            {impatient: true},
	"acknowledged before it was so": {early: true},
	"budget not kept": {apply: func(s *State, e Entry, apply func() Result) Result {
		if _, ok := e.(*GrantLease); ok && s.node(at(1)) != nil {
			units := s.node(at(1)).units
			s.node(at(1)).units = 0
			r := apply()
			s.node(at(1)).units = units
			return r
		}
		return apply()
	}},
}
