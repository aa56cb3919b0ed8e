package lab

// This file owns the ways to share a store between tenants that are compared.

import (
	"slices"
	"time"

	"flaxfront/internal/decision/admission"
)

// sharing is one way: it rules on arrivals, and tells who may enter when something ends.
type sharing interface {
	arrive(s admission.Query, now time.Duration) admission.Decision
	done(work float64, took time.Duration, now time.Duration)
	next(now time.Duration) (enter, turned []uint64)
}

// fixed is what the ways with a fixed limit share: queues by flow, of 64 searches that wait half a second at most.
type fixed struct {
	flow   func(tenant int) int
	queues [][]waiter
	inHand float64
	choose func(f *fixed) int // which queue goes next; nil: nobody waits at all
	tags   []float64
	credit []float64
	at     int
	bucket []float64 // tokens, where there are any
	filled time.Duration
}

type waiter struct {
	admission.Query
	until time.Duration
}

func (f *fixed) arrive(s admission.Query, now time.Duration) admission.Decision {
	if f.bucket != nil {
		for i, w := range queueWeights {
			f.bucket[i] = min(400*w, f.bucket[i]+400*w*(now-f.filled).Seconds())
		}
		if f.filled = now; f.bucket[s.Tenant] < s.Work {
			return admission.Reject
		}
		f.bucket[s.Tenant] -= s.Work
	}
	flow := f.flow(s.Tenant)
	if f.inHand+s.Work <= queuePlaces && (f.choose == nil || len(f.queues[flow]) == 0) {
		f.inHand += s.Work
		f.tags[flow] += s.Work / queueWeights[s.Tenant]
		return admission.Admit
	}
	if f.choose == nil || len(f.queues[flow]) >= 64 {
		return admission.Reject
	}
	f.queues[flow] = append(f.queues[flow], waiter{s, now + s.TimeLeft/4})
	return admission.Enqueue
}

func (f *fixed) done(work float64, _, _ time.Duration) { f.inHand -= work }

func (f *fixed) next(now time.Duration) (enter, turned []uint64) {
	for i := range f.queues {
		f.queues[i] = slices.DeleteFunc(f.queues[i], func(w waiter) bool {
			if w.until <= now {
				turned = append(turned, w.ID)
			}
			return w.until <= now
		})
	}
	for f.choose != nil {
		i := f.choose(f)
		if i < 0 || f.inHand+f.queues[i][0].Work > queuePlaces {
			return enter, turned
		}
		w := f.queues[i][0]
		f.queues[i] = f.queues[i][1:]
		f.inHand += w.Work
		f.tags[i] += w.Work / queueWeights[w.Tenant]
		enter = append(enter, w.ID)
	}
	return enter, turned
}

// deficit is deficit round robin (Shreedhar and Varghese, 1995).
func deficit(f *fixed) int {
	for range 4 * len(f.queues) {
		if q := f.queues[f.at]; len(q) > 0 {
			if f.credit[f.at] >= q[0].Work {
				f.credit[f.at] -= q[0].Work
				return f.at
			}
			f.credit[f.at] += 20 * queueWeights[q[0].Tenant]
		} else {
			f.credit[f.at] = 0
		}
		f.at = (f.at + 1) % len(f.queues)
	}
	return -1
}

// startTags is start-time fair queuing; tags of idle flows catch up with the least of those that wait.
func startTags(f *fixed) int {
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

func newFixed(flows int, flow func(int) int, choose func(*fixed) int) *fixed {
	return &fixed{flow: flow, queues: make([][]waiter, flows), choose: choose, tags: make([]float64, flows), credit: make([]float64, flows)}
}

// door is the one that serves.
type door struct{ *admission.Controller }

func (d door) arrive(s admission.Query, now time.Duration) admission.Decision {
	r, _ := d.Arrive(s, now)
	return r
}
func (d door) done(work float64, took, now time.Duration) {
	d.Complete(admission.Completion{Work: work, Elapsed: took, Answered: took < 2*time.Second}, now)
}
func (d door) next(now time.Duration) (enter, turned []uint64) {
	lets, _ := d.Tick(now, nil)
	for _, l := range lets {
		if l.Admitted {
			enter = append(enter, l.ID)
		} else {
			turned = append(turned, l.ID)
		}
	}
	return enter, turned
}
