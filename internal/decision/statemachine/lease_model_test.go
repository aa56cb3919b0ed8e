package statemachine

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// A model of connection leases over the real state machine: two holders of one node's connections, a leader that renews and expires their
// leases, and another that takes over from it. Time advances in steps, answers and entries arrive late, holders are suspended. At no time
// do the two holders together use more connections than the node accepts. A holder measures its lease from when it sent the request, the
// granter from when it sent the answer.

const (
	leaseDuration  = 2
	leaseBudget    = 4 // two reserved, and two that can be leased
	leaseMaxFaults = 2
)

type leaseHolder struct {
	number      uint64 // the grant that it follows
	connections uint64
	expiry      int // of its lease, by its own measure
	requestedAt int // when it sent the request in flight; -1: none
	answers     []leaseAnswer
	stopped     bool
}

type leaseAnswer struct{ requestedAt, sentAt int }

type leaseLeader struct {
	term     uint64
	renewed  [2]int    // when it last answered each holder
	expiring [2]uint64 // grants it has proposed to expire, and no longer renews
}

type leaseModel struct {
	state     *State
	now       int
	holders   [2]leaseHolder
	leaders   []leaseLeader
	inFlight  []modelMessage
	sequence  uint64
	faults    int
	violation string
}

// leaseFault is a set of faults to inject.
type leaseFault struct {
	leaseFromAnswer, expiresEarly, acknowledgesEarly bool
	apply                                            injectedFault
}

func (l *leaseModel) clone() *leaseModel {
	c := *l
	c.state = l.state.clone()
	c.leaders, c.inFlight = slices.Clone(l.leaders), slices.Clone(l.inFlight)
	for i := range c.holders {
		c.holders[i].answers = slices.Clone(l.holders[i].answers)
	}
	return &c
}

func (l *leaseModel) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.Write(l.state.Snapshot())
	fmt.Fprint(&h, l.now, l.holders, l.leaders, l.sequence, l.faults)
	for _, x := range l.inFlight {
		fmt.Fprintf(&h, "%T %v %d;", x.entry, x.entry, x.sequence)
	}
	return h.Sum64()
}

func (l *leaseModel) send(e Entry) {
	l.sequence++
	l.inFlight = append(l.inFlight, modelMessage{entry: e, sequence: l.sequence})
}

func (l *leaseModel) deliver(k int, fault *leaseFault) {
	x := l.inFlight[k]
	l.inFlight = slices.Delete(l.inFlight, k, k+1)
	fault.apply(l.state, x.entry, func() Result {
		return l.state.Apply(l.state.AppliedIndex()+1, Encode(ProposalID{9, 1, x.sequence}, x.entry))
	})
}

// inUse returns the connections that the two holders use now: the reserved ones and, until its lease expires, those granted to each.
func (l *leaseModel) inUse() (sum uint64) {
	for _, h := range l.holders {
		sum++
		if l.now < h.expiry {
			sum += h.connections
		}
	}
	return sum
}

// successors calls visit with every state that can follow in one step.
func (l *leaseModel) successors(fault *leaseFault, visit func(*leaseModel)) {
	branch := func(change func(*leaseModel)) {
		c := l.clone()
		change(c)
		if sum := c.inUse(); sum > leaseBudget && c.violation == "" {
			c.violation = fmt.Sprintf("%d connections in use, budget %d", sum, leaseBudget)
		}
		visit(c)
	}
	branch(func(c *leaseModel) { c.now++ })
	for k := range l.inFlight {
		branch(func(c *leaseModel) { c.deliver(k, fault) })
	}
	_, term := l.state.Leader()
	for n, leader := range l.leaders {
		leads := term == leader.term
		for i, holder := range l.holders {
			lease, _ := l.state.Lease(Slot(i))
			if leads && holder.requestedAt >= 0 && leader.expiring[i] != lease.Number { // the leader answers
				branch(func(c *leaseModel) {
					c.holders[i].answers = append(c.holders[i].answers, leaseAnswer{holder.requestedAt, c.now})
					c.holders[i].requestedAt = -1
					c.leaders[n].renewed[i] = c.now
				})
			}
			if leads && len(l.inFlight) < 2 && !lease.Ended && lease.Number > 0 && leader.expiring[i] != lease.Number &&
				(fault.expiresEarly || l.now >= leader.renewed[i]+leaseDuration) {
				branch(func(c *leaseModel) {
					c.leaders[n].expiring[i] = lease.Number
					c.send(&ExpireLease{Slot(i), lease.Number, leader.term})
				})
			}
			for _, granted := range []uint64{1, 2} {
				if leads && n == len(l.leaders)-1 && len(l.inFlight) < 2 && lease.Number < 3 {
					branch(func(c *leaseModel) {
						c.send(&GrantLease{Slot(i), 1, lease.Number + 1, []LeaseRow{{testNode(1), "x", granted}}})
					})
				}
			}
		}
	}
	for i, holder := range l.holders {
		if holder.stopped {
			branch(func(c *leaseModel) { c.holders[i].stopped = false })
			continue
		}
		if holder.requestedAt < 0 && len(holder.answers) == 0 {
			branch(func(c *leaseModel) { c.holders[i].requestedAt = c.now })
		}
		if len(holder.answers) > 0 {
			branch(func(c *leaseModel) {
				answer := c.holders[i].answers[0]
				c.holders[i].answers = c.holders[i].answers[1:]
				from := answer.requestedAt
				if fault.leaseFromAnswer {
					from = c.now
				}
				c.holders[i].expiry = max(c.holders[i].expiry, from+leaseDuration)
			})
		}
		lease, _ := l.state.Lease(Slot(i))
		if lease.Number != holder.number || lease.Ended && holder.connections > 0 { // its replica of the state has a newer grant
			if fault.acknowledgesEarly && !lease.Ended {
				branch(func(c *leaseModel) { c.send(&AcknowledgeLease{Slot(i), 1, lease.Number}) }) // acknowledges before it keeps to the grant
			}
			branch(func(c *leaseModel) {
				holder := &c.holders[i]
				holder.number, holder.connections = lease.Number, 0
				for _, r := range lease.Granted {
					holder.connections += r.Connections
				}
				if !lease.Ended {
					c.send(&AcknowledgeLease{Slot(i), 1, lease.Number})
				}
			})
		}
		if l.faults < leaseMaxFaults {
			branch(func(c *leaseModel) { c.faults++; c.holders[i].stopped = true })
		}
	}
	if l.faults < leaseMaxFaults && len(l.leaders) < 2 {
		branch(func(c *leaseModel) { // it counts leases as renewed now, since it doesn't know what the earlier leader answered
			c.faults++
			c.leaders = append(c.leaders, leaseLeader{term: 2, renewed: [2]int{c.now + 1, c.now + 1}})
			c.send(&LeaderElected{0, 2})
		})
	}
}
