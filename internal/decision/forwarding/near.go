// Package forwarding decides what becomes of a search between two sites: whether one that the own site has given up is
// forwarded, to whom and with how much time; what a lost link means for it; and at the other end whether a forwarded search
// is taken, and that one which comes twice runs once. Nothing here does I/O, reads a clock or starts a goroutine.
//
// The near side forwards nothing but what the decision module sheds, so that the ordinary path stays as it is, and so that
// rule 2 holds by the module's own word: it sheds only what may be asked again without harm. A search makes one hop at most.
//
// Depends on decision. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package forwarding

import (
	"time"

	"flaxfront/internal/decision"
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
	Effect  decision.Idempotency
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
	Forwarded    uint64 `json:"Forwarded"`
	Answered     uint64 `json:"Answered"`
	RefusedThere uint64 `json:"RefusedThere"`
	FailedThere  uint64 `json:"FailedThere"`
	Lost         uint64 `json:"Lost"`        // of those whose link ended, or whose time did
	Resumed      uint64 `json:"Resumed"`     // of those whose link ended, or whose time did
	BroughtHome  uint64 `json:"BroughtHome"` // of those whose link ended, or whose time did
	GivenUp      uint64 `json:"GivenUp"`     // of those whose link ended, or whose time did
	NoBudget     uint64 `json:"NoBudget"`    // shed here, as they could not be forwarded
	NoPeer       uint64 `json:"NoPeer"`      // shed here, as they could not be forwarded
	NoTime       uint64 `json:"NoTime"`      // shed here, as they could not be forwarded
	Abroad       int    `json:"Abroad"`      // now
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
