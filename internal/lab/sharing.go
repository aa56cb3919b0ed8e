package lab

// This file implements the compared policies that share a store between tenants.

import (
	"slices"
	"time"

	"flaxfront/internal/decision/admission"
)

// queuingPolicy is one policy. arrive decides on a new query, and done is told of the end of an admitted one. next returns the IDs of
// the queued queries that are admitted now (enter) and of those that are rejected (turned).
type queuingPolicy interface {
	arrive(s admission.Query, now time.Duration) admission.Decision
	done(work float64, took time.Duration, now time.Duration)
	next(now time.Duration) (enter, turned []uint64)
}

// fixedLimit implements the policies with a fixed limit: one queue per flow, of 64 queries that wait at most a quarter of their
// time left.
type fixedLimit struct {
	flow       func(tenant int) int
	queues     [][]waiter
	inFlight   float64
	choose     func(f *fixedLimit) int // which queue goes next; nil: queries are never queued
	tags       []float64               // start tag of each flow, for start-time fair queuing
	credit     []float64               // deficit of each flow, for deficit round robin
	nextFlow   int
	tokens     []float64 // per tenant; nil: no token buckets
	refilledAt time.Duration
}

type waiter struct {
	admission.Query
	expiresAt time.Duration
}

func (f *fixedLimit) arrive(s admission.Query, now time.Duration) admission.Decision {
	if f.tokens != nil {
		for i, w := range queueWeights {
			f.tokens[i] = min(400*w, f.tokens[i]+400*w*(now-f.refilledAt).Seconds())
		}
		if f.refilledAt = now; f.tokens[s.Tenant] < s.Work {
			return admission.Reject
		}
		f.tokens[s.Tenant] -= s.Work
	}
	flow := f.flow(s.Tenant)
	if f.inFlight+s.Work <= fixedInFlightLimit && (f.choose == nil || len(f.queues[flow]) == 0) {
		f.inFlight += s.Work
		f.tags[flow] += s.Work / queueWeights[s.Tenant]
		return admission.Admit
	}
	if f.choose == nil || len(f.queues[flow]) >= 64 {
		return admission.Reject
	}
	f.queues[flow] = append(f.queues[flow], waiter{s, now + s.TimeLeft/4})
	return admission.Enqueue
}

func (f *fixedLimit) done(work float64, _, _ time.Duration) { f.inFlight -= work }

func (f *fixedLimit) next(now time.Duration) (enter, turned []uint64) {
	for i := range f.queues {
		f.queues[i] = slices.DeleteFunc(f.queues[i], func(w waiter) bool {
			if w.expiresAt <= now {
				turned = append(turned, w.ID)
			}
			return w.expiresAt <= now
		})
	}
	for f.choose != nil {
		i := f.choose(f)
		if i < 0 || f.inFlight+f.queues[i][0].Work > fixedInFlightLimit {
			return enter, turned
		}
		w := f.queues[i][0]
		f.queues[i] = f.queues[i][1:]
		f.inFlight += w.Work
		f.tags[i] += w.Work / queueWeights[w.Tenant]
		enter = append(enter, w.ID)
	}
	return enter, turned
}

// deficitRoundRobin chooses by deficit round robin (Shreedhar and Varghese, 1995).
func deficitRoundRobin(f *fixedLimit) int {
	for range 4 * len(f.queues) {
		if q := f.queues[f.nextFlow]; len(q) > 0 {
			if f.credit[f.nextFlow] >= q[0].Work {
				f.credit[f.nextFlow] -= q[0].Work
				return f.nextFlow
			}
			f.credit[f.nextFlow] += 20 * queueWeights[q[0].Tenant]
		} else {
			f.credit[f.nextFlow] = 0
		}
		f.nextFlow = (f.nextFlow + 1) % len(f.queues)
	}
	return -1
}

// startTimeFair chooses by start-time fair queuing; the tags of idle flows catch up with the smallest tag of the waiting ones.
func startTimeFair(f *fixedLimit) int {
	best := -1
	for i := range f.queues {
		if len(f.queues[i]) > 0 && (best < 0 || f.tags[i] < f.tags[best]) {
			best = i
		}
	}
	if best >= 0 {
		for i := range f.tags {
			f.tags[i] = max(f.tags[i], f.tags[best])
		}
	}
	return best
}

func newFixedLimit(flows int, flow func(int) int, choose func(*fixedLimit) int) *fixedLimit {
	return &fixedLimit{flow: flow, queues: make([][]waiter, flows), choose: choose, tags: make([]float64, flows), credit: make([]float64, flows)}
}

// adaptiveLimit is the policy that brokers use.
type adaptiveLimit struct {
	*admission.Controller
	evicted []uint64 // since the last call of next
}

func (d *adaptiveLimit) arrive(s admission.Query, now time.Duration) admission.Decision {
	ruling := d.Arrive(s, now)
	if ruling.Evicted.ID != 0 {
		d.evicted = append(d.evicted, ruling.Evicted.ID)
	}
	return ruling.Decision
}

func (d *adaptiveLimit) done(work float64, took, now time.Duration) {
	d.Complete(admission.Completion{Work: work, Elapsed: took, Answered: took < 2*time.Second}, now)
}

func (d *adaptiveLimit) next(now time.Duration) (enter, turned []uint64) {
	lets, _ := d.Tick(now, nil)
	turned, d.evicted = d.evicted, nil
	for _, l := range lets {
		if l.Admitted {
			enter = append(enter, l.ID)
		} else {
			turned = append(turned, l.ID)
		}
	}
	return enter, turned
}
