package cachedlist

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

// Policy holds the settings that operators may change.
type Policy struct {
	HalfLife          time.Duration // the age at which half of all entries are wrong, before any evidence
	MaxAge            time.Duration // entries confirmed longer ago than this are not used
	EjectionThreshold float64       // an entry is ejected from this probability of being wrong
	TrialInterval     time.Duration // from an ejection to the first trial attempt
}

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// Status says whether and how an entry is used.
type Status uint8

// Statuses. Those up to Unconfirmed are in use.
const (
	Confirmed   Status = iota // confirmed since the start, by discovery or by an answer of the endpoint itself
	Unconfirmed               // known only from the cached list
	Ejected                   // used only for trial attempts
	Excluded                  // not used: draining, ended or too old
)

// String returns the status as it is shown to operators.
func (s Status) String() string {
	return [...]string{"confirmed", "unconfirmed", "ejected", "excluded"}[min(s, Excluded)]
}

// EndpointUpdate tells the router of a change to an endpoint.
type EndpointUpdate struct {
	ID        decision.NodeID
	Entry     Entry
	Usable    bool // false: the router must send nothing to the endpoint
	SlowStart bool // use slow start, as it is not known when the endpoint started
}

// endpoint holds the evaluation of one entry that has not ended.
type endpoint struct {
	id             decision.NodeID
	name           string
	cell           int
	status         Status
	slowStart      bool          // it is not known when the endpoint started
	odds           float64       // product of the likelihood ratios of its outcomes since it last answered
	lastEvidenceAt time.Duration // time of the last outcome that counted as evidence
	lastFailed     bool          // whether that outcome was a failure
	tested         bool          // there was evidence since the broker's start
	countedWrong   bool          // it was ejected and has not answered since
	inTrial        bool          // if ejected: a trial attempt may be sent to it
	nextTrialAt    time.Duration // if ejected: time of the next trial
	trialInterval  time.Duration
	initialAge     time.Duration // of its entry when the evaluator first used it
}

func (ep *endpoint) inUse() bool { return ep.status <= Unconfirmed }

// Evaluator judges the entries of a table. Times are durations since the broker's start. The cost of a tick grows with the number of
// endpoints with recent evidence, not with the length of the list.
type Evaluator struct {
	policy    Policy
	table     *EntryTable
	startedAt Timestamp
	endpoints map[decision.NodeID]*endpoint

	usableInCell  map[int]int        // entries in use, by cell
	recentlyTried map[*endpoint]bool // endpoints with recent evidence
	suspects      map[*endpoint]bool // endpoints that failed since their last answer, or are ejected

	exposure     float64 // the sum of the ages of the entries tested since the start, in nanoseconds
	wrongEntries float64 // how many of them are considered wrong

	updates           []EndpointUpdate // since they were last collected
	localNetworkFault bool             // nearly all endpoints fail alike
	discoveryUp       bool             // the last poll of discovery succeeded; no entry is unconfirmed
	newEvidence       bool             // since the last tick
	nextTick          time.Duration
	logLines          []string
	counts            Counts
}

// NewEvaluator returns an evaluator of a table's entries for a broker that started at startedAt.
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

// timestamp converts a duration since the broker's start to a Timestamp.
func (v *Evaluator) timestamp(now time.Duration) Timestamp {
	return v.startedAt + Timestamp(now.Milliseconds())
}

// Start returns the updates for all entries at the broker's start, ordered by name. Entries that are ready and not too old are used in slow
// start, as it is not known when their endpoints started. A drain or an end known before the broker's start remains in force after it.
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
			continue // two names have the same ID: the first one counts, as in the event loop
		}
		v.endpoints[ep.id] = ep
		v.update(ep)
		if ep.inUse() {
			v.usableInCell[ep.cell]++
		}
	}
	return v.collectUpdates()
}

// DiscoveryFailed records that discovery can't be polled. From now on entries age, and the outcomes of attempts count as evidence.
func (v *Evaluator) DiscoveryFailed() { v.discoveryUp = false }

// update queues an update of an endpoint for the router.
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
