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
	Capacity, Used   int // in hand, own and foreign
	Draining         bool
	ShardUnavailable bool // no sound holder of one of its shards
}

// Admission is what becomes of a foreign search on its arrival.
type Admission uint8

const (
	Admit          Admission = iota // serve it
	Reject                          // refuse it: nothing of it has run here
	AlreadyRunning                  // it runs already: its answer goes to the link that asked last
	AlreadyEnded                    // it has ended: the verdict is told again
	StaleLink                       // it came over a link that a newer one has replaced: nothing is to be said
)

// memory is what the far side keeps of a foreign search that must not run twice.
type memory struct {
	until   time.Duration // its client's time is up by then, and a little more
	places  int
	running bool
	keep    bool // its verdict is kept, as it may be asked for again
}

// Receiver decides at the side that was forwarded to.
type Receiver struct {
	policy   Policy
	known    map[Key]*memory
	links    map[Origin]uint64 // the newest link of each near process
	foreign  int               // places that foreign searches take now
	running  int
	shed     time.Duration            // when an own search was last turned away
	ended    map[Origin]time.Duration // when the newest link of a near process ended
	Counters ReceiverCounters
}

// ReceiverCounters are what operators see.
type ReceiverCounters struct {
	Received   uint64 `json:"Came"`
	Admitted   uint64 `json:"Ran"`
	Rejected   uint64 `json:"TurnedAway"`
	Joined     uint64 `json:"Joined"`
	Repeated   uint64 `json:"Repeated"`
	Cancelled  uint64 `json:"CalledOff"`
	InFlight   int    `json:"InHand"`     // now
	Remembered int    `json:"Remembered"` // now
}

// NewReceiver makes the far side.
func NewReceiver(p Policy) *Receiver {
	return &Receiver{policy: p, known: map[Key]*memory{}, links: map[Origin]uint64{}, ended: map[Origin]time.Duration{}}
}

// LinkOpened takes it that a near process has opened a link; links are numbered in the order in which they come. Danger: what
// was written to an older one may still lie unread in its buffers. The near side asks again over the new one, is turned
// away, tells its client that asking again is harmless, and then the first copy runs. So older links are not heard any more.
func (f *Receiver) LinkOpened(o Origin, link uint64) {
	f.links[o] = max(f.links[o], link)
	delete(f.ended, o)
}

// LinkClosed forgets a near process whose newest link has ended, once nothing of it is remembered.
func (f *Receiver) LinkClosed(o Origin, link uint64, now time.Duration) {
	if f.links[o] == link {
		f.ended[o] = now
	}
}

// QueryShed takes it that an own search was turned away, though this side has holders for it.
func (f *Receiver) QueryShed(now time.Duration) { f.shed = max(1, now) }

// Shedding tells whether own searches were turned away lately.
func (f *Receiver) Shedding(now time.Duration) bool { return f.shed > 0 && now-f.shed < refusingFor }

// remember is how long after its client's time a search is still known: what crosses the link late must find it.
const remember = 2 * time.Second

// HandleQuery rules on a foreign search. Order of precedence: own searches come first. While they are turned away no foreign one
// is taken, and foreign ones take a stated share of the places at most. A search that is known runs no second time, however
// often and over whichever link it comes; where there is no room to remember another one it is turned away, as the memory
// is what keeps an effect from coming twice.
func (f *Receiver) HandleQuery(k Key, link uint64, effect decision.Idempotency, parts int, left time.Duration, l Load, now time.Duration) Admission {
	if link < f.links[k.Origin] {
		return StaleLink
	}
	f.Counters.Received++
	if m := f.known[k]; m != nil {
		if m.running {
			f.Counters.Joined++
			return AlreadyRunning
		}
		f.Counters.Repeated++
		return AlreadyEnded
	}
	places := 1 + parts
	if f.Shedding(now) || l.Draining || l.ShardUnavailable || left < f.policy.MinTimeLeft || len(f.known) >= f.policy.MaxRemembered ||
		float64(f.foreign+places) > f.policy.RemoteShare*float64(l.Capacity) || l.Used+places > l.Capacity {
		f.Counters.Rejected++
		return Reject
	}
	f.Counters.Admitted++
	f.foreign, f.running = f.foreign+places, f.running+1
	f.known[k] = &memory{until: now + left + remember, places: places, running: true, keep: effect != decision.Idempotent}
	f.count()
	return Admit
}

// QueryEnded takes it that a foreign search has its verdict here; keep tells that the verdict must be kept until forgotten.
func (f *Receiver) QueryEnded(k Key) (keep bool) {
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

// CancelledByLinkLoss takes it that the link of some search has ended, and tells whether to call it off. Nobody waits for an idempotent
// one any longer, as the near side does it again at once; the others may be asked for over the next link.
func (f *Receiver) CancelledByLinkLoss(k Key) (off bool) {
	m := f.known[k]
	return m != nil && m.running && !m.keep
}

// Cancel takes it that the near side has given a search up; what runs is called off.
func (f *Receiver) Cancel(k Key) (off bool) {
	if m := f.known[k]; m != nil && m.running {
		f.Counters.Cancelled++
		return true
	}
	return false
}

// ForgetExpired drops what nobody can ask for any more, and returns the keys whose verdict may go.
func (f *Receiver) ForgetExpired(now time.Duration) (gone []Key) {
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

func (f *Receiver) count() {
	f.Counters.Remembered, f.Counters.InFlight = len(f.known), f.running
}

// FreeShare is the share of the places for foreign searches that is free.
func (f *Receiver) FreeShare(places int) float64 {
	most := f.policy.RemoteShare * float64(places)
	if most <= 0 || len(f.known) >= f.policy.MaxRemembered {
		return 0
	}
	return max(0, 1-float64(f.foreign)/most)
}
