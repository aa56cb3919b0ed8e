// Package ownership decides which broker of a tier does which periodic duty, and when. Each duty belongs to the living member that
// rendezvous hashing (Thaler and Ravishankar, 1998), weighted by spare capacity, gives it to. Whoever takes a duty over claims it
// under a fencing number that only grows; what is done under an older number is refused by whoever receives it. There is no
// vote: where brokers can't hear one another each side has an owner. Nothing here does I/O, reads a clock or starts a goroutine.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package ownership

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Job is something that has to be done once in a period by one of the brokers.
type Job struct {
	Name   string
	Period time.Duration
}

// Member is a broker that may own duties.
type Member struct {
	ID     uint32
	Weight uint8
}

// Policy holds the times.
type Policy struct {
	Lease         time.Duration // an owner that heard nobody for so long does nothing
	SettleTime    time.Duration // between a take-over and the first run: word of a run that was just made may still come
	RenewInterval time.Duration // an owner says again so often that it owns
}

// Run is a duty that is to be done now.
type Run struct {
	Job   int
	Fence uint32
}

// state is what a broker knows of a duty.
type state struct {
	Job
	fence   uint32
	owner   uint32 // who claimed it last; 0: nobody
	free    bool   // its owner gave it up
	turn    uint32 // runs that are known of
	ran     time.Duration
	taken   time.Duration // when this broker claimed it
	heard   time.Duration // when its owner was last heard of
	said    time.Duration // when this broker last said that it owns it
	running bool
	runs    uint64
	echoed  time.Duration // when a late claimant was last told of this one
	refused uint64
	begun   time.Duration
}

// Coordinator is one broker's part in them.
type Coordinator struct {
	policy  Policy
	self    uint32
	all     []state
	members []Member
	contact time.Duration // when another member was last heard
	alone   bool          // there is no other member
	since   time.Duration // since when it may do anything: not right after a start or a pause
	last    time.Duration
	left    bool
	claims  []Claim
}

// NewCoordinator makes a broker's part; it owns nothing yet.
func NewCoordinator(p Policy, self uint32, list []Job, now time.Duration) *Coordinator {
	d := &Coordinator{policy: p, self: self, since: now + p.SettleTime, alone: true, contact: math.MinInt64 / 2}
	for _, x := range list {
		d.all = append(d.all, state{Job: x})
	}
	return d
}

// SetMembers tells who may own duties: the members that are neither dead nor gone, the broker itself included; and when another
// one was last heard.
func (d *Coordinator) SetMembers(members []Member, contact time.Duration) {
	d.members = append(d.members[:0], members...)
	d.contact = contact
	d.alone = !slices.ContainsFunc(members, func(m Member) bool { return m.ID != d.self })
}

// rank is how strongly a duty is a member's: the highest has it.
func rank(name string, m Member) float64 {
	h := fnv.New64a()
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], m.ID)
	h.Write(id[:])
	h.Write([]byte(name))
	x := h.Sum64() // the low bits of short inputs are poor: mixed once more
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -float64(max(1, m.Weight)) / math.Log(u)
}

// Owner is the member that a duty belongs to.
func (d *Coordinator) Owner(duty int) (id uint32) {
	best := math.Inf(-1)
	for _, m := range d.members {
		if r := rank(d.all[duty].Name, m); r > best || r == best && m.ID < id {
			best, id = r, m.ID
		}
	}
	return id
}

