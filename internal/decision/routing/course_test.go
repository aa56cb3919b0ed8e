package routing

// This file tests the course of a search: answers, copies, resends, refusals.

import (
	"testing"
	"time"

	"flaxfront/internal/decision"
)

func TestWholeAtOnceAndPartialAtTheDeadline(t *testing.T) {
	r := newRig(smallTerms(), 6)
	r.ask(1, 4*time.Second, 0, 1, 2)
	must(t, len(pick(r.step(0), decision.SendAttempt)) == 3, "three parts are sent at once")
	r.endWhere(decision.OK, 0, nil)
	a := pick(r.step(100*ms), decision.AnswerQuery)
	must(t, len(a) == 1 && a[0].Complete, "whole answer expected: %v", a)
	r.ask(1, 4*time.Second, 0, 1, 2)
	r.step(0)
	r.end(r.order[0], decision.OK)
	r.end(r.order[1], decision.OK)
	for end := r.now + 2*time.Second - margin; r.now < end; {
		must(t, len(a) == 1, "answered at %v, before the deadline", r.now)
		a = append(a, pick(r.step(5*ms), decision.AnswerQuery)...)
	}
	must(t, len(a) == 2 && !a[1].Complete && r.bad == "", "partial answer expected: %v %s", a, r.bad)
}

// A search that can't be answered any more is not held.
func TestGivenUpAtOnce(t *testing.T) {
	r := newRig(smallTerms(), 6)
	r.ask(0, 3*time.Second, 0, 1)
	r.step(0)
	r.list(decision.FullListReceived)
	r.endWhere(decision.ConnectionReset, 0, nil)
	a := pick(r.step(5*ms), decision.ShedQuery)
	must(t, len(a) == 1 && a[0].RetryAfter > 0, "a shed with a time to come back expected: %v", a)
	r.ask(0, 3*time.Second, 0, 1)
	actions := r.step(5 * ms)
	must(t, len(pick(actions, decision.SendAttempt)) == 0 && len(r.searches) == 0, "no holder: shed before any work")
}

func TestShortTimeLeftAndManyAtOnce(t *testing.T) {
	r := newRig(smallTerms(), 6)
	for i := range 4000 {
		r.ask(i%2, time.Duration(i%50)*ms, 0, 1)
	}
	for range 20 {
		r.step(5 * ms)
	}
	must(t, r.bad == "" && len(r.searches) == 0, "%d left: %s", len(r.searches), r.bad)
}

func TestCopyAtP95AndLoserCancelled(t *testing.T) {
	terms := smallTerms()
	terms.QueryTypes[1].Idempotency = decision.NonIdempotent
	r := newRig(terms, 6)
	r.ask(0, 3*time.Second, 0)
	first := pick(r.step(0), decision.SendAttempt)[0]
	for r.now < 495*ms {
		must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 0, "copied at %v, before half the target", r.now)
	}
	second := pick(r.step(5*ms), decision.SendAttempt)
	must(t, len(second) == 1 && second[0].Node != first.Node, "a copy at another node expected")
	r.end(try{first.ID, 1}, decision.OK)
	actions := r.step(5 * ms)
	c := pick(actions, decision.CancelAttempt)
	must(t, len(c) == 1 && c[0].Attempt == 0 && len(pick(actions, decision.AnswerQuery)) == 1, "the loser is cancelled")

	// Copies in a general slowdown join the crowd (kisumu-leases big-1).
	d := &r.l.desk
	d.drew, d.p50, d.p95, d.base = true, 300*ms, 350*ms, 100*ms
	r.ask(0, 3*time.Second, 0)
	for end := r.now + 395*ms; r.now < end; {
		must(t, len(pick(r.step(5*ms), decision.SendAttempt)) <= 1, "copied at %v", r.now)
	}
	r.l.desk.base = d.p50
	r.ask(1, 4*time.Second, 0)
	r.step(0)
	r.step(time.Second)
	must(t, len(r.out) == 3 && r.bad == "", "a copy of the idempotent part alone: %d out, %s", len(r.out), r.bad)
}

