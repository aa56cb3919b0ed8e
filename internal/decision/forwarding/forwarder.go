package forwarding

import "time"

// forwardingState says where a forwarded query is.
type forwardingState uint8

const (
	inFlight forwardingState = iota // sent over a link that is up
	linkLost                        // its link went down; it may have run
)

// forwardedQuery is a query that another site has, or had when its link was lost.
type forwardedQuery struct {
	Query
	link       LinkIndex
	epoch      uint64 // of the process it was sent to
	state      forwardingState
	sentAt     time.Duration // first time
	mayHaveRun bool          // stays true when a later copy of it was never written
	waitsUntil time.Duration // in linkLost: for the link to come back
}

// loseLink is the transition to linkLost.
func (q *forwardedQuery) loseLink(until time.Duration) {
	q.state = linkLost
	q.mayHaveRun = true
	q.waitsUntil = until
}

// resume is the transition back to inFlight.
func (q *forwardedQuery) resume() { q.state = inFlight }

// linkState is what the forwarding side knows of one link.
type linkState struct {
	name              string
	up                bool
	epoch             uint64 // of the process at the other end
	credit            int    // queries that may be in flight
	inFlight          int
	roundTrip         time.Duration
	answerTime        time.Duration // moving average
	status            Status
	statusAt          time.Duration // 0: none received since the link is up
	answeredAt        time.Duration
	backoff           time.Duration // after the last rejection
	backoffUntil      time.Duration
	loggedUnavailable bool
}

// connect sets what a new connection starts with. The measured times are kept.
func (l *linkState) connect(epoch uint64, credit int) {
	l.up = true
	l.epoch = epoch
	l.credit = credit
	l.status = Status{}
	l.statusAt = 0
	l.backoff = 0
	l.backoffUntil = 0
}

// disconnect is the loss of the connection with all that was in flight over it.
func (l *linkState) disconnect() {
	l.up = false
	l.inFlight = 0
}

// rejected starts the next backoff: two overloaded sites must not hand each other what neither can serve.
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

// Forwarder decides at the site whose client sent the query.
type Forwarder struct {
	policy   Policy
	links    []linkState
	queries  map[uint64]*forwardedQuery
	budget   float64 // queries that may be forwarded now
	actions  []Action
	Counters ForwarderCounters
}

// ForwarderCounters count since the start of the process, except InFlight.
type ForwarderCounters struct {
	Forwarded uint64 `json:"Forwarded"`
	Answered  uint64 `json:"Answered"`
	Rejected  uint64 `json:"RefusedThere"` // by the other site
	Failed    uint64 `json:"FailedThere"`
	LinkLost  uint64 `json:"Lost"`        // in flight when a link went down
	Retried   uint64 `json:"Resumed"`     // to the same process, after its link came back
	Returned  uint64 `json:"BroughtHome"` // to the own router
	TimedOut  uint64 `json:"GivenUp"`
	NoBudget  uint64 `json:"NoBudget"` // not forwarded: share or limit reached
	NoLink    uint64 `json:"NoPeer"`   // not forwarded: no usable link
	NoTime    uint64 `json:"NoTime"`   // not forwarded: too little time left
	InFlight  int    `json:"Abroad"`   // now, those whose link is lost included
}

// NewForwarder returns a Forwarder over the named links, all down.
func NewForwarder(policy Policy, linkNames []string) *Forwarder {
	f := &Forwarder{policy: policy, queries: map[uint64]*forwardedQuery{}, budget: policy.Burst}
	for _, name := range linkNames {
		f.links = append(f.links, linkState{name: name})
	}
	return f
}

func (f *Forwarder) addAction(a Action) { f.actions = append(f.actions, a) }

// DrainActions returns the actions decided on since the last call, in order.
func (f *Forwarder) DrainActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// QueryAccepted counts a query of an own client, which earns a share of a forwarded one.
func (f *Forwarder) QueryAccepted() { f.budget = min(f.policy.Burst, f.budget+f.policy.ForwardShare) }

// forget removes a query and its place on its link.
func (f *Forwarder) forget(q *forwardedQuery) {
	link := &f.links[q.link]
	if q.state == inFlight && link.up {
		link.inFlight--
	}
	delete(f.queries, q.ID)
	f.Counters.InFlight = len(f.queries)
}
