package forwarding

import "time"

// forwardingState is the state of a forwarded query.
type forwardingState uint8

const (
	inFlight forwardingState = iota // sent over a link that is up
	linkLost                        // its link went down; the query may have run
)

// forwardedQuery is a query that was sent to another site and has not ended.
type forwardedQuery struct {
	Query
	link       LinkIndex
	epoch      uint64 // of the process that it was sent to
	state      forwardingState
	sentAt     time.Duration // when it was first sent
	mayHaveRun bool          // stays true if it is sent again and that copy is never written to the network
	waitsUntil time.Duration // in linkLost: end of the wait for the link
}

// loseLink changes the state to linkLost.
func (q *forwardedQuery) loseLink(until time.Duration) {
	q.state = linkLost
	q.mayHaveRun = true
	q.waitsUntil = until
}

// resume changes the state back to inFlight.
func (q *forwardedQuery) resume() { q.state = inFlight }

// linkState is what the forwarding site knows about one link.
type linkState struct {
	name              string
	up                bool
	epoch             uint64 // of the process at the other end
	credit            int    // most queries in flight
	inFlight          int
	roundTrip         time.Duration
	answerTime        time.Duration // moving average
	status            Status
	statusAt          time.Duration // 0: no status received since the link came up
	answeredAt        time.Duration
	backoff           time.Duration // after the last rejection
	backoffUntil      time.Duration
	loggedUnavailable bool
}

// connect resets the state for a new connection, except for the measured times.
func (l *linkState) connect(epoch uint64, credit int) {
	l.up = true
	l.epoch = epoch
	l.credit = credit
	l.status = Status{}
	l.statusAt = 0
	l.backoff = 0
	l.backoffUntil = 0
}

// disconnect marks the link as down, with no queries in flight.
func (l *linkState) disconnect() {
	l.up = false
	l.inFlight = 0
}

// rejected starts the next backoff, so that two overloaded sites do not forward queries to each other that neither can serve.
func (l *linkState) rejected(now time.Duration) {
	l.backoff = min(maxRejectionBackoff, max(initialRejectionBackoff, 2*l.backoff))
	l.backoffUntil = now + l.backoff
}

// answered ends a backoff and records the time of an answer.
func (l *linkState) answered(sentAt, now time.Duration) {
	l.answeredAt = now
	l.backoff = 0
	l.backoffUntil = 0
	l.answerTime += time.Duration(answerTimeWeight * float64(now-sentAt-l.answerTime))
}

// Forwarder makes the decisions at the site whose client sent the query.
type Forwarder struct {
	policy   Policy
	links    []linkState
	queries  map[uint64]*forwardedQuery
	budget   float64 // queries that may be forwarded now
	actions  []Action
	Counters ForwarderCounters
}

// ForwarderCounters holds counts since the start of the process, except InFlight, which is the present number.
type ForwarderCounters struct {
	Forwarded uint64 `json:"Forwarded"`
	Answered  uint64 `json:"Answered"`
	Rejected  uint64 `json:"RefusedThere"` // by the other site
	NotSent   uint64 `json:"NotSent"`      // copies for which the link had already ended
	Failed    uint64 `json:"FailedThere"`
	LinkLost  uint64 `json:"Lost"`        // in flight when their link went down
	Retried   uint64 `json:"Resumed"`     // sent again to the same process over a new link
	Returned  uint64 `json:"BroughtHome"` // submitted to this site's router again
	TimedOut  uint64 `json:"GivenUp"`
	NoBudget  uint64 `json:"NoBudget"` // not forwarded: budget used up or MaxForwarded reached
	NoLink    uint64 `json:"NoPeer"`   // not forwarded: no usable link
	NoTime    uint64 `json:"NoTime"`   // not forwarded: too little time left
	InFlight  int    `json:"Abroad"`   // including those in linkLost
}

// NewForwarder returns a Forwarder for the named links, all of them down.
func NewForwarder(policy Policy, linkNames []string) *Forwarder {
	f := &Forwarder{policy: policy, queries: map[uint64]*forwardedQuery{}, budget: policy.Burst}
	for _, name := range linkNames {
		f.links = append(f.links, linkState{name: name})
	}
	return f
}

func (f *Forwarder) addAction(a Action) { f.actions = append(f.actions, a) }

// DrainActions returns the actions since the last call, in order.
func (f *Forwarder) DrainActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// QueryAccepted adds ForwardShare to the budget for a query accepted from a client of this site.
func (f *Forwarder) QueryAccepted() { f.budget = min(f.policy.Burst, f.budget+f.policy.ForwardShare) }

// forget removes a query and releases its credit on the link.
func (f *Forwarder) forget(q *forwardedQuery) {
	link := &f.links[q.link]
	if q.state == inFlight && link.up {
		link.inFlight--
	}
	delete(f.queries, q.ID)
	f.Counters.InFlight = len(f.queries)
}
