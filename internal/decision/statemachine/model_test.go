package statemachine

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// A model of three brokers under a release over the real machine. In between anything may happen in any order: proposals come
// late or twice, processes are killed, stopped and started, leaders change and the old one goes on for a while.

// modelMsg is a proposal on its way.
type modelMsg struct {
	e    Entry
	seq  uint64
	from int // of a Use: the process that waits for what becomes of it
}

type modelProc struct {
	incarnation uint64
	up, stopped bool
	mayGo       bool // its Use was applied while it was stopped
	used        bool // has proposed Use
}

type model struct {
	s      *State
	procs  [3]modelProc
	flight []modelMsg
	seq    uint64
	term   uint64
	faults int
	// What the model knows by itself, from results alone.
	out      [3]bool   // lost, went or came back under a new incarnation, and has not returned
	reserved [3]uint64 // permit in force
	voided   []uint64  // permits that a halt has ended
	accepted []uint64  // permits of which a Use was accepted
	went     [3]int
	why      string
}

const modelMost, modelFaults = 1, 3

func (m *model) clone() *model {
	c := *m
	c.s = m.s.clone()
	c.flight, c.voided, c.accepted = slices.Clone(m.flight), slices.Clone(m.voided), slices.Clone(m.accepted)
	return &c
}

func (m *model) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.Write(m.s.Snapshot())
	fmt.Fprint(&h, m.procs, m.seq, m.term, m.faults, m.out, m.reserved, m.voided, m.accepted, m.went)
	for _, x := range m.flight {
		fmt.Fprintf(&h, "%T %v %d;", x.e, x.e, x.seq)
	}
	return h.Sum64()
}

func (m *model) send(e Entry, from int) {
	m.seq++
	m.flight = append(m.flight, modelMsg{e, m.seq, from})
}

func (m *model) broken(format string, args ...any) {
	if m.why == "" {
		m.why = fmt.Sprintf(format, args...)
	}
}

// plant is a fault put in on purpose: it gets the machine, the entry and what applies it.
type plant func(s *State, e Entry, apply func() Result) Result

// deliver applies one proposal and holds the result against what the model knows.
func (m *model) deliver(k int, keep bool, p plant) {
	x := m.flight[k]
	if !keep {
		m.flight = slices.Delete(m.flight, k, k+1)
	}
	r := p(m.s, x.e, func() Result { return m.s.Apply(m.s.AppliedIndex()+1, Encode(ProposalID{9, 1, x.seq}, x.e)) })
	if r.Err == nil && !r.Duplicate {
		m.done(x.e, r.Number)
	}
	if _, ok := x.e.(*UsePermit); ok && r.Err == nil {
		m.procs[x.from].mayGo = m.procs[x.from].mayGo || m.procs[x.from].incarnation == x.e.(*UsePermit).Incarnation
		m.goes(x.from)
	}
	for i := range m.procs {
		if b, _ := m.s.Broker(Slot(i)); m.out[i] && b.Status == BrokerServing {
			m.broken("broker %d counts as in, and nobody has said that it returned", i)
		}
	}
}

func (m *model) done(e Entry, number uint64) {
	switch e := e.(type) {
	case *IssuePermit:
		n := 0
		for i := range m.procs {
			if m.out[i] || m.reserved[i] > 0 {
				n++
			}
		}
		if n >= modelMost {
			m.broken("a permit with %d out", n)
		}
		if e.Term != m.term {
			m.broken("a permit of the leader of term %d in term %d", e.Term, m.term)
		}
		m.reserved[e.Slot] = number
	case *UsePermit:
		if slices.Contains(m.accepted, e.Permit) {
			m.broken("permit %d was used twice", e.Permit)
		}
		if slices.Contains(m.voided, e.Permit) {
			m.broken("permit %d was used after the halt", e.Permit)
		}
		m.accepted = append(m.accepted, e.Permit)
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *MarkBrokerLost:
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *RegisterBroker:
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *ReturnToService:
		if b, _ := m.s.Broker(e.Slot); e.Incarnation > 1 && b.Incarnation == e.Incarnation {
			m.out[e.Slot] = false
		}
	case *HaltRelease:
		for i, p := range m.reserved {
			if p > 0 {
				m.voided, m.reserved[i] = append(m.voided, p), 0
			}
		}
	case *LeaderElected:
		m.term = e.Term
	}
}

// goes has a process go that saw its Use applied, if it runs.
func (m *model) goes(i int) {
	p := &m.procs[i]
	if !p.up || p.stopped || !p.mayGo {
		return
	}
	p.up, p.mayGo = false, false
	if m.went[i]++; m.went[i] > 1 {
		m.broken("broker %d went twice in a release", i)
	}
}

// next are all states that one thing happening leads to.
func (m *model) next(p plant, each func(*model)) {
	do := func(what func(*model)) {
		c := m.clone()
		what(c)
		each(c)
	}
	fault := func(what func(*model)) {
		if m.faults < modelFaults {
			do(func(c *model) { c.faults++; what(c) })
		}
	}
	for k := range m.flight {
		do(func(c *model) { c.deliver(k, false, p) })
		fault(func(c *model) { c.deliver(k, true, p) })
	}
	r, _ := m.s.Release()
	send := func(e Entry, from int) {
		if len(m.flight) < 3 {
			do(func(c *model) { c.send(e, from) })
		}
	}
	for i := range m.procs {
		x, slot := m.procs[i], Slot(i)
		b, _ := m.s.Broker(slot)
		if b.Status == BrokerServing {
			send(&IssuePermit{Release: r.Number, Term: m.term, Slot: slot, Incarnation: b.Incarnation}, i)
		}
		pass, ok := m.s.BrokerPermit(slot)
		switch {
		case !x.up:
			if b.Status != BrokerLost {
				send(&MarkBrokerLost{slot, b.Incarnation, m.term}, i)
			}
			if x.incarnation == b.Incarnation { // starts
				do(func(c *model) {
					c.procs[i] = modelProc{incarnation: x.incarnation + 1, up: true}
					c.send(&RegisterBroker{slot, b.Name, x.incarnation + 1, "2", "z", 1}, i)
				})
			}
		case x.stopped:
			if b.Status != BrokerLost {
				send(&MarkBrokerLost{slot, b.Incarnation, m.term}, i)
			}
			do(func(c *model) { c.procs[i].stopped = false; c.goes(i) })
		default:
			if b.Status == BrokerReturning && b.Incarnation == x.incarnation {
				send(&ReturnToService{Slot: slot, Incarnation: x.incarnation}, i)
			}
			if ok && pass.Incarnation == x.incarnation && !x.used { // the second is the same proposal under another number
				do(func(c *model) {
					c.procs[i].used = true
					c.send(&UsePermit{Permit: pass.Number, Slot: slot, Incarnation: x.incarnation}, i)
					c.send(&UsePermit{Permit: pass.Number, Slot: slot, Incarnation: x.incarnation}, i)
				})
			}
			fault(func(c *model) { c.procs[i].up = false })
			fault(func(c *model) { c.procs[i].stopped = true })
		}
	}
	if r.State == ReleaseRunning {
		send(&HaltRelease{r.Number, ""}, 0)
	}
	fault(func(c *model) { c.send(&LeaderElected{1, c.term + 1}, 0) })
}
