package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// Requirement is what a search wants of its reads.
type Requirement struct {
	Pin          uint64        // see PinOf; 0: it is not pinned
	ReceivedAt   time.Duration // when the broker took it
	MaxStaleness time.Duration // what was acknowledged so long before that must be in; 0: any age will do
	AllowStale   bool          // where that can't be had, what there is will do
}

// HashPin numbers a pin; all brokers number it alike.
func HashPin(scope, key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(scope) {
		h = (h ^ uint64(scope[i])) * 1099511628211
	}
	h = (h ^ ':') * 1099511628211
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return max(1, h)
}

// mix scatters a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// score is the rendezvous weight of a node for a pin's part: the highest comes first. Where a node goes, only the pins that had it
// first move, each to its own second.
func score(pin uint64, shard int, id decision.NodeID) uint64 {
	n := uint64(id.Addr[0])<<40 | uint64(id.Addr[1])<<32 | uint64(id.Addr[2])<<24 | uint64(id.Addr[3])<<16 | uint64(id.Port)
	return mix(mix(pin+uint64(shard)*0x9e3779b97f4a7c15) ^ n*0x9e3779b97f4a7c15)
}

// ranked is a holder in a pin's order.
type ranked struct {
	at      int32
	inEpoch bool
	score   uint64
}

func (r *ranked) before(o *ranked) bool {
	if r.inEpoch != o.inEpoch {
		return r.inEpoch
	}
	return r.score > o.score
}

// rank puts the holders of a shard in a pin's order, those included that left a short while ago. There are few.
func (b *Tracker) rank(pin uint64, shard int) []ranked {
	b.ranked = b.ranked[:0]
	for j := range b.c.CellsPerShard {
		for _, at := range b.cells[(shard+j)%b.c.Cells] {
			s := &b.seats[at]
			r := ranked{at: at, inEpoch: s.inEpoch, score: score(pin, shard, s.id)}
			b.ranked = append(b.ranked, r)
			i := len(b.ranked) - 1
			for ; i > 0 && r.before(&b.ranked[i-1]); i-- {
				b.ranked[i] = b.ranked[i-1]
			}
			b.ranked[i] = r
		}
	}
	return b.ranked
}

// EligibleReplicas appends the holders that may answer a part, in the pin's order, and tells what the answer must show. need is the position
// that its client has seen; 0: none. Where there is no holder, back is when to come again at the soonest.
//
// A holder is left out while it is known to be behind: it was looked at a short while ago, and lacked a position or the bound. One
// of which less is known may have come up since, and its answer will tell: a bound on what this broker knows would leave out most
// of those that are well, and crowd the one that it heard of last. So what is chosen is a hope, and Judge is the proof.
//
// Danger: a session that moves to another replica would go backwards. The first in a pin's order is taken to have served what it is
// known to have had, also for a while after it left: whoever answers in its place must have come as far.
func (b *Tracker) EligibleReplicas(now time.Duration, shard int, need uint64, a *Requirement, dst []decision.NodeID) (_ []decision.NodeID, m Promise, back time.Duration) {
	m = Promise{need, DistantPast, a.ReceivedAt}
	if shard < 0 || shard >= b.c.Shards {
		return dst, m, 0
	}
	if a.MaxStaleness > 0 {
		m.AsOf = a.ReceivedAt - time.Duration(float64(a.MaxStaleness)*(1-b.c.MaxDrift))
	}
	all := b.rank(a.Pin, shard)
	if a.Pin != 0 && len(all) > 0 {
		if f := b.fact(&b.seats[all[0].at], shard); f.known {
			m.Offset = max(m.Offset, f.pos)
		}
	}
	from, over := len(dst), 0
	back = always
	for pass := range 2 { // the second where all that is fresh enough is at its pin's limit
		first := true
		for i := range all {
			s := &b.seats[all[i].at]
			if !s.ready {
				continue
			}
			f := b.fact(s, shard)
			if wait := b.behind(now, f, &m, a); wait > 0 {
				back = min(back, wait)
				continue
			}
			if pass == 0 && a.Pin != 0 && b.full(now, a.Pin, s) {
				over++
				continue
			}
			if pass == 0 && first && over > 0 {
				b.Counts.Spilled++
			}
			first = false
			dst = append(dst, s.id)
		}
		if len(dst) > from || over == 0 {
			break
		}
	}
	for _, id := range dst[from:] {
		if f := b.fact(&b.seats[b.byID[id]], shard); f.known && (f.pos < m.Offset || b.late(f, &m, a)) {
			f.tried = now
		}
		if a.Pin != 0 {
			break // the others are for copies and resends
		}
	}
	switch {
	case len(dst) > from:
		b.Counts.Chosen++
		return dst, m, 0
	case a.AllowStale:
		b.Counts.OrStale++
		for i := range all {
			if s := &b.seats[all[i].at]; s.ready {
				dst = append(dst, s.id)
			}
		}
	default:
		b.Counts.Refused++
	}
	if back == always {
		back = 0 // nobody is there
	}
	return dst, m, back
}

// late tells whether a holder was further behind than the bound when it was last looked at, or did not say.
func (b *Tracker) late(f *fact, m *Promise, a *Requirement) bool {
	return f.asof < m.AsOf && (f.lag == UnknownAge || f.lag > a.MaxStaleness)
}

// behind is how long a holder is left out still; 0: it is eligible.
func (b *Tracker) behind(now time.Duration, f *fact, m *Promise, a *Requirement) time.Duration {
	late := f.known && b.late(f, m, a)
	if !f.known || f.pos >= m.Offset && !late {
		return 0
	}
	hold := b.c.RecheckInterval
	if late && f.lag != UnknownAge {
		hold += min(max(0, f.lag-a.MaxStaleness)/4, 2*time.Second)
	}
	return max(0, max(f.lo, f.tried)+hold-now)
}
