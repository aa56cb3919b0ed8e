package cachedlist

// This file owns the verdicts. What an entry is worth is a probability that it is wrong: that its node is gone, drains,
// or has changed hands. It starts from the age of the last confirmation and from how the list as a whole has proved, and
// each thing that the node shows moves it by Bayes' rule.

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Policy holds what operators may set.
type Policy struct {
	HalfLife          time.Duration // the age at which half of all entries are wrong, before any evidence
	MaxAge            time.Duration // entries confirmed longer ago are not used
	EjectionThreshold float64       // an entry this likely wrong gets nothing
	TrialInterval     time.Duration // after so long a struck-out entry gets one trial
}

const (
	priorWeight = 2.0 // how many tested entries the stated half-life is worth beside the list's own showing
	leastPrior  = 1e-6
	mostPrior   = 0.98 // however old an entry, its own answers must be able to speak for it

	// How much likelier a wrong entry shows this than a right one. They are set, not measured; the design note tells
	// what follows from other values.
	oddsUnreachable = 30.0 // no connection: a node in service takes one, as a rule
	oddsSilent      = 8.0  // a part out for long and nothing said: it hangs, or a pause
	oddsBroken      = 4.0  // a connection that broke, an answer that could not be read
	oddsErrored     = 2.0
	oddsRefused     = 3.0 // drains, or is full

	apart       = 100 * time.Millisecond // evidence that comes closer together counts once: it has one cause
	silentFrom  = 400 * time.Millisecond
	alikeShare  = 0.9 // of the nodes tried lately: when so many fail, it is this broker's own network
	alikeLeast  = 3   // nodes tried, to tell
	alikeWithin = 3 * time.Second
	paroleMost  = 20 // times the first

	mostOdds = 1e12

	futureSlip = time.Minute // a confirmation so far ahead of the clock tells that the clock went back
)

// Status is where an entry stands.
type Status uint8

const (
	Confirmed Status = iota // by discovery since it last failed, or by the node itself since the start
	Unconfirmed
	Ejected
	Excluded // a drain or an end was told of it, or it is too old
)

func (s Status) String() string {
	return [...]string{"confirmed", "doubtful", "struck out", "barred"}[min(s, Excluded)]
}

// EndpointUpdate is what the decision module is to be told of a node.
type EndpointUpdate struct {
	ID        decision.NodeID
	Entry     Entry
	Usable    bool // else nothing is sent to it
	SlowStart bool // it is not known when it started
}

// node is what the judge keeps of one entry that is not ended.
type node struct {
	id       decision.NodeID
	name     string
	cell     int
	standing Status
	eased    bool          // it is not known when it started
	odds     float64       // the product of what it showed since it last answered
	shown    time.Duration // when it last showed something that counted
	failed   bool          // that was a failure
	tested   bool          // it showed anything since the start
	wrong    bool          // it was struck out and has not answered since
	trial    bool          // struck: one part may go to it
	until    time.Duration // struck: when its next trial comes
	parole   time.Duration
	age      time.Duration // of its entry when the judge first saw it
}

// Evaluator weighs the entries of a book. Times are spans since the broker's start. What it does in a turn hangs on the nodes
// that lately showed something, not on how many there are.
type Evaluator struct {
	policy   Policy
	book     *EntryTable
	start    Timestamp
	nodes    map[decision.NodeID]*node
	cells    map[int]int    // entries in use, by cell
	tried    map[*node]bool // showed something lately
	suspects map[*node]bool // failed, or struck out
	exposure float64        // ages of the entries tested since the start
	proved   float64        // how many of them were struck out
	facts    []EndpointUpdate
	alike    bool
	told     bool // discovery has spoken last; nothing is doubtful
	fresh    bool // something was shown since the last tick
	due      time.Duration
	lines    []string
	counts   Counts
}

// Counts are what operators see.
type Counts struct {
	Confirmed, Doubtful, StruckOut, Barred int           // entries now
	Strikes, Paroles, Recovered            uint64        // since the start
	ListAge                                time.Duration // since discovery last confirmed it; -1: never
	OwnNetwork                             bool          // all fail alike: nothing is struck out
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// NewEvaluator makes a judge of the entries at a broker's start.
func NewEvaluator(p Policy, b *EntryTable, start Timestamp) *Evaluator {
	return &Evaluator{policy: p, book: b, start: start, nodes: map[decision.NodeID]*node{}, cells: map[int]int{},
		tried: map[*node]bool{}, suspects: map[*node]bool{}, due: never}
}

// moment is a span since the start as a moment.
func (j *Evaluator) moment(now time.Duration) Timestamp {
	return j.start + Timestamp(now.Milliseconds())
}

// age is how long ago an entry was last confirmed. One from the future tells nothing: the clock went back, and the entry
// counts as being as old as any that is used.
func (j *Evaluator) age(e *Entry, now time.Duration) time.Duration {
	at := j.moment(now)
	last := e.ConfirmedAt
	if e.State == Ready && e.ConfirmedBy == SourceDiscovery {
		last = max(last, j.book.Head.ConfirmedAt)
	}
	if last == 0 || last.Since(at) > futureSlip {
		return j.policy.MaxAge
	}
	return max(0, at.Since(last))
}

// Start tells the facts of all entries at the start: those in service that are not too old are used and eased in, as
// nobody knows when they started; a drain or an end that was told before the start binds after it.
func (j *Evaluator) Start(id func(name string) decision.NodeID) []EndpointUpdate {
	for _, e := range j.book.sorted() {
		if e.State == Ended {
			continue
		}
		n := &node{id: id(e.Name), name: e.Name, cell: e.Cell, standing: Unconfirmed, eased: true, odds: 1, age: j.age(e, 0)}
		if e.State == Draining || n.age > j.policy.MaxAge {
			n.standing, n.eased = Excluded, false
		}
		if j.nodes[n.id] != nil {
			continue // two names with one id: the first counts, as it does in the loop
		}
		j.nodes[n.id] = n
		j.fact(n)
		if n.standing != Excluded {
			j.cells[n.cell]++
		}
	}
	return j.take() // by name
}

func (j *Evaluator) fact(n *node) {
	e, _ := j.book.Get(n.name)
	use := n.standing <= Unconfirmed || n.trial
	j.facts = append(j.facts, EndpointUpdate{n.id, e, use && e.State == Ready, n.eased || n.trial})
}

func (j *Evaluator) take() []EndpointUpdate {
	facts := j.facts
	j.facts = nil
	return facts
}
