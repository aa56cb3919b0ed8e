package ownership

import (
	"fmt"
	"hash/maphash"
	"slices"
	"time"
)

// A model of three brokers and one job, which runs the real Coordinator. Time passes in steps of a second. In between events happen in any
// order: a claim arrives or is lost; a broker considers another dead or alive, is paused, resumes or is restarted.

type modelBroker struct {
	coordinator *Coordinator
	paused      bool
	reachable   [3]bool
	pendingRuns []Run // begun, whose work has not reached the receivers yet
}

type modelState struct {
	brokers  [3]modelBroker
	claims   []modelClaim
	now      time.Duration
	accepted [3][]modelAccept // by receiver: the last work that it accepted, if any
	faults   int              // so far, at most maxModelFaults
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
		c.brokers[i].coordinator = s.brokers[i].coordinator.clone()
		c.brokers[i].pendingRuns = slices.Clone(s.brokers[i].pendingRuns)
		c.accepted[i] = slices.Clone(s.accepted[i])
	}
	c.claims = slices.Clone(s.claims)
	return &c
}

func (s *modelState) key(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	fmt.Fprint(&h, s.now, s.faults, s.claims, s.accepted)
	for i := range s.brokers {
		broker := &s.brokers[i]
		fmt.Fprint(&h, broker.paused, broker.reachable, broker.pendingRuns, broker.coordinator.jobs, broker.coordinator.activeFrom,
			broker.coordinator.lastTick, broker.coordinator.lastContactAt)
	}
	return h.Sum64()
}

var modelPolicy = Policy{Lease: 3 * time.Second, SettleTime: time.Second, RenewInterval: time.Second}

func id(i int) uint32 { return uint32(i + 1) }

func newModelBroker(i int, now time.Duration) modelBroker {
	return modelBroker{coordinator: NewCoordinator(modelPolicy, id(i), []Job{{"x", 2 * time.Second}}, now), reachable: [3]bool{true, true, true}}
}

func (s *modelState) setMembers(i int) {
	b := &s.brokers[i]
	var members []Member
	for j, reachable := range b.reachable {
		if reachable {
			members = append(members, Member{id(j), 1})
		}
	}
	b.coordinator.SetMembers(members, s.now)
}

// tick runs a broker's Tick and sends its claims.
func (s *modelState) tick(i int) {
	b := &s.brokers[i]
	s.setMembers(i)
	runs, _ := b.coordinator.Tick(s.now)
	b.pendingRuns = append(b.pendingRuns, runs...)
	s.sendClaims(i)
}

func (s *modelState) sendClaims(i int) {
	for _, c := range s.brokers[i].coordinator.DrainClaims() {
		for j := range s.brokers {
			sent := modelClaim{j, c}
			if j != i && !slices.Contains(s.claims, sent) {
				s.claims = append(s.claims, sent)
			}
		}
	}
}

// deliverRun delivers the work of a run to all brokers that are not paused. Each of them accepts or rejects it by itself.
func (s *modelState) deliverRun(i, run int, accept func(coordinator *Coordinator, fence uint32) bool) (violation string) {
	b := &s.brokers[i]
	r := b.pendingRuns[run]
	b.pendingRuns = slices.Delete(b.pendingRuns, run, run+1)
	allAccepted := true
	for j := range s.brokers {
		other := &s.brokers[j]
		if other.paused {
			continue
		}
		if !accept(other.coordinator, r.Fence) {
			allAccepted = false
			continue
		}
		if last := s.accepted[j]; len(last) > 0 {
			if last[0].fence > r.Fence {
				violation = fmt.Sprintf("broker %d accepted fencing number %d of broker %d after number %d of broker %d",
					j, r.Fence, i, last[0].fence, last[0].owner)
			}
		}
		s.accepted[j] = []modelAccept{{r.Fence, i}}
	}
	b.coordinator.RunEnded(r, allAccepted, s.now)
	s.sendClaims(i)
	return violation
}

const maxModelFaults = 3

// successors calls visit with each state that one event leads to, and with the violation found, if any.
func (s *modelState) successors(accept func(*Coordinator, uint32) bool, visit func(*modelState, string)) {
	visitAfter := func(event func(*modelState) string) {
		c := s.clone()
		visit(c, event(c))
	}
	for k := range s.claims {
		visitAfter(func(c *modelState) string { // the claim arrives
			m := c.claims[k]
			c.claims = slices.Delete(c.claims, k, k+1)
			b := &c.brokers[m.to]
			if b.paused {
				return ""
			}
			before := b.coordinator.jobs[0].fence
			b.coordinator.HandleClaim(m.c, c.now)
			c.sendClaims(m.to)
			if b.coordinator.jobs[0].fence < before {
				return fmt.Sprintf("broker %d went from fencing number %d back to %d", m.to, before, b.coordinator.jobs[0].fence)
			}
			return ""
		})
	}
	for i := range s.brokers {
		for k := range s.brokers[i].pendingRuns {
			if !s.brokers[i].paused {
				visitAfter(func(c *modelState) string { return c.deliverRun(i, k, accept) })
			}
		}
	}
	visitAfter(func(c *modelState) string { // a second passes
		c.now += time.Second
		for i := range c.brokers {
			if !c.brokers[i].paused {
				c.tick(i)
			}
		}
		return ""
	})
	if s.faults >= maxModelFaults {
		return
	}
	fault := func(event func(*modelState)) {
		visitAfter(func(c *modelState) string {
			c.faults++
			event(c)
			return ""
		})
	}
	if len(s.claims) > 0 {
		fault(func(c *modelState) { c.claims = c.claims[1:] })
	}
	for i := range s.brokers {
		fault(func(c *modelState) { c.brokers[i].paused = !c.brokers[i].paused })
		fault(func(c *modelState) { // a restart, after which it may accept an older number, as it has lost its state
			c.brokers[i], c.accepted[i] = newModelBroker(i, c.now), nil
		})
		for j := range s.brokers {
			if i != j {
				fault(func(c *modelState) { c.brokers[i].reachable[j] = !c.brokers[i].reachable[j] })
			}
		}
	}
}
