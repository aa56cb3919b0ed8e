package lab

// This file compares, in virtual time and under the same load, policies that share a store between tenants.

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"flaxfront/internal/decision/admission"
)

const (
	queueCores         = 16
	queueMeanWork      = 40 * time.Millisecond // 16 cores: 400 shard requests per second
	fixedInFlightLimit = 128                   // shard requests in flight, for policies with a fixed limit
)

var queueWeights = []float64{0.5, 0.2, 0.1, 0.1, 0.1}

// CompareQueuing prints the result of each policy when one tenant sends twenty times its share, from 5 s to 25 s.
func CompareQueuing(out io.Writer) {
	self := func(t int) int { return t }
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tother tenants served\tp50\tp99\tflooding tenant's shard requests per second\tstore used\tfair after\t")
	for _, way := range []struct {
		name string
		make func() queuingPolicy
	}{
		{"first come, first served", func() queuingPolicy { return newFixedLimit(5, self, nil) }},
		{"token buckets", func() queuingPolicy { f := newFixedLimit(5, self, nil); f.tokens = make([]float64, 5); return f }},
		{"deficit round robin", func() queuingPolicy { return newFixedLimit(5, self, deficitRoundRobin) }},
		{"start-time fair queuing", func() queuingPolicy { return newFixedLimit(5, self, startTimeFair) }},
		{"stochastic, 4 buckets", func() queuingPolicy { return newFixedLimit(4, func(t int) int { return t * 7 % 4 }, startTimeFair) }},
		{"start-time and an adaptive limit", func() queuingPolicy {
			return &adaptiveLimit{Controller: admission.NewController(admission.Policy{Weights: queueWeights, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 8,
				MaxRetryAfter: 2 * time.Second, RetryShare: 0.2, Seed: 7})}
		}},
	} {
		simulateQueuing(t, way.name, way.make())
	}
	t.Flush()
}

func simulateQueuing(out io.Writer, name string, way queuingPolicy) {
	var queue eventHeap
	var now time.Duration
	rnd, seq, id := rand.New(rand.NewPCG(3, 4)), 0, uint64(0)
	at := func(when time.Duration, do func()) {
		seq++
		heap.Push(&queue, timedEvent{max(when, now), seq, do})
	}
	type held struct {
		admission.Query
		came time.Duration
	}
	cores, hand := make([]time.Duration, queueCores), map[uint64]held{}
	asked, served, worked := make([]int, 5), make([]int, 5), make([]float64, 5)
	var took []time.Duration
	late := time.Duration(0) // last time, from the start of the flood, at which a query of another tenant was not served
	miss := func(h held) {
		if h.Tenant > 0 && h.came > 5*time.Second && h.came < 25*time.Second {
			late = max(late, h.came-5*time.Second)
		}
	}
	var serve func(h held)
	look := func() {
		enter, turned := way.next(now)
		for _, id := range turned {
			miss(hand[id])
			delete(hand, id)
		}
		for _, id := range enter {
			serve(hand[id])
		}
	}
	serve = func(h held) {
		begun, last := now, now
		for range int(h.Work) {
			best := 0
			for i := range cores {
				if cores[i] < cores[best] {
					best = i
				}
			}
			cores[best] = max(now, cores[best]) + time.Duration((0.5+0.5*rnd.ExpFloat64())*float64(queueMeanWork))
			last = max(last, cores[best])
		}
		at(last, func() {
			way.done(h.Work, now-begun, now)
			delete(hand, h.ID)
			if in := now - h.came; in < 2*time.Second && h.came > 5*time.Second && h.came < 25*time.Second {
				served[h.Tenant]++
				worked[h.Tenant] += h.Work
				if h.Tenant > 0 {
					took = append(took, in)
				}
			}
			look()
		})
	}
	for tenant, rate := range []float64{2000, 30, 15, 15, 15} { // queries per second, of two shard requests each; the first tenant's share is 100
		from := time.Duration(0)
		if tenant == 0 {
			from = 5 * time.Second
		}
		var ask func()
		ask = func() {
			if now >= 25*time.Second {
				return
			}
			id++
			h := held{admission.Query{ID: id, Tenant: tenant, Work: 2, TimeLeft: 2 * time.Second}, now}
			if now > 5*time.Second {
				asked[tenant]++
			}
			hand[id] = h
			switch way.arrive(h.Query, now) {
			case admission.Admit:
				serve(h)
			case admission.Reject:
				delete(hand, id)
				miss(h)
			}
			at(now+time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), ask)
		}
		at(from, ask)
	}
	for when := time.Duration(0); when < 30*time.Second; when += 20 * time.Millisecond {
		at(when, look)
	}
	for len(queue) > 0 {
		m := heap.Pop(&queue).(timedEvent)
		now = m.at
		m.do()
	}
	slices.Sort(took)
	quiet, all, work := 0, 0, 0.0
	for i := range asked {
		if work += worked[i]; i > 0 {
			quiet, all = quiet+served[i], all+asked[i]
		}
	}
	q := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))].Round(time.Millisecond) }
	fair := "at once"
	if late > 19*time.Second {
		fair = "never"
	} else if late > 0 {
		fair = late.Round(10 * time.Millisecond).String()
	}
	fmt.Fprintf(out, "%s\t%.2f%%\t%v\t%v\t%.0f\t%.1f%%\t%s\t\n", name, 100*float64(quiet)/float64(all), q(0.5), q(0.99), worked[0]/20,
		100*work/(400*20), fair)
}
