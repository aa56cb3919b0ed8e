package statemachine

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"testing"
)

// A model of leases over the real machine: two holders of one node's units, a leader that renews and expires, and another that
// takes over from it. Time goes in steps, answers and entries come late, holders are stopped. At no instant do the two together
// use more than the node has. A holder counts its lease from before it asked, the granter from after it answered.

const (
	leaseFor    = 2
	leaseUnits  = 4 // two floors of one, and two above them
	leaseFaults = 2
)

type leaseHolder struct {
	number  uint64 // the grant it goes by
	units   uint64
	end     int // of its lease, by its own count
	asked   int // when it sent the ask that is on its way; -1: none
	answers []leaseAnswer
	stopped bool
}

type leaseAnswer struct{ asked, sent int }

type leaseLeader struct {
	term    uint64
	renewed [2]int    // when it last answered
	ending  [2]uint64 // grants it has proposed to expire: no more answers for them
}

type lease struct {
	s       *State
	now     int
	holders [2]leaseHolder
	leaders []leaseLeader
	flight  []modelMsg
	seq     uint64
	faults  int
	why     string
}

// leasePlant are the faults that can be put in.
type leasePlant struct {
	fromAnswer, impatient, early bool
	apply                        plant
}

func (l *lease) clone() *lease {
	c := *l
	c.s = l.s.clone()
	c.leaders, c.flight = slices.Clone(l.leaders), slices.Clone(l.flight)
	for i := range c.holders {
		c.holders[i].answers = slices.Clone(l.holders[i].answers)
	}
	return &c
}

func (l *lease) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	h.Write(l.s.Snapshot())
	fmt.Fprint(&h, l.now, l.holders, l.leaders, l.seq, l.faults)
	for _, x := range l.flight {
		fmt.Fprintf(&h, "%T %v %d;", x.e, x.e, x.seq)
	}
	return h.Sum64()
}

func (l *lease) send(e Entry) {
	l.seq++
	l.flight = append(l.flight, modelMsg{e: e, seq: l.seq})
}

func (l *lease) deliver(k int, p *leasePlant) {
	x := l.flight[k]
	l.flight = slices.Delete(l.flight, k, k+1)
	p.apply(l.s, x.e, func() Result { return l.s.Apply(l.s.AppliedIndex()+1, Encode(ProposalID{9, 1, x.seq}, x.e)) })
}

// use is what the two use at this instant: what they go by until their lease ends, then the floor.
func (l *lease) use() (sum uint64) {
	for _, h := range l.holders {
		sum++
		if l.now < h.end {
			sum += h.units
		}
	}
	return sum
}

