// Package crew emulates a tier of brokers that keep one another's company, in virtual time: the real decisions on members and duties
// over a simulated network that loses, delays, doubles and reorders datagrams, with brokers that are killed, paused, cut off, slow
// to get their core, or whose clock jumps. It audits what came of the duties from outside. The same seed gives the same course.
//
// Depends on decision/duties, decision/members, lab/queue. Concurrency: it spreads work over goroutines
// that end with each call; a value is used by one goroutine at a time.
package crew

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"flaxfront/internal/decision/duties"
	"flaxfront/internal/decision/members"
	"flaxfront/internal/lab/queue"
)

// Options describe a tier.
type Options struct {
	Brokers  int
	Seed     uint64
	Loss     float64
	Delay    time.Duration // one way, on average
	Twice    float64       // share of datagrams that come twice
	Policy   members.Policy
	Duties   []duties.Duty
	Lease    duties.Policy
	AllToAll bool          // heartbeats of each to each instead, for comparison
	Starve   time.Duration // a starved broker gets its core so late, at times
	Starved  int           // brokers that are
}

// Default is what brokers use, with as many bytes as the platform leaves after a seal.
var Default = members.Policy{Interval: 500 * time.Millisecond, Timeout: 150 * time.Millisecond, Indirect: 3, Suspicion: 5, Longest: 2,
	Forget: 10 * time.Minute, Sync: 3 * time.Second, MaxBytes: 220, MaxKnown: 1000}

// Lease is the default of duties.
var Lease = duties.Policy{Lease: 3 * time.Second, Settle: 400 * time.Millisecond, Renew: time.Second}

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
	Members *members.Members
	Duties  *duties.Duties
	Up      bool
	Paused  bool
	starts  int
	skew    time.Duration // of its clock
	waiting []func()      // what came while it was paused
	woken   time.Duration // when it is to tick
	beats   map[int]time.Duration
	dead    map[int]bool
	view    []duties.Member
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

func (b *Broker) clock() time.Duration { return b.c.now + b.skew }

func (b *Broker) start() {
	c := b.c
	b.Up, b.Paused = true, false
	b.starts++
	p := c.o.Policy
	p.Seed = c.rnd.Uint64()
	var seeds []netip.AddrPort
	for i := range min(3, len(c.Brokers)) {
		seeds = append(seeds, c.Brokers[i].addr)
	}
	b.Members = members.New(p, Name(b.n), b.addr, 1, uint32(b.starts), seeds)
	b.Duties = duties.New(c.o.Lease, uint32(members.IDOf(Name(b.n))), c.o.Duties, b.clock())
	b.view = nil
	b.beats, b.dead = map[int]time.Duration{}, map[int]bool{}
	if c.o.AllToAll {
		b.beat()
		return
	}
	b.tick()
}

// Kill ends a broker without a word.
func (c *Crew) Kill(n int) { c.Brokers[n].Up = false }

// Restart starts it again with nothing.
func (c *Crew) Restart(n int) { c.Brokers[n].start() }

