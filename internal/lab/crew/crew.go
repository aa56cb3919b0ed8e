// Package crew emulates a tier of brokers that keep one another's company, in virtual time: the real decisions on members and duties
// over a simulated network that loses, delays, doubles and reorders datagrams, with brokers that are killed, paused, cut off, slow
// to get their core, or whose clock jumps. It audits what came of the duties from outside. The same seed gives the same course.
//
// Depends on decision/ownership, decision/membership, lab/queue. Concurrency: it spreads work over goroutines
// that end with each call; a value is used by one goroutine at a time.
package crew

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/lab/queue"
)

// Options describe a tier.
type Options struct {
	Brokers  int
	Seed     uint64
	Loss     float64
	Delay    time.Duration // one way, on average
	Twice    float64       // share of datagrams that come twice
	Policy   membership.Policy
	Duties   []ownership.Job
	Lease    ownership.Policy
	AllToAll bool          // heartbeats of each to each instead, for comparison
	Starve   time.Duration // a starved broker gets its core so late, at times
	Starved  int           // brokers that are
}

// Default is what brokers use, with as many bytes as the platform leaves after a seal.
var Default = membership.Policy{ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 5, MaxSuspicionFactor: 2,
	ForgetAfter: 10 * time.Minute, SyncInterval: 3 * time.Second, MaxDatagramBytes: 220, MaxMembers: 1000}

// Lease is the default of duties.
var Lease = ownership.Policy{Lease: 3 * time.Second, SettleTime: 400 * time.Millisecond, RenewInterval: time.Second}

// Crew is a tier of brokers.
type Crew struct {
	o       Options
	now     time.Duration
	q       queue.Queue[func()]
	seq     uint32
	rnd     *rand.Rand
	Brokers []*Broker
	Cut     func(from, to int) bool // datagrams that do not arrive; nil: all do
	Runs    []Run
	Bytes   int64
	Longest int // datagram
	Buried  []Burial
}

// Run is a duty that was done, as it took effect.
type Run struct {
	Duty, Broker int
	At           time.Duration
	Fence        uint32
}

// Burial is a broker that another took for dead.
type Burial struct {
	At       time.Duration
	Who, By  int
	Mistaken bool
}

// Broker is one of them.
type Broker struct {
	c       *Crew
	n       int
	addr    netip.AddrPort
	Members *membership.Detector
	Duties  *ownership.Coordinator
	Up      bool
	Paused  bool
	starts  int
	skew    time.Duration // of its clock
	waiting []func()      // what came while it was paused
	woken   time.Duration // when it is to tick
	beats   map[int]time.Duration
	dead    map[int]bool
	view    []ownership.Member
}

// Name is a broker's name.
func Name(n int) string { return fmt.Sprintf("broker-%03d", n) }

// New starts all brokers of a tier, each with the first three as seeds.
func New(o Options) *Crew {
	c := &Crew{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 0x63726577))}
	for n := range o.Brokers {
		b := &Broker{c: c, n: n, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7946)}
		c.Brokers = append(c.Brokers, b)
		c.at(time.Duration(c.rnd.Int64N(int64(200*time.Millisecond))), b.start)
	}
	return c
}

func (c *Crew) at(when time.Duration, do func()) {
	c.seq++
	c.q.Push(queue.Item[func()]{Key: queue.Key{At: max(when, c.now), Seq: c.seq}, Of: do})
}

// Run plays until a moment.
func (c *Crew) Run(until time.Duration) {
	for {
		at, any := c.q.Peek()
		if !any || at > until {
			c.now = until
			return
		}
		c.now = at
		c.q.Pop().Of()
	}
}

// Now is the moment played up to.
func (c *Crew) Now() time.Duration { return c.now }

// Kill ends a broker without a word.
func (c *Crew) Kill(n int) { c.Brokers[n].Up = false }

// Restart starts it again with nothing.
func (c *Crew) Restart(n int) { c.Brokers[n].start() }

// Stop ends a broker as planned.
func (c *Crew) Stop(n int) {
	b := c.Brokers[n]
	b.Duties.ReleaseAll(b.clock())
	b.tell()
	b.Members.Leave(b.clock())
	b.flush()
	b.Up = false
}

// Pause stops a broker's process; Resume lets it go on. What came meanwhile comes then.
func (c *Crew) Pause(n int) { c.Brokers[n].Paused = true }

// Resume lets a paused broker go on.
func (c *Crew) Resume(n int) {
	b := c.Brokers[n]
	b.Paused = false
	b.tick()
	for _, do := range b.waiting {
		do()
	}
	b.waiting = nil
}

// Jump moves a broker's clock.
func (c *Crew) Jump(n int, by time.Duration) { c.Brokers[n].skew += by }

// Agreed tells whether all that are up hold the same ones for living, and exactly those that are up.
func (c *Crew) Agreed() bool {
	for _, b := range c.Brokers {
		if !b.Up || b.Paused {
			continue
		}
		living := map[string]bool{}
		for _, m := range b.Members.Members() {
			if m.State <= membership.Suspect {
				living[m.Name] = true
			}
		}
		for _, o := range c.Brokers {
			if living[Name(o.n)] != (o.Up && !o.Paused) {
				return false
			}
		}
	}
	return true
}

// Most is how often a duty took effect in any period, and the longest time between two effects, or from a moment to the first
// after it and from the last to the end.
func (c *Crew) Most(duty int, from time.Duration) (times int, gap time.Duration) {
	var at []time.Duration
	for _, r := range c.Runs {
		if r.Duty == duty && r.At >= from {
			at = append(at, r.At)
		}
	}
	last := from
	for i, t := range at {
		gap, last = max(gap, t-last), t
		n := 0
		for _, u := range at[i:] {
			if u < t+c.o.Duties[duty].Period*98/100 { // a run begins when its period has passed, and takes effect a moment later
				n++
			}
		}
		times = max(times, n)
	}
	return times, max(gap, c.now-last)
}
