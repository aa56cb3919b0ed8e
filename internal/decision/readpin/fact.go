package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// fact is what is known of one shard at one holder, in moments of this broker's clock.
type fact struct {
	known bool
	pos   uint64        // it had this
	hi    time.Duration // at this moment at the latest
	lo    time.Duration // and it was last looked at no earlier than this
	asof  time.Duration // all that was acknowledged by then is in; never: not known
	lag   time.Duration // lo - asof when last looked at; Unknown
	tried time.Duration // when it was last sent a part though it was known to be behind
}

// age is the most that lies behind a head's age as a replica states it: its clock may run slow, and it may be wrong.
func (b *Tracker) age(head time.Duration) time.Duration {
	return b.long(head + b.c.ClockError)
}

// long is the most that a span may be that a clock measured.
func (b *Tracker) long(span time.Duration) time.Duration {
	return time.Duration(float64(span) / (1 - b.c.MaxDrift))
}

// asOf is the latest moment of which it is sure that all that was acknowledged by then is in an answer. The replica read no
// sooner than the part was sent; that it may have read later counts for nothing.
func (b *Tracker) asOf(sent time.Duration, r Report) time.Duration {
	if r.HeadAge == UnknownAge {
		return never
	}
	return sent - b.age(r.HeadAge)
}

// Observe takes what a replica said in an answer to a part that was sent at a moment and answered now.
func (b *Tracker) Observe(now time.Duration, id decision.NodeID, shard int, sent time.Duration, r Report) {
	at, known := b.byID[id]
	if !known {
		return
	}
	f := b.fact(&b.seats[at], shard)
	if f == nil {
		return
	}
	n := fact{known: true, pos: r.Offset, lo: sent, hi: now, asof: b.asOf(sent, r), lag: UnknownAge, tried: never}
	if n.asof != never {
		n.lag = sent - n.asof
	}
	b.merge(f, &n)
}

// merge keeps the best of two looks at a holder. A replica never goes back but by a restart: one that was surely looked at later
// and had less has restarted, and what was known before it holds no longer.
func (b *Tracker) merge(f, n *fact) {
	switch {
	case !f.known:
		*f = *n
		return
	case n.pos < f.pos && n.lo > f.hi:
		b.Counts.Regressed++
		*f = *n
		return
	case n.pos > f.pos && n.hi < f.lo: // of before such a restart
		return
	}
	if n.pos > f.pos || n.pos == f.pos && n.hi < f.hi {
		f.pos, f.hi = n.pos, n.hi
	}
	if n.lo > f.lo {
		f.lo, f.lag = n.lo, n.lag
	}
	f.asof = max(f.asof, n.asof)
}

// Promise is what an answer has to show before it counts as in.
type Promise struct {
	Offset     uint64
	AsOf       time.Duration // Never: any age will do
	ReceivedAt time.Duration // when the broker took the search
}

// DistantPast is the moment that every answer reaches.
const DistantPast = never

// Assessment is what an answer has shown.
type Assessment struct {
	Fresh  bool          // it keeps what it must
	Offset uint64        // 0: it did not say
	AsOf   time.Duration // what was acknowledged by then is in; Never: nothing is sure
}

// Assess holds the report of an answer against what it must show; told is false where there was none. The answer's own word decides,
// never what was known before: a replica may have restarted since.
func (b *Tracker) Assess(m Promise, sent time.Duration, r Report, told bool) (s Assessment) {
	s.AsOf = DistantPast
	if told {
		s.Offset, s.AsOf = r.Offset, b.asOf(sent, r)
	}
	drifted := b.long(sent-m.ReceivedAt) - (sent - m.ReceivedAt)
	if s.Fresh = s.Offset >= m.Offset && (m.AsOf == DistantPast || s.AsOf-drifted >= m.AsOf); s.Fresh {
		b.Counts.Fresh++
	} else {
		b.Counts.Old++
	}
	return s
}

// Staleness is the most by which an answer that leaves now may lack what was acknowledged, rounded up to a millisecond.
func (b *Tracker) Staleness(now, asof time.Duration) time.Duration {
	old := b.long(now - asof)
	return (old + time.Millisecond - 1) / time.Millisecond * time.Millisecond
}

// StalenessBound is what a broker may rely on of a holder without asking it: the most by which it may be behind now. Unknown: nothing.
func (b *Tracker) StalenessBound(now time.Duration, id decision.NodeID, shard int) time.Duration {
	if at, known := b.byID[id]; known {
		if f := b.fact(&b.seats[at], shard); f != nil && f.known && f.asof != never {
			return b.Staleness(now, f.asof)
		}
	}
	return UnknownAge
}
