package crew

// This file owns one emulated broker: its clock, its turns, what it sends and takes.

import (
	"net/netip"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
)

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
	b.Members = membership.New(p, Name(b.n), b.addr, 1, uint32(b.starts), seeds)
	b.Duties = ownership.NewCoordinator(c.o.Lease, uint32(membership.IDOf(Name(b.n))), c.o.Duties, b.clock())
	b.view = nil
	b.beats, b.dead = map[int]time.Duration{}, map[int]bool{}
	if c.o.AllToAll {
		b.beat()
		return
	}
	b.tick()
}

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
	for _, note := range b.Members.DrainBroadcasts() {
		if cl, ok := ownership.DecodeClaim(note); ok && b.Duties.HandleClaim(cl, now) {
			b.Members.Broadcast(uint64(cl.Job), note)
		}
	}
	changes := b.Members.DrainChanges()
	for _, ch := range changes {
		if ch.Member.State == membership.Dead {
			who := -1
			for i := range b.c.Brokers {
				if membership.IDOf(Name(i)) == ch.Member.ID {
					who = i
				}
			}
			o := b.c.Brokers[who]
			b.c.Buried = append(b.c.Buried, Burial{b.c.now, who, b.n, o.Up && !o.Paused})
		}
	}
	if b.view == nil || len(changes) > 0 {
		b.view = b.view[:0]
		for _, m := range b.Members.Members() {
			if m.State <= membership.Suspect {
				b.view = append(b.view, ownership.Member{ID: uint32(m.ID), Weight: m.Weight})
			}
		}
	}
	b.Duties.SetMembers(b.view, b.Members.LastContact())
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
func (b *Broker) done(r ownership.Run) {
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
			taken = o.Duties.AcceptFence(r.Job, r.Fence) && taken
		}
	}
	if taken {
		b.c.Runs = append(b.c.Runs, Run{r.Job, b.n, b.c.now, r.Fence})
	}
	b.Duties.RunEnded(r, taken, b.clock())
	b.tell()
	b.flush()
}

func (b *Broker) tell() {
	for _, cl := range b.Duties.DrainClaims() {
		b.Members.Broadcast(uint64(cl.Job), cl.AppendTo(nil))
	}
}

func (b *Broker) flush() {
	for _, p := range b.Members.DrainPackets() {
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
			b.Members.HandleDatagram(from, data, b.clock())
			b.flush()
		})
		return
	}
	b.Members.HandleDatagram(from, data, b.clock())
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
		if at, heard := b.beats[o.n]; heard && !b.dead[o.n] && b.c.now-at > time.Duration(p.SuspicionFactor*float64(p.ProbeInterval)) {
			b.dead[o.n] = true
			b.c.Buried = append(b.c.Buried, Burial{b.c.now, o.n, b.n, o.Up && !o.Paused})
		}
	}
	b.c.at(b.c.now+p.ProbeInterval, b.beat)
}