// Tick returns what is to be done now, and when to come again. Claims has what is to be told.
func (d *Coordinator) Tick(now time.Duration) (runs []Run, next time.Duration) {
	if d.last > 0 && now-d.last > d.policy.Lease { // paused, or starved: whatever it owned it must claim again, once it has heard of others
		d.since = now + d.policy.SettleTime
		for i := range d.all {
			if s := &d.all[i]; s.owner == d.self {
				s.owner, s.running = 0, false
			}
		}
	}
	d.last = now
	next = now + d.policy.RenewInterval
	if d.left {
		return nil, now + time.Hour
	}
	cut := !d.alone && now-d.contact > d.policy.Lease
	for i := range d.all {
		s := &d.all[i]
		mine := d.Owner(i) == d.self
		switch {
		case now < d.since || cut:
			next = min(next, max(d.since, now+d.policy.SettleTime/4))
			continue
		case mine && s.owner != d.self:
			// Whoever had it is dead, has left, or ranks lower by now: it hears of this claim and stops.
			s.fence, s.owner, s.free = s.fence+1, d.self, false
			s.taken, s.said = now, now
			d.claim(i, now)
		case mine && now-s.said >= d.policy.RenewInterval:
			s.said = now
			d.claim(i, now)
		case !mine && s.owner == d.self && !s.free:
			s.free = true // it belongs to another member now
			d.claim(i, now)
		}
		if !mine || s.owner != d.self || s.running {
			continue
		}
		due := d.due(s)
		if due <= now {
			s.running, s.begun = true, now
			runs = append(runs, Run{i, s.fence})
			continue
		}
		next = min(next, due)
	}
	return runs, next
}

// due is when an owner does a duty: a period after it was last done, and never right after a take-over. Danger: after an outage
// all that was missed would be made good at once; it is done once, at a moment of the duty's own.
func (d *Coordinator) due(s *state) time.Duration {
	settled := s.taken + d.policy.SettleTime
	if s.turn == 0 {
		return settled + time.Duration(d.offset(s)*float64(min(s.Period, d.policy.Lease))/4)
	}
	return max(s.ran+s.Period, settled)
}

// offset spreads first runs: the same for a duty at every broker.
func (d *Coordinator) offset(s *state) float64 {
	h := fnv.New32a()
	h.Write([]byte(s.Name))
	return float64(h.Sum32()%1000) / 1000
}

// RunEnded tells that a run is over; ok false means that it is to be tried again after a tenth of its period.
func (d *Coordinator) RunEnded(r Run, ok bool, now time.Duration) {
	s := &d.all[r.Job]
	if s.fence != r.Fence || s.owner != d.self {
		return // it was taken over meanwhile
	}
	s.running = false
	s.ran = s.begun
	s.turn++
	if !ok {
		s.ran -= s.Period * 9 / 10
	}
	s.runs++
	d.claim(r.Job, now)
}

// ReleaseAll gives up all that the broker owns, as it stops: the next owners take over at once.
func (d *Coordinator) ReleaseAll(now time.Duration) {
	for i := range d.all {
		if s := &d.all[i]; s.owner == d.self {
			s.free, s.running = true, false
			d.claim(i, now)
		}
	}
	d.left = true
}

// State is what operators see of a duty. The JSON names are those under /counters.
type State struct {
	Name         string
	Period       time.Duration
	Owner        uint32
	Fence        uint32
	OwnerHeardAt time.Duration `json:"Since"` // that its owner has been heard of as such
	LastRunAt    time.Duration `json:"Ran"`
	RunCount     uint32        `json:"Turn"`    // runs that are known of
	DueAt        time.Duration `json:"Next"`    // here, where this broker owns it
	OwnRuns      uint64        `json:"Runs"`    // here
	RejectedRuns uint64        `json:"Refused"` // done under an older number, by others
	Owned        bool          `json:"Mine"`
	Running      bool          `json:"Due"`
}

// Snapshot are all duties, as this broker knows them.
func (d *Coordinator) Snapshot(now time.Duration) (all []State) {
	for i := range d.all {
		s := &d.all[i]
		all = append(all, State{Name: s.Name, Period: s.Period, Owner: s.owner, Fence: s.fence, OwnerHeardAt: s.heard, LastRunAt: s.ran, RunCount: s.turn,
			DueAt: d.due(s), OwnRuns: s.runs, RejectedRuns: s.refused, Owned: s.owner == d.self, Running: s.running})
	}
	return all
}
