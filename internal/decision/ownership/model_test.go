package ownership

import (
	"fmt"
	"hash/maphash"
	"slices"
	"time"
)

// A model of three brokers and one duty over the real code. Time goes in steps of a second; in between anything may happen in
// any order: a claim arrives or is lost, a broker takes another for dead or finds it again, is paused, wakes, is restarted.

type modelBroker struct {
	d      *Coordinator
	paused bool
	sees   [3]bool
	due    []Run // begun, and not yet in effect
}

type modelState struct {
	brokers [3]modelBroker
	claims  []modelClaim
	now     time.Duration
	accepts [3][]modelAccept // by whoever received it: what it accepted last
	faults  int              // of the environment, which are bounded
}

type modelClaim struct {
	to int
	c  Claim
}

type modelAccept struct {
	fence uint32
	owner int
}

func (c *Coordinator) clone() *Coordinator {
	clone := *c
	clone.jobs = slices.Clone(c.jobs)
	clone.members = slices.Clone(c.members)
	clone.claims = slices.Clone(c.claims)
	return &clone
}

func (s *modelState) clone() *modelState {
	c := *s
	for i := range c.brokers {
		c.brokers[i].d = s.brokers[i].d.clone()
		c.brokers[i].due = slices.Clone(s.brokers[i].due)
		c.accepts[i] = slices.Clone(s.accepts[i])
	}
	c.claims = slices.Clone(s.claims)
	return &c
}

func (s *modelState) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	fmt.Fprint(&h, s.now, s.faults, s.claims, s.accepts)
	for i := range s.brokers {
		b := &s.brokers[i]
		fmt.Fprint(&h, b.paused, b.sees, b.due, b.d.jobs, b.d.activeFrom, b.d.lastTick, b.d.lastContactAt)
	}
	return h.Sum64()
}

var modelPolicy = Policy{Lease: 3 * time.Second, SettleTime: time.Second, RenewInterval: time.Second}

func id(i int) uint32 { return uint32(i + 1) }

func newModelBroker(i int, now time.Duration) modelBroker {
	return modelBroker{d: NewCoordinator(modelPolicy, id(i), []Job{{"x", 2 * time.Second}}, now), sees: [3]bool{true, true, true}}
}

func (s *modelState) view(i int) {
	b := &s.brokers[i]
	var all []Member
	for j, sees := range b.sees {
		if sees {
			all = append(all, Member{id(j), 1})
		}
	}
	b.d.SetMembers(all, s.now)
}

// tick has a broker take a turn and puts what it says on its way.
func (s *modelState) tick(i int) {
	b := &s.brokers[i]
	s.view(i)
	runs, _ := b.d.Tick(s.now)
	b.due = append(b.due, runs...)
	s.tell(i)
}

func (s *modelState) tell(i int) {
	for _, c := range s.brokers[i].d.DrainClaims() {
		for j := range s.brokers {
			one := modelClaim{j, c}
			if j != i && !slices.Contains(s.claims, one) {
				s.claims = append(s.claims, one)
			}
		}
	}
}

// effect is when a run reaches everybody that can hear: each rules on it by itself.
func (s *modelState) effect(i, of int, accept func(d *Coordinator, fence uint32) bool) (broken string) {
	b := &s.brokers[i]
	r := b.due[of]
	b.due = slices.Delete(b.due, of, of+1)
	taken := true
	for j := range s.brokers {
		o := &s.brokers[j]
		if o.paused {
			continue
		}
		if !accept(o.d, r.Fence) {
			taken = false
			continue
		}
		if last := s.accepts[j]; len(last) > 0 {
			if last[0].fence > r.Fence {
				broken = fmt.Sprintf("broker %d accepted number %d of broker %d after number %d of broker %d", j, r.Fence, i, last[0].fence, last[0].owner)
			}
		}
		s.accepts[j] = []modelAccept{{r.Fence, i}}
	}
	b.d.RunEnded(r, taken, s.now)
	s.tell(i)
	return broken
}

const modelFaults = 3

// next are all states that one thing happening leads to.
func (s *modelState) next(accept func(*Coordinator, uint32) bool, each func(*modelState, string)) {
	do := func(what func(*modelState) string) {
		c := s.clone()
		each(c, what(c))
	}
	for k := range s.claims {
		do(func(c *modelState) string { // arrives
			m := c.claims[k]
			c.claims = slices.Delete(c.claims, k, k+1)
			b := &c.brokers[m.to]
			if b.paused {
				return ""
			}
			before := b.d.jobs[0].fence
			b.d.HandleClaim(m.c, c.now)
			c.tell(m.to)
			if b.d.jobs[0].fence < before {
				return fmt.Sprintf("broker %d went from number %d back to %d", m.to, before, b.d.jobs[0].fence)
			}
			return ""
		})
	}
	for i := range s.brokers {
		for k := range s.brokers[i].due {
			if !s.brokers[i].paused {
				do(func(c *modelState) string { return c.effect(i, k, accept) })
			}
		}
	}
	do(func(c *modelState) string { // a second passes
		c.now += time.Second
		for i := range c.brokers {
			if !c.brokers[i].paused {
				c.tick(i)
			}
		}
		return ""
	})
	if s.faults >= modelFaults {
		return
	}
	fault := func(what func(*modelState)) {
		do(func(c *modelState) string {
			c.faults++
			what(c)
			return ""
		})
	}
	if len(s.claims) > 0 {
		fault(func(c *modelState) { c.claims = c.claims[1:] })
	}
	for i := range s.brokers {
		fault(func(c *modelState) { c.brokers[i].paused = !c.brokers[i].paused })
		fault(func(c *modelState) { // what it knew is gone, so that it accepts what it once would not have
			c.brokers[i], c.accepts[i] = newModelBroker(i, c.now), nil
		})
		for j := range s.brokers {
			if i != j {
				fault(func(c *modelState) { c.brokers[i].sees[j] = !c.brokers[i].sees[j] })
			}
		}
	}
}
