package forwarding

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// LinkUp is called when a link has been established. The epoch identifies the process at the other end. Queries in linkLost are sent again
// if it is the same process, which remembers them; a new process can't know which queries the old one has run.
func (f *Forwarder) LinkUp(index LinkIndex, epoch uint64, credit int, now time.Duration) {
	link := &f.links[index]
	link.connect(epoch, credit)
	for _, q := range f.queriesInOrder(func(q *forwardedQuery) bool { return q.state == linkLost && q.link == index }) {
		timeLeft := f.remoteTime(q.Deadline, link, now)
		if q.epoch != epoch || timeLeft <= 0 {
			f.resolveUncertain(q, now)
			continue
		}
		q.resume()
		link.inFlight++
		f.Counters.Retried++
		f.addAction(Action{Kind: Forward, ID: q.ID, Link: index, RemainingTime: timeLeft, Retry: true})
	}
}

// LinkDown is called when a link has ended. unsent lists the queries that were never written to the network.
func (f *Forwarder) LinkDown(index LinkIndex, unsent []uint64, now time.Duration) {
	f.links[index].disconnect()
	for _, q := range f.queriesInOrder(func(q *forwardedQuery) bool { return q.state == inFlight && q.link == index }) {
		f.Counters.LinkLost++
		if slices.Contains(unsent, q.ID) && !q.mayHaveRun {
			f.returnQuery(q, harmless, now)
			continue
		}
		f.awaitLink(q, now)
		if q.Idempotency == decision.Idempotent {
			f.resolveUncertain(q, now) // it may run again here at once
		}
	}
}

// HandleNotSent is called in place of sending a query for which a Forward action was returned, if this copy of it is never written to the
// network: the link has ended, and LinkDown has not been called yet. What is known of earlier copies stays: a query of which one was written waits
// for the next link, as if this one had been lost with it.
func (f *Forwarder) HandleNotSent(index LinkIndex, id uint64, now time.Duration) {
	q := f.queries[id]
	if q == nil || q.link != index || q.state != inFlight {
		return
	}
	f.Counters.NotSent++
	if !q.mayHaveRun {
		f.finish(q, Action{Kind: Shed}) // the router has just shed it
		return
	}
	if link := &f.links[index]; link.up {
		link.inFlight--
	}
	f.awaitLink(q, now)
}

// awaitLink has a query that may have run wait for its lost link.
func (f *Forwarder) awaitLink(q *forwardedQuery, now time.Duration) {
	q.loseLink(min(now+f.policy.ResumeTimeout, q.Deadline-f.policy.AnswerReserve))
}

// repeatRisk is the risk of running a query a second time.
type repeatRisk uint8

const (
	harmless     repeatRisk = iota // none
	windowedRisk                   // none within the idempotency window, a repeated effect after it
)

// resolveUncertain ends the wait of a query that may have run: it is returned if a second run does no harm, otherwise it fails.
func (f *Forwarder) resolveUncertain(q *forwardedQuery, now time.Duration) {
	switch {
	case q.Idempotency == decision.Idempotent:
		f.returnQuery(q, harmless, now)
	case q.Idempotency == decision.IdempotencyKeyed && now <= q.sentAt+q.IdempotencyWindow:
		f.returnQuery(q, windowedRisk, now)
	default:
		f.finish(q, Action{Kind: Fail})
	}
}

// returnQuery returns a query to this site's router if there is time. Otherwise the query is shed if a client's retry is harmless, or fails.
func (f *Forwarder) returnQuery(q *forwardedQuery, risk repeatRisk, now time.Duration) {
	timeLeft := q.Deadline - now
	if risk == windowedRisk { // no attempt may be sent after the idempotency window
		timeLeft = min(timeLeft, q.sentAt+q.IdempotencyWindow-now)
	}
	switch {
	case timeLeft > f.policy.MinRemainingTime:
		f.Counters.Returned++
		f.finish(q, Action{Kind: Resubmit, RemainingTime: timeLeft, MayHaveRun: risk == windowedRisk})
	case risk == harmless && timeLeft > 0:
		f.finish(q, Action{Kind: Shed})
	default:
		f.finish(q, Action{Kind: Fail})
	}
}

// finish forgets a query and adds its last action, whose ID it sets.
func (f *Forwarder) finish(q *forwardedQuery, last Action) {
	f.forget(q)
	last.ID = q.ID
	f.addAction(last)
}

// HandleResult is called with the other site's result. It reports whether that result is final for the client: an answer or a failure
// is final, while a rejection becomes a Shed action. The result of a query that is not in flight over this link is ignored.
func (f *Forwarder) HandleResult(index LinkIndex, id uint64, outcome Outcome, now time.Duration) (final bool) {
	q := f.queries[id]
	if q == nil || q.link != index || q.state != inFlight {
		return false
	}
	link := &f.links[index]
	switch outcome {
	case Rejected:
		f.Counters.Rejected++
		link.rejected(now)
		f.finish(q, Action{Kind: Shed})
		return false
	case Answered:
		f.Counters.Answered++
		link.answered(q.sentAt, now)
	default:
		f.Counters.Failed++
	}
	f.forget(q)
	return true
}

// HandleStatus is called with the other site's status and the link's measured round trip.
func (f *Forwarder) HandleStatus(index LinkIndex, status Status, roundTrip, now time.Duration) {
	link := &f.links[index]
	link.status = status
	link.statusAt = now
	link.roundTrip = roundTrip
	reason := status.unavailableReason()
	unavailable := reason != ""
	if unavailable == link.loggedUnavailable {
		return
	}
	link.loggedUnavailable = unavailable
	text := link.name + " accepts forwarded queries again"
	if unavailable {
		text = link.name + " accepts no forwarded queries: " + reason
	}
	f.addAction(Action{Kind: Log, Text: text})
}

// unavailableReason returns why a site accepts no forwarded queries; empty if it accepts them.
func (s *Status) unavailableReason() string {
	switch {
	case s.Draining:
		return "draining"
	case s.Shedding:
		return "shedding load"
	case s.FreeShare <= 0:
		return "no capacity"
	default:
		return ""
	}
}

// Abandon is called when the client of a query has left.
func (f *Forwarder) Abandon(id uint64) {
	q := f.queries[id]
	if q == nil {
		return
	}
	f.cancelRemote(q)
	f.forget(q)
}

// cancelRemote tells the other site that the result of a query is no longer needed.
func (f *Forwarder) cancelRemote(q *forwardedQuery) {
	if q.state == inFlight && f.links[q.link].up {
		f.addAction(Action{Kind: Cancel, ID: q.ID, Link: q.link})
	}
}
