// Package routes decides what becomes of a search between two sites: whether one that the own site has given up is
// forwarded, to whom and with how much time; what a lost link means for it; and at the other end whether a forwarded search
// is taken, and that one which comes twice runs once. Nothing here does I/O, reads a clock or starts a goroutine.
//
// The near side forwards nothing but what the decision module sheds, so that the ordinary path stays as it is, and so that
// rule 2 holds by the module's own word: it sheds only what may be asked again without harm. A search makes one hop at most.
//
// Depends on decision/broker. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package routes

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision/broker"
)

// Policy holds what operators may set.
type Policy struct {
	Share      float64       // searches forwarded, as a share of those taken
	Burst      float64       // saved up at most
	MostAbroad int           // at once, over all links
	LeastLeft  time.Duration // a search with less time left is not forwarded
	Speak      time.Duration // kept of a client's time for the answer of the near side
	Resume     time.Duration // how long a lost search waits for its link to come back

	Accept       float64 // at the far side: places that foreign searches may take, as a share of all
	MostRemember int     // foreign searches remembered at once
}

const (
	statusFor   = 2 * time.Second // hearsay on the other side counts so long
	ownFor      = 500 * time.Millisecond
	refusedOnce = 100 * time.Millisecond // a link that refused gets nothing for so long, doubling
	refusedMost = 2 * time.Second
	smooth      = 0.2 // weight of one answer in the time that a link's answers take
)

// Peer numbers a link to a broker of another site.
type Peer int

// Status is what the other side says of itself: hearsay, dated when it came.
type Status struct {
	Room     float64 // share of the places for foreign searches that is free
	Refusing bool    // it turns its own searches away
	Stopping bool    // a planned stop: nothing new
	Lacking  []int   // shards of which it has no sound holder
}

// Search is what routes know of one.
type Search struct {
	ID      uint64 // unique while this broker runs
	Effect  broker.Effect
	Window  time.Duration // tokened: how long repeats are dropped
	Due     time.Duration // when its client gives up
	Shards  []int
	Foreign bool // it came from another site
	Home    bool // it was brought back once
}

// Kind tells what is to be done.
type Kind uint8

const (
	Forward Kind = iota + 1 // ID, Peer, Left, Again
	Cancel                  // ID, Peer: the far side may stop
	Home                    // ID, Left, Risk: serve it here, in the time that is left
	Shed                    // ID: final
	Fail                    // ID: final
	Log                     // Text: a change of mode
)

// Act is one thing to do.
type Act struct {
	Kind  Kind
	ID    uint64
	Peer  Peer
	Left  time.Duration
	Again bool // it may have come there before
	Risk  bool // it may have run: it must not be shed here either, unless it is idempotent
	Text  string
}

// Ended tells how a forwarded search came back.
type Ended uint8

const (
	Answered Ended = iota
	Refused        // by the far side: nothing of it has run, or it may be asked again
	Failed         // it may have run
)

// stage is where a forwarded search is.
type stage uint8

const (
	out  stage = iota // forwarded over a link that stands
	lost              // its link ended; it may have run
)

// trip is one search abroad.
type trip struct {
	Search
	peer  Peer
	epoch uint64 // of the far process
	stage stage
	sent  time.Duration // when it was first forwarded
	risk  bool          // it was written to a link that ended; a later copy that never left proves nothing
	until time.Duration // lost: how long it waits for its link
}

// peer is what the near side knows of one link.
type peer struct {
	name    string
	up      bool
	epoch   uint64
	credit  int // searches that may be out
	abroad  int
	rtt     time.Duration
	took    time.Duration // what its answers take, smoothed
	status  Status
	heard   time.Duration // when the status came
	good    time.Duration // when it last answered a search
	penalty time.Duration // after the next refusal
	until   time.Duration // refused: nothing until then
	closed  bool          // logged as not taking anything
}

// Near decides at the side that a client asked.
type Near struct {
	policy Policy
	peers  []peer
	trips  map[uint64]*trip
	tokens float64
	acts   []Act
	Counts NearCounts
}

// NearCounts are what operators see.
type NearCounts struct {
	Forwarded, Answered, RefusedThere, FailedThere uint64
	Lost, Resumed, BroughtHome, GivenUp            uint64 // of those whose link ended, or whose time did
	NoBudget, NoPeer, NoTime                       uint64 // shed here, as they could not be forwarded
	Abroad                                         int    // now
}

// NewNear makes the near side of some links, which are down.
func NewNear(p Policy, names []string) *Near {
	n := &Near{policy: p, trips: map[uint64]*trip{}, tokens: p.Burst}
	for _, name := range names {
		n.peers = append(n.peers, peer{name: name})
	}
	return n
}

func (n *Near) act(a Act) { n.acts = append(n.acts, a) }

// Acts hands over what is to be done since the last call, in its order.
func (n *Near) Acts() []Act {
	acts := n.acts
	n.acts = nil
	return acts
}

// Taken counts a search of the own site; each earns a share of a forward.
func (n *Near) Taken() { n.tokens = min(n.policy.Burst, n.tokens+n.policy.Share) }