func (l *lease) next(p *leasePlant, each func(*lease)) {
	do := func(what func(*lease)) {
		c := l.clone()
		what(c)
		if sum := c.use(); sum > leaseUnits && c.why == "" {
			c.why = fmt.Sprintf("%d units in use of %d", sum, leaseUnits)
		}
		each(c)
	}
	do(func(c *lease) { c.now++ })
	for k := range l.flight {
		do(func(c *lease) { c.deliver(k, p) })
	}
	_, term := l.s.Leader()
	for n, x := range l.leaders {
		leads := term == x.term
		for i, h := range l.holders {
			held, _ := l.s.Lease(Slot(i))
			if leads && h.asked >= 0 && x.ending[i] != held.Number { // answers
				do(func(c *lease) {
					c.holders[i].answers = append(c.holders[i].answers, leaseAnswer{h.asked, c.now})
					c.holders[i].asked = -1
					c.leaders[n].renewed[i] = c.now
				})
			}
			if leads && len(l.flight) < 2 && !held.Ended && held.Number > 0 && x.ending[i] != held.Number &&
				(p.impatient || l.now >= x.renewed[i]+leaseFor) {
				do(func(c *lease) {
					c.leaders[n].ending[i] = held.Number
					c.send(&ExpireLease{Slot(i), held.Number, x.term})
				})
			}
			for _, units := range []uint64{1, 2} {
				if leads && n == len(l.leaders)-1 && len(l.flight) < 2 && held.Number < 3 {
					do(func(c *lease) { c.send(&GrantLease{Slot(i), 1, held.Number + 1, []LeaseRow{{at(1), "x", units}}}) })
				}
			}
		}
	}
	for i, h := range l.holders {
		if h.stopped {
			do(func(c *lease) { c.holders[i].stopped = false })
			continue
		}
		if h.asked < 0 && len(h.answers) == 0 {
			do(func(c *lease) { c.holders[i].asked = c.now })
		}
		if len(h.answers) > 0 {
			do(func(c *lease) {
				a := c.holders[i].answers[0]
				c.holders[i].answers = c.holders[i].answers[1:]
				from := a.asked
				if p.fromAnswer {
					from = c.now
				}
				c.holders[i].end = max(c.holders[i].end, from+leaseFor)
			})
		}
		held, _ := l.s.Lease(Slot(i))
		if held.Number != h.number || held.Ended && h.units > 0 { // its replica has come so far
			if p.early && !held.Ended {
				do(func(c *lease) { c.send(&AcknowledgeLease{Slot(i), 1, held.Number}) }) // before it keeps to it
			}
			do(func(c *lease) {
				h := &c.holders[i]
				h.number, h.units = held.Number, 0
				for _, r := range held.Granted {
					h.units += r.Connections
				}
				if !held.Ended {
					c.send(&AcknowledgeLease{Slot(i), 1, held.Number})
				}
			})
		}
		if l.faults < leaseFaults {
			do(func(c *lease) { c.faults++; c.holders[i].stopped = true })
		}
	}
	if l.faults < leaseFaults && len(l.leaders) < 2 {
		do(func(c *lease) { // it counts from now on, for what another has answered it can't know
			c.faults++
			c.leaders = append(c.leaders, leaseLeader{term: 2, renewed: [2]int{c.now + 1, c.now + 1}})
			c.send(&LeaderElected{0, 2})
		})
	}
}

func exploreLease(depth, most int, p *leasePlant) (states int, why string) {
	if p.apply == nil {
		p.apply = honest
	}
	l := &lease{s: New(), leaders: []leaseLeader{{term: 1}}}
	for i := range l.holders {
		l.send(&RegisterBroker{Slot(i), fmt.Sprint(i), 1, "1", "z", 1})
		l.send(&ReturnToService{Slot: Slot(i), Incarnation: 1})
	}
	l.send(&LeaderElected{0, 1})
	l.send(&ConnectionPolicy{1, "", 2, []NodeBudget{{at(1), leaseUnits, 1}}})
	l.send(&GrantLease{0, 1, 1, []LeaseRow{{at(1), "x", 2}}})
	l.send(&AcknowledgeLease{0, 1, 1})
	for len(l.flight) > 0 {
		l.deliver(0, p)
	}
	// The one asked a moment ago and was answered; the answer is on its way. The other may use what it is granted for long.
	l.now, l.leaders[0].renewed = 1, [2]int{0, 9}
	l.holders = [2]leaseHolder{{number: 1, units: 2, end: 1, asked: -1, answers: []leaseAnswer{{0, 0}}}, {end: 9, asked: -1}}
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{l.key(seed): true}
	level := []*lease{l}
	for d := 0; d < depth && len(seen) < most; d++ {
		var next []*lease
		for _, x := range level {
			x.next(p, func(c *lease) {
				if c.why != "" && why == "" {
					why = fmt.Sprintf("after %d: %s", d+1, c.why)
				}
				if k := c.key(seed); !seen[k] && why == "" {
					seen[k] = true
					next = append(next, c)
				}
			})
			if why != "" {
				return len(seen), why
			}
		}
		level = next
	}
	return len(seen), ""
}

// However late all comes, the two never use more than the node has. Each fault put in is found.
func TestLeases(t *testing.T) {
	depth := 6
	if n, err := strconv.Atoi(os.Getenv("LEDGER_DEPTH")); err == nil {
		depth = n
	}
	states, why := exploreLease(depth, 1<<30, &leasePlant{})
	if why != "" {
		t.Error(why)
	}
	t.Logf("%d states to depth %d", states, depth)
	for name, p := range leasePlants {
		states, why := exploreLease(12, 200000, p)
		if why == "" {
			t.Errorf("%s was not found in %d states", name, states)
		}
		t.Logf("%s: found in %d states, %s", name, states, why)
	}
}
