package cachedlist

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Policy holds what operators may set.
type Policy struct {
	HalfLife          time.Duration // the age at which half of all entries are wrong, before any evidence
	MaxAge            time.Duration // entries confirmed longer ago are not used
	EjectionThreshold float64       // the probability of being wrong from which an entry is ejected
	TrialInterval     time.Duration // from an ejection to its first trial attempt
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Status is where an entry stands.
type Status uint8

// Statuses. Those up to Unconfirmed are in use.
const (
	Confirmed   Status = iota // by discovery since it last failed, or by the endpoint itself since the start
	Unconfirmed               // of the cached list
	Ejected                   // but for trial attempts
	Excluded                  // draining, ended or too old
)

// String returns the status in words.
func (s Status) String() string {
	return [...]string{"confirmed", "unconfirmed", "ejected", "excluded"}[min(s, Excluded)]
}

// EndpointUpdate is what the router is to be told of an endpoint.
type EndpointUpdate struct {
	ID        decision.NodeID
	Entry     Entry
	Usable    bool // else nothing is sent to it
	SlowStart bool // it is not known when it started
}

// endpoint is what the evaluator knows of one entry that has not ended.
type endpoint struct {
	id             decision.NodeID
	name           string
	cell           int
	status         Status
	slowStart      bool          // it is not known when it started
	odds           float64       // the product of what it showed since it last answered
	lastEvidenceAt time.Duration // when it last showed something that counted
	lastFailed     bool          // that was a failure
	tested         bool          // it showed anything since the start
	countedWrong   bool          // it was ejected and has not answered since
	inTrial        bool          // ejected: one attempt may go to it
	nextTrialAt    time.Duration // ejected: when it comes
	trialInterval  time.Duration
	initialAge     time.Duration // of its entry when the evaluator first saw it
}

func (ep *endpoint) inUse() bool { return ep.status <= Unconfirmed }

// Evaluator weighs the entries of a table. Times are spans since the broker's start. The cost of a tick grows with the endpoints that
// lately showed something, not with the length of the list.
type Evaluator struct {
	policy    Policy
	table     *EntryTable
	startedAt Timestamp
	endpoints map[decision.NodeID]*endpoint

	usableInCell  map[int]int        // entries in use, by cell
	recentlyTried map[*endpoint]bool // showed something lately
	suspects      map[*endpoint]bool // failed, or ejected

	exposure     float64 // the sum of the ages of the entries tested since the start, in nanoseconds
	wrongEntries float64 // how many of them are taken for wrong

	updates           []EndpointUpdate // since they were last collected
	localNetworkFault bool             // nearly all endpoints fail alike
	discoveryUp       bool             // discovery has spoken last; nothing is unconfirmed
	newEvidence       bool             // since the last tick
	nextTick          time.Duration
	logLines          []string
	counts            Counts
}

// NewEvaluator makes an evaluator of the entries at a broker's start.
func NewEvaluator(policy Policy, table *EntryTable, startedAt Timestamp) *Evaluator {
	return &Evaluator{
		policy:        policy,
		table:         table,
		startedAt:     startedAt,
		endpoints:     map[decision.NodeID]*endpoint{},
		usableInCell:  map[int]int{},
		recentlyTried: map[*endpoint]bool{},
		suspects:      map[*endpoint]bool{},
		nextTick:      never,
	}
}

// timestamp converts a span since the start.
func (v *Evaluator) timestamp(now time.Duration) Timestamp {
	return v.startedAt + Timestamp(now.Milliseconds())
}

// Start returns the updates of all entries at the start, by name. Those in service that are not too old are used in slow start, as nobody
// knows when they started; a drain or an end known before the start binds after it.
func (v *Evaluator) Start(id func(name string) decision.NodeID) []EndpointUpdate {
	for _, e := range v.table.sorted() {
		if e.State == Ended {
			continue
		}
		ep := &endpoint{id: id(e.Name), name: e.Name, cell: e.Cell, status: Unconfirmed, slowStart: true, odds: 1,
			initialAge: v.age(e, 0)}
		if e.State == Draining || ep.initialAge > v.policy.MaxAge {
			ep.status = Excluded
			ep.slowStart = false
		}
		if v.endpoints[ep.id] != nil {
			continue // two names with one id: the first counts, as it does in the event loop
		}
		v.endpoints[ep.id] = ep
		v.update(ep)
		if ep.inUse() {
			v.usableInCell[ep.cell]++
		}
	}
	return v.collectUpdates()
}

// DiscoveryFailed notes that discovery can't be polled: from here on entries age, and what endpoints show counts.
func (v *Evaluator) DiscoveryFailed() { v.discoveryUp = false }

// update has the router told of an endpoint.
func (v *Evaluator) update(ep *endpoint) {
	e, _ := v.table.Get(ep.name)
	usable := ep.inUse() || ep.inTrial
	v.updates = append(v.updates, EndpointUpdate{
		ID:        ep.id,
		Entry:     e,
		Usable:    usable && e.State == Ready,
		SlowStart: ep.slowStart || ep.inTrial,
	})
}

func (v *Evaluator) collectUpdates() []EndpointUpdate {
	updates := v.updates
	v.updates = nil
	return updates
}