// Offer asks, of a search that the module sheds, whether it goes abroad; false: it is shed as the module says.
func (n *Near) Offer(s Search, now time.Duration) bool {
	if s.Foreign || s.Home {
		return false // never a second hop, never back and forth
	}
	if n.tokens < 1 || len(n.trips) >= n.policy.MostAbroad {
		n.Counts.NoBudget++
		return false
	}
	at, inTime := n.choose(s, now)
	if at < 0 {
		if inTime {
			n.Counts.NoPeer++
		} else {
			n.Counts.NoTime++
		}
		return false
	}
	p := &n.peers[at]
	n.tokens--
	p.abroad++
	n.trips[s.ID] = &trip{Search: s, peer: at, epoch: p.epoch, sent: now}
	n.Counts.Forwarded++
	n.Counts.Abroad = len(n.trips)
	n.act(Act{Kind: Forward, ID: s.ID, Peer: at, Left: n.left(s.Due, p, now)})
	return true
}

// left is the time that the far side gets: it gives up first, so that this side can still speak.
func (n *Near) left(due time.Duration, p *peer, now time.Duration) time.Duration {
	return due - now - n.policy.Speak - p.rtt
}

// choose picks the link with most room that would serve a search in time; inTime false: for want of time only.
func (n *Near) choose(s Search, now time.Duration) (best Peer, inTime bool) {
	best, inTime = -1, true
	for i := range n.peers {
		p := &n.peers[i]
		if !n.usable(p, now) || lacks(&p.status, s.Shards) {
			continue
		}
		if left := n.left(s.Due, p, now); left < max(n.policy.LeastLeft, p.took-p.rtt) {
			inTime = best >= 0
			continue
		}
		if best < 0 || p.credit-p.abroad > n.peers[best].credit-n.peers[best].abroad {
			best, inTime = Peer(i), true
		}
	}
	return best, inTime
}

// usable tells whether a link takes another search. What the other side says of itself is hearsay, and dated; what it did
// with our own searches weighs more, in both directions: a refusal closes the link for a while whatever it says, and an
// answer since its last word opens it. That it stops is its own to say.
func (n *Near) usable(p *peer, now time.Duration) bool {
	if !p.up || p.status.Stopping || p.abroad >= p.credit || now < p.until {
		return false
	}
	if p.good > p.heard && now-p.good < ownFor {
		return true
	}
	known := p.heard > 0 && now-p.heard < statusFor
	return known && !p.status.Refusing && p.status.Room > 0
}

// lacks tells whether the other side has no sound holder of a shard. Its nodes are its own word.
func lacks(s *Status, shards []int) bool {
	return slices.ContainsFunc(shards, func(shard int) bool { return slices.Contains(s.Lacking, shard) })
}

// Up takes it that a link stands, to a far process that its epoch names. What was lost over it is asked again there if it
// is the same process, which remembers; another one can't tell what the first has run.
func (n *Near) Up(at Peer, epoch uint64, credit int, now time.Duration) {
	p := &n.peers[at]
	p.up, p.epoch, p.credit, p.status, p.heard, p.until, p.penalty = true, epoch, credit, Status{}, 0, 0, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == lost && t.peer == at }) {
		if left := n.left(t.Due, p, now); t.epoch == epoch && left > 0 {
			t.stage = out
			p.abroad++
			n.Counts.Resumed++
			n.act(Act{Kind: Forward, ID: t.ID, Peer: at, Left: left, Again: true})
		} else {
			n.settle(t, now)
		}
	}
}

// Down takes it that a link has ended. unsent are the searches of it that were never handed to the network.
func (n *Near) Down(at Peer, unsent []uint64, now time.Duration) {
	p := &n.peers[at]
	p.up, p.abroad = false, 0
	for _, t := range n.ordered(func(t *trip) bool { return t.stage == out && t.peer == at }) {
		n.Counts.Lost++
		if slices.Contains(unsent, t.ID) && !t.risk {
			n.bring(t, now, true)
			continue
		}
		t.risk, t.stage, t.until = true, lost, min(now+n.policy.Resume, t.Due-n.policy.Speak)
		if t.Effect == broker.Idempotent {
			n.settle(t, now) // what can be done again here need not wait
		}
	}
}

// settle decides on a search that is known only as "may have run".
func (n *Near) settle(t *trip, now time.Duration) {
	switch {
	case t.Effect == broker.Idempotent:
		n.bring(t, now, true)
	case t.Effect == broker.Tokened && now <= t.sent+t.Window:
		n.bring(t, now, false)
	default:
		n.end(t, Fail)
	}
}

// bring serves a search here after all, if there is time; else it ends. harmless: asking it again does no harm, so that it
// may be shed.
func (n *Near) bring(t *trip, now time.Duration, harmless bool) {
	left := t.Due - now
	if !harmless { // no part of it may leave after its window
		left = min(left, t.sent+t.Window-now)
	}
	switch {
	case left > n.policy.LeastLeft:
		n.Counts.BroughtHome++
		n.end(t, Home)
		home := &n.acts[len(n.acts)-1]
		home.Left, home.Risk = left, !harmless
	case harmless && t.Due-now > 0:
		n.end(t, Shed)
	default:
		n.end(t, Fail)
	}
}

