package crew

// This file implements a simulated broker: its clock, its steps, and the datagrams that it sends and receives.

import (
	"net/netip"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
)

func (b *Broker) clock() time.Duration { return b.cluster.now + b.clockSkew }

func (b *Broker) start() {
	cluster := b.cluster
	b.Up, b.Paused = true, false
	b.startCount++
	p := cluster.o.Policy
	p.Seed = cluster.rnd.Uint64()
	var seeds []netip.AddrPort
	for i := range min(3, len(cluster.Brokers)) {
		seeds = append(seeds, cluster.Brokers[i].addr)
	}
	b.Members = membership.New(p, Name(b.index), b.addr, 1, uint32(b.startCount), seeds)
	b.Jobs = ownership.NewCoordinator(cluster.o.Lease, uint32(membership.IDOf(Name(b.index))), cluster.o.Jobs, b.clock())
	b.view = nil
	b.heardAt, b.dead = map[int]time.Duration{}, map[int]bool{}
	if cluster.o.AllToAll {
		b.heartbeat()
		return
	}
	b.tick()
}

// tick runs a step of the broker's event loop if it is up and not paused.
func (b *Broker) tick() {
	if !b.Up || b.Paused {
		return
	}
	b.step()
}

func (b *Broker) step() {
	now := b.clock()
	next := b.Members.Tick(now)
	for _, note := range b.Members.DrainBroadcasts() {
		if cl, ok := ownership.DecodeClaim(note); ok && b.Jobs.HandleClaim(cl, now) {
			b.Members.Broadcast(uint64(cl.Job), note)
		}
	}
	changes := b.Members.DrainChanges()
	for _, ch := range changes {
		if ch.Member.State == membership.Dead {
			who := -1
			for i := range b.cluster.Brokers {
				if membership.IDOf(Name(i)) == ch.Member.ID {
					who = i
				}
			}
			o := b.cluster.Brokers[who]
			b.cluster.Deaths = append(b.cluster.Deaths, DeathReport{b.cluster.now, who, b.index, o.Up && !o.Paused})
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
	b.Jobs.SetMembers(b.view, b.Members.LastContact())
	runs, at := b.Jobs.Tick(now)
	for _, r := range runs {
		b.cluster.at(b.cluster.now+5*time.Millisecond, func() { b.finishRun(r) })
	}
	b.broadcastClaims()
	b.flush()
	due := b.cluster.now + min(next, at) - now
	if b.index < b.cluster.o.StarvedBrokers { // a starved broker gets its core late
		due += time.Duration(b.cluster.rnd.ExpFloat64() * float64(b.cluster.o.StarveDelay))
	}
	if due < b.wakeAt || b.wakeAt <= b.cluster.now {
		b.wakeAt = due
		b.cluster.at(due, func() {
			if b.wakeAt <= b.cluster.now {
				b.tick()
			}
		})
	}
}

// finishRun is called when a run takes effect: the other brokers accept it unless they know of a later owner.
func (b *Broker) finishRun(r ownership.Run) {
	if !b.Up {
		return
	}
	if b.Paused {
		b.deferred = append(b.deferred, func() { b.finishRun(r) })
		return
	}
	taken := true
	for _, o := range b.cluster.Brokers {
		if o.Up && !o.Paused && (b.cluster.Blocked == nil || !b.cluster.Blocked(b.index, o.index)) {
			taken = o.Jobs.AcceptFence(r.Job, r.Fence) && taken
		}
	}
	if taken {
		b.cluster.Runs = append(b.cluster.Runs, Run{r.Job, b.index, b.cluster.now, r.Fence})
	}
	b.Jobs.RunEnded(r, taken, b.clock())
	b.broadcastClaims()
	b.flush()
}

func (b *Broker) broadcastClaims() {
	for _, cl := range b.Jobs.DrainClaims() {
		b.Members.Broadcast(uint64(cl.Job), cl.AppendTo(nil))
	}
}

func (b *Broker) flush() {
	for _, p := range b.Members.DrainPackets() {
		b.cluster.send(b, p.To, p.Data)
	}
}

func (c *Cluster) send(from *Broker, to netip.AddrPort, data []byte) {
	c.Bytes += int64(len(data))
	c.LongestDatagram = max(c.LongestDatagram, len(data))
	a := to.Addr().As4()
	index := int(a[2])<<8 | int(a[3])
	copies := 1
	if c.rnd.Float64() < c.o.Duplicates {
		copies = 2
	}
	for range copies {
		if c.rnd.Float64() < c.o.Loss || index >= len(c.Brokers) || c.Blocked != nil && c.Blocked(from.index, index) {
			continue
		}
		late := time.Duration((0.5 + 0.5*c.rnd.ExpFloat64()) * float64(c.o.Delay))
		if c.rnd.IntN(1000) == 0 {
			late += time.Duration(c.rnd.Int64N(int64(3 * time.Second)))
		}
		c.at(c.now+late, func() { c.Brokers[index].receive(from.addr, data) })
	}
}

func (b *Broker) receive(from netip.AddrPort, data []byte) {
	if !b.Up {
		return
	}
	if b.Paused {
		if len(b.deferred) < 200 { // size of the socket's buffer
			b.deferred = append(b.deferred, func() { b.receive(from, data) })
		}
		return
	}
	if b.cluster.o.AllToAll {
		a := from.Addr().As4()
		index := int(a[2])<<8 | int(a[3])
		b.heardAt[index] = b.cluster.now
		delete(b.dead, index)
		return
	}
	if b.index < b.cluster.o.StarvedBrokers {
		b.cluster.at(b.cluster.now+time.Duration(b.cluster.rnd.ExpFloat64()*float64(b.cluster.o.StarveDelay)), func() {
			b.Members.HandleDatagram(from, data, b.clock())
			b.flush()
		})
		return
	}
	b.Members.HandleDatagram(from, data, b.clock())
	b.flush()
	if b.wakeAt > b.cluster.now+time.Millisecond { // a datagram may have made something due at once
		b.wakeAt = b.cluster.now + time.Millisecond
		b.cluster.at(b.wakeAt, func() {
			if b.wakeAt <= b.cluster.now {
				b.tick()
			}
		})
	}
}

// heartbeat implements the method for comparison: every broker sends to every other, and a broker that was not heard for
// SuspicionFactor intervals counts as dead.
func (b *Broker) heartbeat() {
	if !b.Up || b.Paused {
		return
	}
	p := b.cluster.o.Policy
	for _, o := range b.cluster.Brokers {
		if o != b {
			b.cluster.send(b, o.addr, make([]byte, 20))
		}
		if at, heard := b.heardAt[o.index]; heard && !b.dead[o.index] && b.cluster.now-at > time.Duration(p.SuspicionFactor*float64(p.ProbeInterval)) {
			b.dead[o.index] = true
			b.cluster.Deaths = append(b.cluster.Deaths, DeathReport{b.cluster.now, o.index, b.index, o.Up && !o.Paused})
		}
	}
	b.cluster.at(b.cluster.now+p.ProbeInterval, b.heartbeat)
}
