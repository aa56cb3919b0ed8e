package ownership

import (
	"encoding/binary"
	"math"
	"time"
)

// Claim is the message about a job that brokers exchange. It carries ages, not points in time, as clocks need not agree.
type Claim struct {
	Job          uint8
	Fence        uint32
	Owner        uint32
	RunCount     uint32        // known runs, of all members
	SinceLastRun time.Duration // since the last of them began
	Released     bool          // the owner releases the job
}

// An encoded claim is job (1), flags (1), fence (4), owner (4), run count (4), milliseconds since the last run (4), big endian.
const (
	claimBytes         = 18
	flagsOffset        = 1
	fenceOffset        = 2
	ownerOffset        = 6
	runCountOffset     = 10
	sinceLastRunOffset = 14

	flagReleased = 1
)

// AppendTo appends the encoded claim to b.
func (c *Claim) AppendTo(b []byte) []byte {
	flags := byte(0)
	if c.Released {
		flags = flagReleased
	}
	b = append(b, c.Job, flags)
	b = binary.BigEndian.AppendUint32(b, c.Fence)
	b = binary.BigEndian.AppendUint32(b, c.Owner)
	b = binary.BigEndian.AppendUint32(b, c.RunCount)
	return binary.BigEndian.AppendUint32(b, uint32(min(c.SinceLastRun.Milliseconds(), math.MaxUint32)))
}

// DecodeClaim decodes a claim. ok is false if b is not a valid claim.
func DecodeClaim(b []byte) (c Claim, ok bool) {
	if len(b) != claimBytes || b[flagsOffset] > flagReleased {
		return c, false
	}
	c = Claim{
		Job:          b[0],
		Fence:        binary.BigEndian.Uint32(b[fenceOffset:]),
		Owner:        binary.BigEndian.Uint32(b[ownerOffset:]),
		RunCount:     binary.BigEndian.Uint32(b[runCountOffset:]),
		SinceLastRun: time.Duration(binary.BigEndian.Uint32(b[sinceLastRunOffset:])) * time.Millisecond,
		Released:     b[flagsOffset] == flagReleased,
	}
	return c, c.Owner != 0
}

// HandleClaim handles another broker's claim. It reports whether the claim was news, in which case the caller passes it on.
func (c *Coordinator) HandleClaim(claim Claim, now time.Duration) (news bool) {
	if int(claim.Job) >= len(c.jobs) {
		return false // from a broker of a version that has more jobs
	}
	s := &c.jobs[claim.Job]
	if claim.RunCount > s.runCount {
		// A run counts under any fencing number and however late it is reported; otherwise it would be repeated. The run count identifies
		// the run, so that a claim that circulates for long does not make the run look more recent each time.
		s.runCount = claim.RunCount
		s.lastRunAt = max(s.lastRunAt, now-claim.SinceLastRun)
		news = true
	}
	if s.supersedes(&claim) {
		c.queueCorrection(claim.Job, now)
		return news
	}
	if claim.Fence == s.fence && claim.Owner == s.owner {
		s.ownerSeenAt = now
		if claim.Released && !s.released {
			s.released = true
			news = true
		}
		return news
	}
	if s.owner == c.self {
		s.running = false // receivers reject the work of this run from now on
	}
	s.fence = claim.Fence
	s.owner = claim.Owner
	s.released = claim.Released
	s.ownerSeenAt = now
	return true
}

// supersedes reports whether the known claim supersedes another: by a higher fence, or under the same fence by a lower owner ID.
func (s *jobState) supersedes(claim *Claim) bool {
	return claim.Fence < s.fence || claim.Fence == s.fence && claim.Owner > s.owner && s.owner != 0
}

// queueCorrection queues the current claim in answer to an outdated one. The claimant has missed the current claim, whose owner may be dead
// by now; without the correction all its work would be rejected for good.
func (c *Coordinator) queueCorrection(job uint8, now time.Duration) {
	s := &c.jobs[job]
	if s.owner == 0 || now-s.correctedAt < c.policy.SettleTime {
		return
	}
	s.correctedAt = now
	c.claims = append(c.claims, s.claim(job, s.owner, now))
}

// AcceptFence reports whether work on a job under a fencing number is accepted. The work of an owner that resumes after a pause, unaware
// that it was replaced, is rejected. An accepted number becomes the known one: otherwise an owner could accept its successor's work and
// still continue its own.
func (c *Coordinator) AcceptFence(job int, fence uint32) bool {
	s := &c.jobs[job]
	if fence < s.fence {
		s.rejectedCount++
		return false
	}
	if fence > s.fence { // the claim itself has not arrived yet, or never will
		s.fence = fence
		s.owner = 0
		s.released = false
		s.running = false
	}
	return true
}

func (c *Coordinator) queueClaim(job int, now time.Duration) {
	c.claims = append(c.claims, c.jobs[job].claim(uint8(job), c.self, now))
}

func (s *jobState) claim(job uint8, owner uint32, now time.Duration) Claim {
	return Claim{
		Job:          job,
		Fence:        s.fence,
		Owner:        owner,
		RunCount:     s.runCount,
		SinceLastRun: max(0, now-s.lastRunAt),
		Released:     s.released,
	}
}

// DrainClaims returns the claims queued since the last call, to be sent to the other brokers.
func (c *Coordinator) DrainClaims() []Claim {
	claims := c.claims
	c.claims = nil
	return claims
}
