// Package ownership decides which broker of a tier does which periodic job, and when.
//
// Each job belongs to the live member that weighted rendezvous hashing (Thaler and Ravishankar, 1998) gives it to. A member that takes a job
// over claims it under a fencing number, which only grows; work done under an older number is rejected by whoever receives it. There is
// no vote: where brokers can't reach one another, each side has an owner.
//
//	not the owner ──claim──► owner, settling ──due──► running ──RunEnded──► owner, waiting for the period
//	      ▲                                                                   │
//	      └── a later claim, a newer fence, a better rank, a pause, ReleaseAll ┘
//
// Times are spans since the broker's start. A Coordinator is used by one goroutine.
package ownership

import (
	"math"
	"slices"
	"time"
)

const (
	longAgo              time.Duration = math.MinInt64 / 2
	releasedTickInterval               = time.Hour // until a coordinator that released all jobs is called again
)

// Job is something that one of the brokers has to do once in a period.
type Job struct {
	Name   string
	Period time.Duration
}

// Member is a broker that may own jobs.
type Member struct {
	ID     uint32
	Weight uint8 // by spare capacity; 0 counts as 1
}

// Policy holds the times of ownership.
type Policy struct {
	Lease         time.Duration // an owner that has heard nobody for so long does nothing
	SettleTime    time.Duration // between a take-over and the first run: news of a run just made may still arrive
	RenewInterval time.Duration // an owner repeats its claim so often
}

// Run is a job to be done now, under a fencing number.
type Run struct {
	Job   int
	Fence uint32
}

// jobState is what a broker knows of a job.
type jobState struct {
	Job
	fence         uint32
	owner         uint32 // who claimed it last; 0: nobody
	ownerSeenAt   time.Duration
	released      bool   // its owner gave it up
	runCount      uint32 // runs that are known of
	lastRunAt     time.Duration
	claimedAt     time.Duration // by this broker
	renewedAt     time.Duration // this broker last repeated its claim
	correctedAt   time.Duration // an outdated claimant was last told of the present claim
	running       bool
	runBegunAt    time.Duration
	ownRuns       uint64
	rejectedCount uint64 // runs of others under an older number
}

// Coordinator is one broker's part in the jobs of a tier.
type Coordinator struct {
	policy        Policy
	self          uint32
	jobs          []jobState
	members       []Member
	lastContactAt time.Duration // when another member was last heard from
	alone         bool          // there is no other member
	activeFrom    time.Duration // nothing is done before: not right after a start or a pause
	lastTick      time.Duration
	releasedAll   bool
	claims        []Claim
}

// NewCoordinator returns a coordinator that owns nothing yet.
func NewCoordinator(policy Policy, self uint32, jobs []Job, now time.Duration) *Coordinator {
	c := &Coordinator{
		policy:        policy,
		self:          self,
		activeFrom:    now + policy.SettleTime,
		alone:         true,
		lastContactAt: longAgo,
	}
	for _, job := range jobs {
		c.jobs = append(c.jobs, jobState{Job: job})
	}
	return c
}

// SetMembers sets who may own jobs: the live members, the broker itself included; and when another one was last heard from.
func (c *Coordinator) SetMembers(members []Member, lastContactAt time.Duration) {
	c.members = append(c.members[:0], members...)
	c.lastContactAt = lastContactAt
	c.alone = !slices.ContainsFunc(members, func(m Member) bool { return m.ID != c.self })
}

// Tick returns the runs that are due, and when to call it again. DrainClaims has what is to be sent to the other brokers.
func (c *Coordinator) Tick(now time.Duration) (runs []Run, next time.Duration) {
	c.forgetAfterPause(now)
	c.lastTick = now
	if c.releasedAll {
		return nil, now + releasedTickInterval
	}
	next = now + c.policy.RenewInterval
	if now < c.activeFrom || c.isCutOff(now) {
		if len(c.jobs) > 0 {
			next = min(next, max(c.activeFrom, now+c.policy.SettleTime/4))
		}
		return nil, next
	}
	for i := range c.jobs {
		c.updateClaim(i, now)
		s := &c.jobs[i]
		if c.Owner(i) != c.self || s.owner != c.self || s.running {
			continue
		}
		dueAt := s.dueAt(&c.policy)
		if dueAt > now {
			next = min(next, dueAt)
			continue
		}
		s.running = true
		s.runBegunAt = now
		runs = append(runs, Run{Job: i, Fence: s.fence})
	}
	return runs, next
}

// forgetAfterPause gives up what was owned before a pause, or before the process was starved: it has to be claimed again, once news of the
// others has arrived.
func (c *Coordinator) forgetAfterPause(now time.Duration) {
	if c.lastTick == 0 || now-c.lastTick <= c.policy.Lease {
		return
	}
	c.activeFrom = now + c.policy.SettleTime
	for i := range c.jobs {
		s := &c.jobs[i]
		if s.owner == c.self {
			s.owner = 0
			s.running = false
		}
	}
}

func (c *Coordinator) isCutOff(now time.Duration) bool {
	return !c.alone && now-c.lastContactAt > c.policy.Lease
}

// updateClaim claims, renews or releases a job.
func (c *Coordinator) updateClaim(job int, now time.Duration) {
	s := &c.jobs[job]
	belongsHere := c.Owner(job) == c.self
	isClaimed := s.owner == c.self
	switch {
	case belongsHere && !isClaimed:
		// Whoever had it is dead, has left, or ranks lower by now: it receives this claim and stops.
		s.fence++
		s.owner = c.self
		s.released = false
		s.claimedAt = now
		s.renewedAt = now
		c.queueClaim(job, now)
	case belongsHere && now-s.renewedAt >= c.policy.RenewInterval:
		s.renewedAt = now
		c.queueClaim(job, now)
	case !belongsHere && isClaimed && !s.released:
		s.released = true
		c.queueClaim(job, now)
	}
}

// dueAt is when an owner does a job: a period after it was last done, and never right after a take-over. What was missed in an outage is
// done once, not as often as it was missed.
func (s *jobState) dueAt(policy *Policy) time.Duration {
	settledAt := s.claimedAt + policy.SettleTime
	if s.runCount == 0 {
		spread := min(s.Period, policy.Lease)
		return settledAt + time.Duration(s.firstRunOffset()*float64(spread)/4)
	}
	return max(s.lastRunAt+s.Period, settledAt)
}

// RunEnded tells that a run is over. One that failed is repeated after a tenth of its period.
func (c *Coordinator) RunEnded(r Run, succeeded bool, now time.Duration) {
	s := &c.jobs[r.Job]
	if s.fence != r.Fence || s.owner != c.self {
		return // it was taken over meanwhile
	}
	s.running = false
	s.lastRunAt = s.runBegunAt
	if !succeeded {
		s.lastRunAt -= s.Period * 9 / 10
	}
	s.runCount++
	s.ownRuns++
	c.queueClaim(r.Job, now)
}

// ReleaseAll gives up all jobs, as the broker stops: the next owners take over at once.
func (c *Coordinator) ReleaseAll(now time.Duration) {
	for i := range c.jobs {
		s := &c.jobs[i]
		if s.owner == c.self {
			s.released = true
			s.running = false
			c.queueClaim(i, now)
		}
	}
	c.releasedAll = true
}