func TestOneResendWithinTheCap(t *testing.T) {
	r := newRig(smallTerms(), 6)
	r.ask(0, 3*time.Second, 0)
	first := pick(r.step(0), decision.SendAttempt)[0]
	r.endWhere(decision.Errored, 0, nil)
	again := pick(r.step(5*ms), decision.SendAttempt)
	must(t, len(again) == 1 && again[0].Node != first.Node, "a resend elsewhere expected")
	r.endWhere(decision.Errored, 0, nil)
	must(t, len(pick(r.step(5*ms), decision.ShedQuery)) == 1, "after one resend it is given up")
	r.l.desk.tokens = 0
	r.ask(0, 3*time.Second, 0)
	r.step(5 * ms)
	r.endWhere(decision.Errored, 0, nil)
	must(t, len(pick(r.step(5*ms), decision.SendAttempt)) == 0, "no resend without a token")
}

func TestFewestCallsOut(t *testing.T) {
	terms := smallTerms()
	terms.MaxBatch = 8
	r := newRig(terms, 6)
	r.ask(0, 3*time.Second, 0, 2, 0)
	at := pick(r.step(5*ms), decision.SendAttempt)[0].Node
	must(t, len(r.sends[at]) == 3, "parts held by the same nodes ride one call")
	for range 2 {
		r.ask(0, 3*time.Second, 0)
		r.step(5 * ms)
	}
	must(t, len(r.sends) == 3, "calls spread evenly over the three holders: %v", r.sends)
}

// Late searches give their places back while places run short (incident ib51c67).
func TestPlacesRunShort(t *testing.T) {
	terms := smallTerms()
	terms.MaxInFlight = 20
	r := newRig(terms, 6)
	for range 8 {
		r.ask(0, 3*time.Second, 0)
	}
	r.step(0)
	r.step(970 * ms)
	must(t, len(r.searches) == 0, "%d late searches still held", len(r.searches))
}

// A crowded set refuses what needs it, is left out where an answer may be partial, and is tried again without
// news: refusal must not feed on itself (incident i9c5150).
func TestCrowdedSet(t *testing.T) {
	r := newRig(smallTerms(), 6)
	r.step(5 * time.Second)
	r.l.desk.slopes[0] = slope{of: float64(20 * time.Second), at: r.now}
	r.ask(0, 3*time.Second, 0, 1)
	must(t, len(pick(r.step(0), decision.ShedQuery)) == 1, "refused while a set it needs is slow")
	r.ask(1, 4*time.Second, 0, 1)
	must(t, len(pick(r.step(0), decision.SendAttempt)) == 1, "the part of the crowded set is left out")
	r.endWhere(decision.OK, 0, nil)
	r.ask(0, 3*time.Second, 0, 1)
	must(t, len(pick(r.step(25*time.Second), decision.SendAttempt)) == 2, "taken once the news is old")
}

// A set whose parts are called off unanswered is known to be slow (kisumu-leases-later big-1).
func TestUnansweredPartsTeach(t *testing.T) {
	r := newRig(smallTerms(), 6)
	for range 3 {
		r.ask(0, 1200*ms, 0)
		r.step(0)
		r.step(1200 * ms)
	}
	r.ask(0, 800*ms, 0)
	r.ask(0, 800*ms, 1)
	must(t, len(pick(r.step(0), decision.SendAttempt)) == 1 && r.bad == "", "only the other set is asked: %s", r.bad)
}

// What a repeat's client has spent shows in its length; a longer try does not hide it (incident ica07b0).
func TestRepeats(t *testing.T) {
	r := newRig(smallTerms(), 6)
	for i, left := range []time.Duration{2500, 2500, 2900, 2500, 2500, 1200} {
		id := r.ask(0, left*ms, 0)
		r.step(5 * ms)
		ref, ok := r.l.desk.find(id)
		must(t, ok, "search %d not in hand", i)
		spent, want := r.l.desk.slab[ref.slot].spent, []time.Duration{0, 1800 * ms}[i/5]
		must(t, spent == want, "search %d: spent %v", i, spent)
	}
}
