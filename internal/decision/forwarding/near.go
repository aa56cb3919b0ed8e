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
	ForwardShare  float64       // searches forwarded, as a share of those taken
	Burst         float64       // saved up at most
	MaxForwarded  int           // at once, over all links
	MinTimeLeft   time.Duration // a search with less time left is not forwarded
	AnswerReserve time.Duration // kept of a client's time for the answer of the near side
	ResumeTimeout time.Duration // how long a lost search waits for its link to come back

	RemoteShare   float64 // at the far side: places that foreign searches may take, as a share of all
	MaxRemembered int     // foreign searches remembered at once
}

const (
	statusFor   = 2 * time.Second // hearsay on the other side counts so long
	ownFor      = 500 * time.Millisecond
	refusedOnce = 100 * time.Millisecond // a link that refused gets nothing for so long, doubling
	refusedMost = 2 * time.Second
	smooth      = 0.2 // weight of one answer in the time that a link's answers take
)

// LinkIndex numbers a link to a broker of another site.
type LinkIndex int

// Status is what the other side says of itself: hearsay, dated when it came.
type Status struct {
	FreeShare         float64 // share of the places for foreign searches that is free
	Shedding          bool    // it turns its own searches away
	Draining          bool    // a planned stop: nothing new
	UnavailableShards []int   // shards of which it has no sound holder
}

// Query is what routes know of one.
type Query struct {
	ID                uint64 // unique while this broker runs
	Idempotency       decision.Idempotency
	IdempotencyWindow time.Duration // tokened: how long repeats are dropped
	Deadline          time.Duration // when its client gives up
	Shards            []int
	Remote            bool // it came from another site
	Returned          bool // it was brought back once
}

// ActionKind tells what is to be done.
type ActionKind uint8

const (
	Forward  ActionKind = iota + 1 // ID, Peer, Left, Again
	Cancel                         // ID, Peer: the far side may stop
	Resubmit                       // ID, Left, Risk: serve it here, in the time that is left
	Shed                           // ID: final
	Fail                           // ID: final
	Log                            // Text: a change of mode
)

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Link       LinkIndex
	TimeLeft   time.Duration
	Resent     bool // it may have come there before
	MayHaveRun bool // it may have run: it must not be shed here either, unless it is idempotent
	Text       string
}

// Outcome tells how a forwarded search came back.
type Outcome uint8

const (
	Answered Outcome = iota
	Rejected         // by the far side: nothing of it has run, or it may be asked again
	Failed           // it may have run
)

// stage is where a forwarded search is.
type stage uint8

const (
	out  stage = iota // forwarded over a link that stands
	lost              // its link ended; it may have run
)

// trip is one search abroad.
type trip struct {
	Query
	peer  LinkIndex
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

// Forwarder decides at the side that a client asked.
type Forwarder struct {
	policy   Policy
	peers    []peer
	trips    map[uint64]*trip
	tokens   float64
	acts     []Action
	Counters ForwarderCounters
}

// ForwarderCounters are what operators see.
type ForwarderCounters struct {
	Forwarded uint64 `json:"Forwarded"`
	Answered  uint64 `json:"Answered"`
	Rejected  uint64 `json:"RefusedThere"`
	Failed    uint64 `json:"FailedThere"`
	LinkLost  uint64 `json:"Lost"`        // of those whose link ended, or whose time did
	Resent    uint64 `json:"Resumed"`     // of those whose link ended, or whose time did
	Returned  uint64 `json:"BroughtHome"` // of those whose link ended, or whose time did
	TimedOut  uint64 `json:"GivenUp"`     // of those whose link ended, or whose time did
	NoBudget  uint64 `json:"NoBudget"`    // shed here, as they could not be forwarded
	NoLink    uint64 `json:"NoPeer"`      // shed here, as they could not be forwarded
	NoTime    uint64 `json:"NoTime"`      // shed here, as they could not be forwarded
	InFlight  int    `json:"Abroad"`      // now
}

// NewForwarder makes the near side of some links, which are down.
func NewForwarder(p Policy, names []string) *Forwarder {
	n := &Forwarder{policy: p, trips: map[uint64]*trip{}, tokens: p.Burst}
	for _, name := range names {
		n.peers = append(n.peers, peer{name: name})
	}
	return n
}

func (n *Forwarder) act(a Action) { n.acts = append(n.acts, a) }

// DrainActions hands over what is to be done since the last call, in its order.
func (n *Forwarder) DrainActions() []Action {
	acts := n.acts
	n.acts = nil
	return acts
}

// QueryAccepted counts a search of the own site; each earns a share of a forward.
func (n *Forwarder) QueryAccepted() { n.tokens = min(n.policy.Burst, n.tokens+n.policy.ForwardShare) }
