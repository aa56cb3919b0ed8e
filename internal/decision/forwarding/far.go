package forwarding

// This file owns the side that serves another site's searches: its own come first, and one that comes twice runs once.

import (
	"time"

	"flaxfront/internal/decision"
)

// Origin names a near process: the broker's link and the epoch of its process.
type Origin struct {
	Name  string
	Epoch uint64
}

// Key names a search across sites.
type Key struct {
	Origin Origin
	ID     uint64
}

// refusingFor is how long after an own search was turned away this side counts as refusing.
const refusingFor = 500 * time.Millisecond

// Load is the far side's own picture when a foreign search comes.
type Load struct {
	Places, Taken int // in hand, own and foreign
	Stopping      bool
	Lacking       bool // no sound holder of one of its shards
}

// Ruling is what becomes of a foreign search on its arrival.
type Ruling uint8

const (
	Run    Ruling = iota // serve it
	Turn                 // refuse it: nothing of it has run here
	Join                 // it runs already: its answer goes to the link that asked last
	Repeat               // it has ended: the verdict is told again
	Stale                // it came over a link that a newer one has replaced: nothing is to be said
)

// memory is what the far side keeps of a foreign search that must not run twice.
type memory struct {
	until   time.Duration // its client's time is up by then, and a little more
	places  int
	running bool
	keep    bool // its verdict is kept, as it may be asked for again
}

// Far decides at the side that was forwarded to.
type Far struct {
	policy  Policy
	known   map[Key]*memory
	links   map[Origin]uint64 // the newest link of each near process
	foreign int               // places that foreign searches take now
	running int
	shed    time.Duration            // when an own search was last turned away
	ended   map[Origin]time.Duration // when the newest link of a near process ended
	Counts  FarCounts
}

// FarCounts are what operators see.
type FarCounts struct {
	Came       uint64 `json:"Came"`
	Ran        uint64 `json:"Ran"`
	TurnedAway uint64 `json:"TurnedAway"`
	Joined     uint64 `json:"Joined"`
	Repeated   uint64 `json:"Repeated"`
	CalledOff  uint64 `json:"CalledOff"`
	InHand     int    `json:"InHand"`     // now
	Remembered int    `json:"Remembered"` // now
}

// NewFar makes the far side.
func NewFar(p Policy) *Far {
	return &Far{policy: p, known: map[Key]*memory{}, links: map[Origin]uint64{}, ended: map[Origin]time.Duration{}}
}

// Opened takes it that a near process has opened a link; links are numbered in the order in which they come. Danger: what
// was written to an older one may still lie unread in its buffers. The near side asks again over the new one, is turned
// away, tells its client that asking again is harmless, and then the first copy runs. So older links are not heard any more.
func (f *Far) Opened(o Origin, link uint64) {
	f.links[o] = max(f.links[o], link)
	delete(f.ended, o)
}

// Closed forgets a near process whose newest link has ended, once nothing of it is remembered.
func (f *Far) Closed(o Origin, link uint64, now time.Duration) {
	if f.links[o] == link {
		f.ended[o] = now
	}
}

// Shed takes it that an own search was turned away, though this side has holders for it.
func (f *Far) Shed(now time.Duration) { f.shed = max(1, now) }

// Refusing tells whether own searches were turned away lately.
func (f *Far) Refusing(now time.Duration) bool { return f.shed > 0 && now-f.shed < refusingFor }

// remember is how long after its client's time a search is still known: what crosses the link late must find it.
const remember = 2 * time.Second

// Arrive rules on a foreign search. Order of precedence: own searches come first. While they are turned away no foreign one
// is taken, and foreign ones take a stated share of the places at most. A search that is known runs no second time, however
// often and over whichever link it comes; where there is no room to remember another one it is turned away, as the memory
// is what keeps an effect from coming twice.
func (f *Far) Arrive(k Key, link uint64, effect decision.Idempotency, parts int, left time.Duration, l Load, now time.Duration) Ruling {
	if link < f.links[k.Origin] {
		return Stale
	}
	f.Counts.Came++
	if m := f.known[k]; m != nil {
		if m.running {
			f.Counts.Joined++
			return Join
		}
		f.Counts.Repeated++
		return Repeat
	}
	places := 1 + parts
	if f.Refusing(now) || l.Stopping || l.Lacking || left < f.policy.LeastLeft || len(f.known) >= f.policy.MostRemember ||
		float64(f.foreign+places) > f.policy.Accept*float64(l.Places) || l.Taken+places > l.Places {
		f.Counts.TurnedAway++
		return Turn
	}
	f.Counts.Ran++
	f.foreign, f.running = f.foreign+places, f.running+1
	f.known[k] = &memory{until: now + left + remember, places: places, running: true, keep: effect != decision.Idempotent}
	f.count()
	return Run
}

// Ended takes it that a foreign search has its verdict here; keep tells that the verdict must be kept until forgotten.
func (f *Far) Ended(k Key) (keep bool) {
	m := f.known[k]
	if m == nil || !m.running {
		return false
	}
	m.running = false
	f.foreign, f.running = f.foreign-m.places, f.running-1
	if keep = m.keep; !keep {
		delete(f.known, k) // asked again, it may as well run again
	}
	f.count()
	return keep
}

// Cut takes it that the link of some search has ended, and tells whether to call it off. Nobody waits for an idempotent
// one any longer, as the near side does it again at once; the others may be asked for over the next link.
func (f *Far) Cut(k Key) (off bool) {
	m := f.known[k]
	return m != nil && m.running && !m.keep
}

// Cancel takes it that the near side has given a search up; what runs is called off.
func (f *Far) Cancel(k Key) (off bool) {
	if m := f.known[k]; m != nil && m.running {
		f.Counts.CalledOff++
		return true
	}
	return false
}

// Forget drops what nobody can ask for any more, and returns the keys whose verdict may go.
func (f *Far) Forget(now time.Duration) (gone []Key) {
	heard := map[Origin]bool{}
	for k, m := range f.known {
		if !m.running && m.until <= now {
			delete(f.known, k)
			gone = append(gone, k)
		} else {
			heard[k.Origin] = true
		}
	}
	for o := range f.links {
		if !heard[o] && f.ended[o] > 0 && now-f.ended[o] > remember {
			delete(f.links, o) // its process will not come back over that link
			delete(f.ended, o)
		}
	}
	f.count()
	return gone
}

func (f *Far) count() {
	f.Counts.Remembered, f.Counts.InHand = len(f.known), f.running
}

// Room is the share of the places for foreign searches that is free.
func (f *Far) Room(places int) float64 {
	most := f.policy.Accept * float64(places)
	if most <= 0 || len(f.known) >= f.policy.MostRemember {
		return 0
	}
	return max(0, 1-float64(f.foreign)/most)
}
