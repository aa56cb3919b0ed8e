package server

import (
	"time"

	"flaxfront/internal/decision/admission"
	"flaxfront/internal/server/query"
)

// admissionHost is the part of the loop that admission may use.
type admissionHost interface {
	host
	hasCapacity(q *activeQuery) bool
	markInFlight(q *activeQuery)
	clearInFlight(q *activeQuery)
	submit(q *activeQuery, left time.Duration)
	deliverResult(q *activeQuery, r query.Result)
	shedResult() query.Result
}

// admissionControl is the extension for fair queuing: a client's query is admitted, queued or shed before it takes slots. Queries of other
// sites do not pass through it.
type admissionControl struct {
	*admission.Controller
	loop            admissionHost
	waiting         map[uint64]*activeQuery // by ticket
	lastTicket      uint64
	tenants         []string
	admitted        []*activeQuery // since the last router step
	dequeued        []admission.Dequeued
	schedulingDelay delayMeter
}

// admissionState is admission's state of a query.
type admissionState struct {
	ticket         uint64
	work           float64
	queued         bool // it waits for admission
	admitted       bool // it was admitted, and its end is not yet reported to the controller
	admittedAt     time.Duration
	stepDelay      time.Duration // from its admission to the router step that included it
	lastAnswerAt   time.Duration // when its last answer was received
	lastAnswerStep uint64        // the router step that includes that answer
}

// useAdmission attaches admission to the loop.
func (l *loop) useAdmission(a *admissionControl) {
	a.loop = l
	l.admission = a
	l.extensions[admissionExtension] = a
}

// handle handles no messages: queries are passed to admitOrQueue.
func (a *admissionControl) handle(message) bool { return false }

// admitOrQueue reports whether a query is admitted at once. Otherwise it is queued, or already has its result. Without admission all are admitted.
func (a *admissionControl) admitOrQueue(q *activeQuery) bool {
	if a == nil {
		return true
	}
	now := a.loop.since()
	a.lastTicket++
	q.admission.ticket = a.lastTicket
	q.admission.work = float64(len(q.Request.Shards))
	ruling := a.Arrive(admission.Query{
		ID:       q.admission.ticket,
		Tenant:   a.tenantOf(q),
		Client:   q.Client,
		Work:     q.admission.work,
		TimeLeft: q.deadline - now,
		Retry:    q.Retry,
	}, now)
	switch ruling.Decision {
	case admission.Admit:
		a.markAdmitted(q, now)
		return true
	case admission.Enqueue:
		q.admission.queued = true
		a.waiting[q.admission.ticket] = q
		a.loop.markInFlight(q)
		if ruling.Evicted.ID != 0 {
			a.shedQueued(a.takeWaiting(ruling.Evicted.ID), ruling.Evicted.RetryAfter)
		}
	case admission.Reject:
		a.loop.stats().RejectedByAdmission++
		a.loop.deliverResult(q, query.Result{Outcome: query.Shed, RetryAfter: ruling.RetryAfter})
	}
	return false
}

// takeWaiting returns a queued query, which is queued no longer.
func (a *admissionControl) takeWaiting(ticket uint64) *activeQuery {
	q := a.waiting[ticket]
	delete(a.waiting, ticket)
	q.admission.queued = false
	return q
}

// shedQueued sheds a query that was queued.
func (a *admissionControl) shedQueued(q *activeQuery, retryAfter time.Duration) {
	a.loop.stats().RejectedByAdmission++
	a.finishQueued(q, query.Result{Outcome: query.Shed, RetryAfter: retryAfter})
}

func (a *admissionControl) tenantOf(q *activeQuery) int { return min(q.Tenant, len(a.tenants)-1) }

// tick admits or sheds queued queries that are due.
func (a *admissionControl) tick(now time.Duration) time.Duration {
	a.SetLateness(a.schedulingDelay.Average())
	dequeued, next := a.Tick(now, a.dequeued[:0])
	a.dequeued = dequeued
	for _, r := range dequeued {
		q := a.takeWaiting(r.ID)
		switch {
		case !r.Admitted:
			a.shedQueued(q, r.RetryAfter)
		case !a.loop.hasCapacity(q):
			a.markAdmitted(q, now)
			a.loop.stats().NoCapacity++
			a.finishQueued(q, a.loop.shedResult())
		default:
			a.markAdmitted(q, now)
			a.loop.submit(q, q.deadline-now)
		}
	}
	return next
}

// finishQueued delivers the result of a query that was queued.
func (a *admissionControl) finishQueued(q *activeQuery, r query.Result) {
	a.loop.deliverResult(q, r)
	a.loop.clearInFlight(q)
}

// abandon drops a queued query whose client has left or whose deadline has passed.
func (a *admissionControl) abandon(q *activeQuery) {
	a.Remove(a.tenantOf(q), q.admission.ticket)
	a.takeWaiting(q.admission.ticket)
	q.done = true
	a.loop.clearInFlight(q)
}

func (a *admissionControl) markAdmitted(q *activeQuery, now time.Duration) {
	q.admission.admitted = true
	q.admission.admittedAt = now
	a.admitted = append(a.admitted, q)
}

// beforeStep records the delay from admission to this router step, for the queries admitted since the last step. On busy cores a broker's
// own delays, before an attempt is written and after an answer is received, are many times the store's. Counted as the store's, they would
// cause the queries of a tenant with little traffic to be shed while the store idles.
func (a *admissionControl) beforeStep(now time.Duration) {
	if a == nil {
		return
	}
	for _, q := range a.admitted {
		q.admission.stepDelay = now - q.admission.admittedAt
	}
	clear(a.admitted)
	a.admitted = a.admitted[:0]
}

// afterStep admits queries in place of those that ended, and returns when tick must be called next.
func (a *admissionControl) afterStep(now time.Duration) time.Duration {
	if a == nil {
		return notDue
	}
	return a.tick(now)
}

// done reports the end of an admitted query to the controller. Further calls for the query do nothing.
func (a *admissionControl) done(q *activeQuery, outcome query.Outcome) {
	if !q.admission.admitted {
		return
	}
	q.admission.admitted = false
	now := a.loop.since()
	ownDelay := q.admission.stepDelay
	if q.admission.lastAnswerStep == a.loop.stats().Steps { // the answer that ends the query waited for this step
		ownDelay += now - q.admission.lastAnswerAt
	}
	a.Complete(admission.Completion{
		Work:     q.admission.work,
		Elapsed:  now - q.admission.admittedAt,
		OwnDelay: ownDelay,
		Answered: outcome == query.Answered,
		Shed:     outcome == query.Shed,
	}, now)
}

// AdmissionState is the state of admission that operators see.
type AdmissionState struct {
	admission.State
	TenantNames []string `json:"Names"`
}

func (a *admissionControl) report(c *QueryCounters) {
	c.Admission = &AdmissionState{a.State(a.loop.since()), a.tenants}
}
