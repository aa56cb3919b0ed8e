package statemachine

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// A model of a release of three brokers over the real state machine. Events occur in any order: proposals arrive late or twice, processes
// are killed, suspended and started, leaders change and the old one continues for a while.

// modelMessage is a proposal in flight.
type modelMessage struct {
	entry    Entry
	sequence uint64
	from     int // for UsePermit: the process that waits for the result
}

type modelProcess struct {
	incarnation uint64
	up, stopped bool
	mayLeave    bool // its UsePermit was applied, possibly while it was suspended
	proposedUse bool // it has proposed UsePermit
}

type releaseModel struct {
	state     *State
	processes [3]modelProcess
	inFlight  []modelMessage
	sequence  uint64
	term      uint64
	faults    int
	// What the model derives from results, independently of the state machine.
	out       [3]bool   // lost, went out or registered again, and has not returned to service
	reserved  [3]uint64 // unused permit; 0: none
	voided    []uint64  // permits that a halt has voided
	accepted  []uint64  // permits whose UsePermit was accepted
	leftCount [3]int
	violation string
}

const modelMaxOut, modelMaxFaults = 1, 3

func (m *releaseModel) clone() *releaseModel {
	c := *m
	c.state = m.state.clone()
	c.inFlight, c.voided, c.accepted = slices.Clone(m.inFlight), slices.Clone(m.voided), slices.Clone(m.accepted)
	return &c
}

func (m *releaseModel) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.Write(m.state.Snapshot())
	fmt.Fprint(&h, m.processes, m.sequence, m.term, m.faults, m.out, m.reserved, m.voided, m.accepted, m.leftCount)
	for _, x := range m.inFlight {
		fmt.Fprintf(&h, "%T %v %d;", x.entry, x.entry, x.sequence)
	}
	return h.Sum64()
}

func (m *releaseModel) send(e Entry, from int) {
	m.sequence++
	m.inFlight = append(m.inFlight, modelMessage{e, m.sequence, from})
}

func (m *releaseModel) violated(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// injectedFault wraps the application of an entry with a fault. It gets the state machine, the entry, and the function that applies it.
type injectedFault func(s *State, e Entry, apply func() Result) Result

// deliver applies one proposal and checks the result against what the model knows.
func (m *releaseModel) deliver(k int, duplicate bool, injected injectedFault) {
	x := m.inFlight[k]
	if !duplicate {
		m.inFlight = slices.Delete(m.inFlight, k, k+1)
	}
	r := injected(m.state, x.entry, func() Result {
		return m.state.Apply(m.state.AppliedIndex()+1, Encode(ProposalID{9, 1, x.sequence}, x.entry))
	})
	if r.Err == nil && !r.Duplicate {
		m.recordAccepted(x.entry, r.Number)
	}
	if _, ok := x.entry.(*UsePermit); ok && r.Err == nil {
		m.processes[x.from].mayLeave = m.processes[x.from].mayLeave || m.processes[x.from].incarnation == x.entry.(*UsePermit).Incarnation
		m.leave(x.from)
	}
	for i := range m.processes {
		if b, _ := m.state.Broker(Slot(i)); m.out[i] && b.Status == BrokerServing {
			m.violated("broker %d counts as serving but has not returned to service", i)
		}
	}
}

func (m *releaseModel) recordAccepted(e Entry, number uint64) {
	switch e := e.(type) {
	case *IssuePermit:
		n := 0
		for i := range m.processes {
			if m.out[i] || m.reserved[i] > 0 {
				n++
			}
		}
		if n >= modelMaxOut {
			m.violated("a permit was issued with %d brokers out", n)
		}
		if e.Term != m.term {
			m.violated("the leader of term %d issued a permit in term %d", e.Term, m.term)
		}
		m.reserved[e.Slot] = number
	case *UsePermit:
		if slices.Contains(m.accepted, e.Permit) {
			m.violated("permit %d was used twice", e.Permit)
		}
		if slices.Contains(m.voided, e.Permit) {
			m.violated("permit %d was used after the halt", e.Permit)
		}
		m.accepted = append(m.accepted, e.Permit)
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *MarkBrokerLost:
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *RegisterBroker:
		m.out[e.Slot], m.reserved[e.Slot] = true, 0
	case *ReturnToService:
		if b, _ := m.state.Broker(e.Slot); e.Incarnation > 1 && b.Incarnation == e.Incarnation {
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

// leave makes a process go out if it runs and has seen its UsePermit applied.
func (m *releaseModel) leave(i int) {
	p := &m.processes[i]
	if !p.up || p.stopped || !p.mayLeave {
		return
	}
	p.up, p.mayLeave = false, false
	if m.leftCount[i]++; m.leftCount[i] > 1 {
		m.violated("broker %d went out twice in a release", i)
	}
}

// successors calls visit with every state that can follow in one step.
func (m *releaseModel) successors(injected injectedFault, visit func(*releaseModel)) {
	branch := func(change func(*releaseModel)) {
		c := m.clone()
		change(c)
		visit(c)
	}
	branchFault := func(change func(*releaseModel)) {
		if m.faults < modelMaxFaults {
			branch(func(c *releaseModel) { c.faults++; change(c) })
		}
	}
	for k := range m.inFlight {
		branch(func(c *releaseModel) { c.deliver(k, false, injected) })
		branchFault(func(c *releaseModel) { c.deliver(k, true, injected) })
	}
	release, _ := m.state.Release()
	send := func(e Entry, from int) {
		if len(m.inFlight) < 3 {
			branch(func(c *releaseModel) { c.send(e, from) })
		}
	}
	for i := range m.processes {
		process, slot := m.processes[i], Slot(i)
		b, _ := m.state.Broker(slot)
		if b.Status == BrokerServing {
			send(&IssuePermit{Release: release.Number, Term: m.term, Slot: slot, Incarnation: b.Incarnation}, i)
		}
		permit, ok := m.state.BrokerPermit(slot)
		switch {
		case !process.up:
			if b.Status != BrokerLost {
				send(&MarkBrokerLost{slot, b.Incarnation, m.term}, i)
			}
			if process.incarnation == b.Incarnation { // starts
				branch(func(c *releaseModel) {
					c.processes[i] = modelProcess{incarnation: process.incarnation + 1, up: true}
					c.send(&RegisterBroker{slot, b.Name, process.incarnation + 1, "2", "z", 1}, i)
				})
			}
		case process.stopped:
			if b.Status != BrokerLost {
				send(&MarkBrokerLost{slot, b.Incarnation, m.term}, i)
			}
			branch(func(c *releaseModel) { c.processes[i].stopped = false; c.leave(i) })
		default:
			if b.Status == BrokerReturning && b.Incarnation == process.incarnation {
				send(&ReturnToService{Slot: slot, Incarnation: process.incarnation}, i)
			}
			if ok && permit.Incarnation == process.incarnation && !process.proposedUse { // proposed twice, under two sequence numbers
				branch(func(c *releaseModel) {
					c.processes[i].proposedUse = true
					c.send(&UsePermit{Permit: permit.Number, Slot: slot, Incarnation: process.incarnation}, i)
					c.send(&UsePermit{Permit: permit.Number, Slot: slot, Incarnation: process.incarnation}, i)
				})
			}
			branchFault(func(c *releaseModel) { c.processes[i].up = false })
			branchFault(func(c *releaseModel) { c.processes[i].stopped = true })
		}
	}
	if release.State == ReleaseRunning {
		send(&HaltRelease{release.Number, ""}, 0)
	}
	branchFault(func(c *releaseModel) { c.send(&LeaderElected{1, c.term + 1}, 0) })
}