// Stop ends a broker as planned.
func (c *Crew) Stop(n int) {
	b := c.Brokers[n]
	b.Duties.Leave(b.clock())
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

// tick is a turn of a broker's loop.
func (b *Broker) tick() {
	if !b.Up || b.Paused {
		return
	}
	b.turn()
}

func (b *Broker) turn() {
	now := b.clock()
	next := b.Members.Tick(now)
	for _, note := range b.Members.Notes() {
		if cl, ok := duties.Read(note); ok && b.Duties.Take(cl, now) {
			b.Members.Broadcast(uint64(cl.Duty), note)
		}
	}
	changes := b.Members.Changes()
	for _, ch := range changes {
		if ch.Member.State == members.Dead {
			who := -1
			for i := range b.c.Brokers {
				if members.IDOf(Name(i)) == ch.Member.ID {
					who = i
				}
			}
			o := b.c.Brokers[who]
			b.c.Buried = append(b.c.Buried, Burial{b.c.now, who, b.n, o.Up && !o.Paused})
		}
	}
	if b.view == nil || len(changes) > 0 {
		b.view = b.view[:0]
		for _, m := range b.Members.All() {
			if m.State <= members.Suspect {
				b.view = append(b.view, duties.Member{ID: uint32(m.ID), Weight: m.Weight})
			}
		}
	}
	b.Duties.View(b.view, b.Members.Heard())
	runs, at := b.Duties.Tick(now)
	for _, r := range runs {
		b.c.at(b.c.now+5*time.Millisecond, func() { b.done(r) })
	}
	b.tell()
	b.flush()
	due := b.c.now + min(next, at) - now
	if b.n < b.c.o.Starved { // it gets its core when others let it
		due += time.Duration(b.c.rnd.ExpFloat64() * float64(b.c.o.Starve))
	}
	if due < b.woken || b.woken <= b.c.now {
		b.woken = due
		b.c.at(due, func() {
			if b.woken <= b.c.now {
				b.tick()
			}
		})
	}
}

// done is when a run takes effect: the others take it, unless they know of a later owner.
func (b *Broker) done(r duties.Run) {
	if !b.Up {
		return
	}
	if b.Paused {
		b.waiting = append(b.waiting, func() { b.done(r) })
		return
	}
	taken := true
	for _, o := range b.c.Brokers {
		if o.Up && !o.Paused && (b.c.Cut == nil || !b.c.Cut(b.n, o.n)) {
			taken = o.Duties.Accept(r.Duty, r.Fence) && taken
		}
	}
	if taken {
		b.c.Runs = append(b.c.Runs, Run{r.Duty, b.n, b.c.now, r.Fence})
	}
	b.Duties.Done(r, taken, b.clock())
	b.tell()
	b.flush()
}

func (b *Broker) tell() {
	for _, cl := range b.Duties.Claims() {
		b.Members.Broadcast(uint64(cl.Duty), cl.Append(nil))
	}
}

func (b *Broker) flush() {
	for _, p := range b.Members.Out() {
		b.c.send(b, p.To, p.Data)
	}
}

func (c *Crew) send(from *Broker, to netip.AddrPort, data []byte) {
	c.Bytes += int64(len(data))
	c.Longest = max(c.Longest, len(data))
	a := to.Addr().As4()
	n := int(a[2])<<8 | int(a[3])
	copies := 1
	if c.rnd.Float64() < c.o.Twice {
		copies = 2
	}
	for range copies {
		if c.rnd.Float64() < c.o.Loss || n >= len(c.Brokers) || c.Cut != nil && c.Cut(from.n, n) {
			continue
		}
		late := time.Duration((0.5 + 0.5*c.rnd.ExpFloat64()) * float64(c.o.Delay))
		if c.rnd.IntN(1000) == 0 {
			late += time.Duration(c.rnd.Int64N(int64(3 * time.Second)))
		}
		c.at(c.now+late, func() { c.Brokers[n].take(from.addr, data) })
	}
}

func (b *Broker) take(from netip.AddrPort, data []byte) {
	if !b.Up {
		return
	}
	if b.Paused {
		if len(b.waiting) < 200 { // the socket's buffer
			b.waiting = append(b.waiting, func() { b.take(from, data) })
		}
		return
	}
	if b.c.o.AllToAll {
		a := from.Addr().As4()
		n := int(a[2])<<8 | int(a[3])
		b.beats[n] = b.c.now
		delete(b.dead, n)
		return
	}
	if b.n < b.c.o.Starved {
		b.c.at(b.c.now+time.Duration(b.c.rnd.ExpFloat64()*float64(b.c.o.Starve)), func() {
			b.Members.Take(from, data, b.clock())
			b.flush()
		})
		return
	}
	b.Members.Take(from, data, b.clock())
	b.flush()
	if b.woken > b.c.now+time.Millisecond { // what came may be due at once
		b.woken = b.c.now + time.Millisecond
		b.c.at(b.woken, func() {
			if b.woken <= b.c.now {
				b.tick()
			}
		})
	}
}

// beat is the plain way: a heartbeat of each to each, and dead is whoever was not heard for some beats.
func (b *Broker) beat() {
	if !b.Up || b.Paused {
		return
	}
	p := b.c.o.Policy
	for _, o := range b.c.Brokers {
		if o != b {
			b.c.send(b, o.addr, make([]byte, 20))
		}
		if at, heard := b.beats[o.n]; heard && !b.dead[o.n] && b.c.now-at > time.Duration(p.Suspicion*float64(p.Interval)) {
			b.dead[o.n] = true
			b.c.Buried = append(b.c.Buried, Burial{b.c.now, o.n, b.n, o.Up && !o.Paused})
		}
	}
	b.c.at(b.c.now+p.Interval, b.beat)
}

// Agreed tells whether all that are up hold the same ones for living, and exactly those that are up.
func (c *Crew) Agreed() bool {
	for _, b := range c.Brokers {
		if !b.Up || b.Paused {
			continue
		}
		living := map[string]bool{}
		for _, m := range b.Members.All() {
			if m.State <= members.Suspect {
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
