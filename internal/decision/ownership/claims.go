package ownership

// This file owns claims: their form, their fencing numbers, which of two counts.

import (
	"encoding/binary"
	"math"
	"time"
)

// Claim is what brokers tell one another of a duty.
type Claim struct {
	Job          uint8
	Fence        uint32
	Owner        uint32
	RunCount     uint32        // how many runs are known of
	SinceLastRun time.Duration // how long ago the last of them began, by whoever made it
	Released     bool          // the owner gives it up
}

const claimSize = 18

// AppendTo encodes a claim. Ages travel, not moments: clocks need not agree.
func (c *Claim) AppendTo(b []byte) []byte {
	flags := byte(0)
	if c.Released {
		flags = 1
	}
	b = append(b, c.Job, flags)
	b = binary.BigEndian.AppendUint32(b, c.Fence)
	b = binary.BigEndian.AppendUint32(b, c.Owner)
	b = binary.BigEndian.AppendUint32(b, c.RunCount)
	return binary.BigEndian.AppendUint32(b, uint32(min(c.SinceLastRun.Milliseconds(), math.MaxUint32)))
}

// DecodeClaim decodes a claim.
func DecodeClaim(b []byte) (c Claim, ok bool) {
	if len(b) != claimSize || b[1] > 1 {
		return c, false
	}
	c = Claim{Job: b[0], Released: b[1] == 1, Fence: binary.BigEndian.Uint32(b[2:]), Owner: binary.BigEndian.Uint32(b[6:]),
		RunCount: binary.BigEndian.Uint32(b[10:]), SinceLastRun: time.Duration(binary.BigEndian.Uint32(b[14:])) * time.Millisecond}
	return c, c.Owner != 0
}

// HandleClaim takes over another broker's claim and tells whether it was news, to be told on.
func (d *Coordinator) HandleClaim(c Claim, now time.Duration) (fresh bool) {
	if int(c.Job) >= len(d.all) {
		return false // of a version that has more duties
	}
	s := &d.all[c.Job]
	if c.RunCount > s.turn {
		// Danger: a run is told late, or under an older number, and would be made again. Whoever made it, it was made. That it is
		// told by its number keeps word that goes round for long from making it look later each time.
		s.turn, s.ran, fresh = c.RunCount, max(s.ran, now-c.SinceLastRun), true
	}
	switch {
	case c.Fence < s.fence, c.Fence == s.fence && c.Owner > s.owner && s.owner != 0:
		// An older one, or of two at once the one that gives way. Danger: whoever claims it has missed the later one, perhaps of
		// an owner that is dead by now, and all it does is refused for good. It is told.
		if now-s.echoed >= d.policy.SettleTime && s.owner != 0 {
			s.echoed = now
			d.claims = append(d.claims, Claim{Job: c.Job, Fence: s.fence, Owner: s.owner, RunCount: s.turn, SinceLastRun: max(0, now-s.ran), Released: s.free})
		}
		return fresh
	case c.Fence == s.fence && c.Owner == s.owner:
		s.heard = now
		if c.Released && !s.free {
			s.free, fresh = true, true
		}
		return fresh
	}
	if s.owner == d.self {
		s.running = false // what it does from now on is refused
	}
	s.fence, s.owner, s.free, s.heard = c.Fence, c.Owner, c.Released, now
	return true
}

// AcceptFence tells whether what somebody did of a duty under a fencing number is to be taken. Danger: an owner that was paused
// wakes up and carries on as if nothing had happened. A number that was accepted counts as known: the model found an owner that
// took the work of its successor and went on with its own.
func (d *Coordinator) AcceptFence(duty int, fence uint32) bool {
	s := &d.all[duty]
	if fence < s.fence {
		s.refused++
		return false
	}
	if fence > s.fence { // the claim itself has not come yet, or never will
		s.fence, s.owner, s.free, s.running = fence, 0, false, false
	}
	return true
}

func (d *Coordinator) claim(i int, now time.Duration) {
	s := &d.all[i]
	d.claims = append(d.claims, Claim{Job: uint8(i), Fence: s.fence, Owner: d.self, RunCount: s.turn, SinceLastRun: max(0, now-s.ran), Released: s.free})
}

// DrainClaims returns what is to be told to the others.
func (d *Coordinator) DrainClaims() []Claim {
	c := d.claims
	d.claims = nil
	return c
}
