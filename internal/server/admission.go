package server

import (
	"time"

	"flaxfront/internal/decision/admission"
	"flaxfront/internal/server/query"
)

// admissionHost is what admission may use of the loop.
type admissionHost interface {
	host
	hasCapacity(q *activeQuery) bool
	markInFlight(q *activeQuery)
	clearInFlight(q *activeQuery)
	submit(q *activeQuery, left time.Duration)
	deliverResult(q *activeQuery, r query.Result)
	shedResult() query.Result
}

// admissionControl is the extension for fair queuing: a client's query enters, waits or is shed before it takes slots. A query of another
// site passes it by.
type admissionControl struct {
	*admission.Controller
	loop              admissionHost
	waiting           map[uint64]*activeQuery // by ticket
	lastTicket        uint64
	tenants           []string
	admittedSinceStep []*activeQuery // since the last step
	dequeued          []admission.Dequeued
	schedulingDelay   delayMeter
}

// admissionState is what admission keeps of a query.
type admissionState struct {
	ticket         uint64
	work           float64
	queued         bool // it waits
	admitted       bool // it was let in, and admission has not been told that it is done
	admittedAt     time.Duration
	stepDelay      time.Duration // from its admission to the step that took it
	lastAnswerAt   time.Duration // when its last answer came in
	lastAnswerStep uint64        // the step that takes that answer
}

// useAdmission attaches admission to the loop.
func (l *loop) useAdmission(a *admissionControl) {
	a.loop = l
	l.admission = a
	l.extensions[admissionExtension] = a
}

// handle takes no message: queries come by request.
func (a *admissionControl) handle(message) bool { return false }

// admit asks for a query to be let in; true: it may enter now. Otherwise it waits, or has its result. Without admission all may enter.
func (a *admissionControl) admit(q *activeQuery) bool {
	if a == nil {
		return true
	}
	now := a.loop.since()
	a.lastTicket++
	q.admission.ticket = a.lastTicket
	q.admission.work = float64(len(q.Request.Shards))
	ruling, retryAfter := a.Arrive(admission.Query{
		ID:       q.admission.ticket,
		Tenant:   a.tenantOf(q),
		Client:   q.Client,
		Work:     q.admission.work,
		TimeLeft: q.deadline - now,
		Retry:    q.Retry,
	}, now)
	switch ruling {
	case admission.Admit:
		a.markAdmitted(q, now)
		return true
	case admission.Enqueue:
		q.admission.queued = true
		a.waiting[q.admission.ticket] = q
		a.loop.markInFlight(q)
	case admission.Reject:
		a.loop.stats().RejectedByAdmission++
		a.loop.deliverResult(q, query.Result{Outcome: query.Shed, RetryAfter: retryAfter})
	}
	return false
}

func (a *admissionControl) tenantOf(q *activeQuery) int { return min(q.Tenant, len(a.tenants)-1) }

// tick lets in those that waited, or sheds them.
func (a *admissionControl) tick(now time.Duration) time.Duration {
	a.SetLateness(a.schedulingDelay.Average())
	releases, next := a.Tick(now, a.dequeued[:0])
	a.dequeued = releases
	for _, r := range releases {
		q := a.waiting[r.ID]
		delete(a.waiting, r.ID)
		q.admission.queued = false
		switch {
		case !r.Admitted:
			a.loop.stats().RejectedByAdmission++
			a.finishQueued(q, query.Result{Outcome: query.Shed, RetryAfter: r.RetryAfter})
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

// finishQueued gives a query that waited its result.
func (a *admissionControl) finishQueued(q *activeQuery, r query.Result) {
	a.loop.deliverResult(q, r)
	a.loop.clearInFlight(q)
}

// abandon forgets a query that waits, as its client has gone or its time is up.
func (a *admissionControl) abandon(q *activeQuery) {
	a.Remove(a.tenantOf(q), q.admission.ticket)
	delete(a.waiting, q.admission.ticket)
	q.admission.queued = false
	q.done = true
	a.loop.clearInFlight(q)
}

func (a *admissionControl) markAdmitted(q *activeQuery, now time.Duration) {
	q.admission.admitted = true
	q.admission.admittedAt = now
	a.admittedSinceStep = append(a.admittedSinceStep, q)
}

// beforeStep records how late the router's step comes for the queries admitted since the last one. On busy cores a broker's own delays,
// before an attempt is written and after an answer is in, are many times the store's; counted as the store's they would have a quiet
// tenant's queries shed while the store idles.
func (a *admissionControl) beforeStep(now time.Duration) {
	if a == nil {
		return
	}
	for _, q := range a.admittedSinceStep {
		q.admission.stepDelay = now - q.admission.admittedAt
	}
	clear(a.admittedSinceStep)
	a.admittedSinceStep = a.admittedSinceStep[:0]
}

// afterStep lets in queries for which those that ended have made room, and returns when to tick.
func (a *admissionControl) afterStep(now time.Duration) time.Duration {
	if a == nil {
		return notDue
	}
	return a.tick(now)
}

// queryEnded tells admission, once, that a query which it let in has ended.
func (a *admissionControl) queryEnded(q *activeQuery, outcome query.Outcome) {
	if !q.admission.admitted {
		return
	}
	q.admission.admitted = false
	now := a.loop.since()
	ownDelay := q.admission.stepDelay
	if q.admission.lastAnswerStep == a.loop.stats().Steps { // this step ends it, by what came in before it
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

// AdmissionState is what operators see of admission.
type AdmissionState struct {
	admission.State
	TenantNames []string `json:"Names"`
}

func (a *admissionControl) report(c *QueryCounters) {
	c.Admission = &AdmissionState{a.State(a.loop.since()), a.tenants}
}
