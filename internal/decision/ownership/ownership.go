// Package ownership decides which broker of a tier runs which periodic job, and when.
//
// Weighted rendezvous hashing (Thaler and Ravishankar, 1998) assigns each job to one of the live members. A member that takes over a job
// claims it under a fencing number, which only increases; receivers reject work done under an older number. There is no vote: if brokers
// can't reach one another, each partition has an owner.
//
//	not the owner ──claim──► owner, settling ──due──► running ──RunEnded──► owner, waiting for the period
//	      ▲                                                                   │
//	      └── a later claim, a newer fence, a higher rank, a pause, ReleaseAll ┘
//
// Times are durations since the broker's start. A Coordinator is used by one goroutine.
package ownership

import (
	"math"
	"slices"
	"time"
)

const (
	longAgo              time.Duration = math.MinInt64 / 2
	releasedTickInterval               = time.Hour // between Ticks of a coordinator that released all jobs
)

// Job is a task that one of the brokers runs once per period.
type Job struct {
	Name   string
	Period time.Duration
}

// Member is a broker that may own jobs.
type Member struct {
	ID     uint32
	Weight uint8 // proportional to spare capacity; 0 counts as 1
}

// Policy holds the times of ownership.
type Policy struct {
	Lease         time.Duration // an owner that has received nothing from other members for longer runs nothing
	SettleTime    time.Duration // wait between a take-over and the first run, as the claim of a recent run may still arrive
	RenewInterval time.Duration // interval at which an owner repeats its claim
}

// Run is one run of a job that is due now, under a fencing number.
type Run struct {
	Job   int
	Fence uint32
}

// jobState is what a broker knows about a job.
type jobState struct {
	Job
	fence         uint32
	owner         uint32        // member with the current claim; 0: none
	ownerSeenAt   time.Duration // when the current claim last arrived
	released      bool          // by its owner
	runCount      uint32        // known runs, of all members
	lastRunAt     time.Duration
	claimedAt     time.Duration // when this broker claimed it
	renewedAt     time.Duration // when this broker last repeated its claim
	correctedAt   time.Duration // when an outdated claim was last answered with the current one
	running       bool
	runBegunAt    time.Duration
	ownRuns       uint64
	rejectedCount uint64 // runs of others under an older fencing number
}

// Coordinator tracks the jobs of a tier for one broker.
type Coordinator struct {
	policy        Policy
	self          uint32
	jobs          []jobState
	members       []Member
	lastContactAt time.Duration // when another member last sent a message
	alone         bool          // there is no other member
	activeFrom    time.Duration // no claims or runs before, as after a start or a pause
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

// SetMembers sets the live members, including the broker itself, and when another member last sent a message.
func (c *Coordinator) SetMembers(members []Member, lastContactAt time.Duration) {
	c.members = append(c.members[:0], members...)
	c.lastContactAt = lastContactAt
	c.alone = !slices.ContainsFunc(members, func(m Member) bool { return m.ID != c.self })
}

// Tick returns the runs that are due, and when to call Tick again. DrainClaims then returns the claims to send to the other brokers.
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

// forgetAfterPause drops the ownership of all jobs after a pause of the process longer than the lease. The jobs have to be claimed again
// once claims of other members have had time to arrive.
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
		// The former owner is dead, has left, or now ranks lower. If it ranks lower, it receives this claim and stops.
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

// dueAt returns when the owner runs a job next: one period after the last run, but not before the settle time after a take-over ends. Runs
// missed in an outage are made up by a single one. The first runs of jobs are spread over a quarter of their period or of the lease,
// whichever is shorter.
func (s *jobState) dueAt(policy *Policy) time.Duration {
	settledAt := s.claimedAt + policy.SettleTime
	if s.runCount == 0 {
		spread := min(s.Period, policy.Lease)
		return settledAt + time.Duration(s.firstRunOffset()*float64(spread)/4)
	}
	return max(s.lastRunAt+s.Period, settledAt)
}

// RunEnded records the end of a run. A failed run is repeated a tenth of the period after its start.
func (c *Coordinator) RunEnded(r Run, succeeded bool, now time.Duration) {
	s := &c.jobs[r.Job]
	if s.fence != r.Fence || s.owner != c.self {
		return // another member has taken over the job meanwhile
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

// ReleaseAll releases all jobs because the broker stops, so that the next owners take over at once.
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