// end forgets a trip with its last act.
func (n *Near) end(t *trip, how Kind) {
	if p := &n.peers[t.peer]; t.stage == out && p.up {
		p.abroad--
	}
	delete(n.trips, t.ID)
	n.Counts.Abroad = len(n.trips)
	n.act(Act{Kind: how, ID: t.ID})
}

// Back takes the far side's verdict on a search. It tells whether it is the search's final answer as it stands: an answer
// is, and so is a failure; a refusal ends as one here. One that is no longer abroad, or came back before, says nothing.
func (n *Near) Back(at Peer, id uint64, how Ended, now time.Duration) (final bool) {
	t := n.trips[id]
	if t == nil || t.peer != at || t.stage != out {
		return false
	}
	p := &n.peers[at]
	switch how {
	case Refused:
		// Danger: two overloaded sites hand each other what neither can serve. Each refusal closes the link for longer.
		n.Counts.RefusedThere++
		p.penalty = min(refusedMost, max(refusedOnce, 2*p.penalty))
		p.until = now + p.penalty
		n.end(t, Shed)
		return false
	case Answered:
		n.Counts.Answered++
		p.good, p.penalty, p.until = now, 0, 0
		p.took += time.Duration(smooth * float64(now-t.sent-p.took))
	default:
		n.Counts.FailedThere++
	}
	p.abroad--
	delete(n.trips, id)
	n.Counts.Abroad = len(n.trips)
	return true
}

// Heard takes what the other side says of itself, and the round trip as the link measures it.
func (n *Near) Heard(at Peer, s Status, rtt, now time.Duration) {
	p := &n.peers[at]
	p.status, p.heard, p.rtt = s, now, rtt
	if closed := s.Refusing || s.Stopping || s.Room <= 0; closed != p.closed {
		p.closed = closed
		text := p.name + " takes searches again"
		if closed {
			text = p.name + " takes no searches: " + s.why()
		}
		n.act(Act{Kind: Log, Text: text})
	}
}

func (s *Status) why() string {
	switch {
	case s.Stopping:
		return "it stops"
	case s.Refusing:
		return "it refuses its own"
	default:
		return "no room"
	}
}

// Gone takes it that a client has gone away; the far side may stop.
func (n *Near) Gone(id uint64) {
	if t := n.trips[id]; t != nil {
		n.cancel(t)
		if p := &n.peers[t.peer]; t.stage == out && p.up {
			p.abroad--
		}
		delete(n.trips, id)
		n.Counts.Abroad = len(n.trips)
	}
}

func (n *Near) cancel(t *trip) {
	if t.stage == out && n.peers[t.peer].up {
		n.act(Act{Kind: Cancel, ID: t.ID, Peer: t.peer})
	}
}

// Tick ends what has run out of time, and tells when to come again.
func (n *Near) Tick(now time.Duration) (next time.Duration) {
	next = 1<<63 - 1
	for _, t := range n.ordered(func(t *trip) bool {
		at := n.due(t)
		if at > now {
			next = min(next, at)
		}
		return at <= now
	}) {
		if t.stage == lost && now < t.Due-n.policy.Speak {
			n.settle(t, now) // its link has not come back in time
			continue
		}
		n.Counts.GivenUp++
		n.cancel(t)
		if t.Effect == broker.Idempotent && now < t.Due {
			n.end(t, Shed)
		} else {
			n.end(t, Fail)
		}
	}
	return next
}

// due is when something must be decided on a trip whatever comes.
func (n *Near) due(t *trip) time.Duration {
	last := t.Due - n.policy.Speak
	if t.stage == lost {
		return min(last, t.until)
	}
	return last
}

// ordered lists trips by id, as chance must have no part in it.
func (n *Near) ordered(which func(*trip) bool) (of []*trip) {
	for _, t := range n.trips {
		if which(t) {
			of = append(of, t)
		}
	}
	slices.SortFunc(of, func(x, y *trip) int { return cmp.Compare(x.ID, y.ID) })
	return of
}

// PeerState is one link for operators.
type PeerState struct {
	Name              string
	Up, Usable        bool
	Stopping          bool
	Abroad, Credit    int
	RoundTrip, Took   time.Duration
	Room              float64
	Refusing          bool
	HeardAgo, ShutFor time.Duration // -1: never heard
}

// State tells of all links.
func (n *Near) State(now time.Duration) (all []PeerState) {
	for i := range n.peers {
		p := &n.peers[i]
		s := PeerState{Name: p.name, Up: p.up, Usable: n.usable(p, now), Stopping: p.status.Stopping, Abroad: p.abroad,
			Credit: p.credit, RoundTrip: p.rtt, Took: p.took, Room: p.status.Room, Refusing: p.status.Refusing,
			HeardAgo: -1, ShutFor: max(0, p.until-now)}
		if p.heard > 0 {
			s.HeardAgo = now - p.heard
		}
		all = append(all, s)
	}
	return all
}
