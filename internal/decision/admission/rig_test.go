package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const ms = time.Millisecond

// rig is a door before a simulated store of some cores, in virtual time.
type rig struct {
	*Controller
	now    time.Duration
	cores  []time.Duration
	mean   time.Duration
	rnd    *rand.Rand
	events events
	seq    int
	by     map[uint64]*job
	next   uint64
	tick   time.Duration
	lag    time.Duration // the broker takes a turn each so often only; 0: whenever something happens
	unseen time.Duration // answers wait for a core by up to so much before anybody notes when they came
	blind  bool          // and does not know how late it was
}

// turn is when the broker gets round to what happens at a moment.
func (r *rig) turn(when time.Duration) time.Duration {
	if r.lag == 0 {
		return when
	}
	return (when + r.lag - 1) / r.lag * r.lag
}

type job struct {
	Query
	due  time.Duration
	came time.Duration
	end  func(how string, hint time.Duration)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() (x any) {
	n := len(*e) - 1
	x, *e = (*e)[n], (*e)[:n]
	return x
}

func newRig(cores int, mean time.Duration, weights ...float64) *rig {
	return &rig{Controller: NewController(Policy{Weights: weights, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 4, MaxRetryAfter: 4 * time.Second,
		RetryShare: 0.2, Seed: 5}), cores: make([]time.Duration, cores), mean: mean, rnd: rand.New(rand.NewPCG(1, 2)), by: map[uint64]*job{},
		tick: math.MaxInt64}
}

func (r *rig) at(when time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{max(when, r.now), r.seq, do})
}

func (r *rig) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = until
}

// ask brings a search; end hears of it once.
func (r *rig) ask(s Query, end func(how string, hint time.Duration)) {
	r.next++
	s.ID = r.next
	j := &job{s, r.now + s.TimeLeft, r.now, end}
	r.by[s.ID] = j
	if r.lag == 0 {
		r.rule(j)
	} else {
		r.at(r.turn(r.now), func() { r.rule(j) })
	}
}

// rule has the door rule on a search.
func (r *rig) rule(j *job) {
	j.TimeLeft = j.due - r.now
	ruling, hint := r.Arrive(j.Query, r.now)
	switch ruling {
	case Admit:
		r.serve(j)
	case Reject:
		r.done(j, "turned", hint)
	case Enqueue:
		r.look()
	}
}

func (r *rig) done(j *job, how string, hint time.Duration) {
	if r.by[j.ID] == nil {
		panic("a search ended twice")
	}
	delete(r.by, j.ID)
	j.end(how, hint)
}

// serve has the store work on a search, part after part on whatever core is free first.
func (r *rig) serve(j *job) {
	begun, last := r.now, r.now
	for range int(j.Work) {
		best := 0
		for i := range r.cores {
			if r.cores[i] < r.cores[best] {
				best = i
			}
		}
		r.cores[best] = max(r.now, r.cores[best]) + time.Duration((0.5+0.5*r.rnd.ExpFloat64())*float64(r.mean))
		last = max(last, r.cores[best])
	}
	if r.unseen > 0 {
		last += time.Duration(r.rnd.Float64() * float64(r.unseen))
	}
	r.at(r.turn(last), func() {
		own := r.now - last
		if r.blind {
			own = 0
		}
		r.Complete(Completion{j.Work, r.now - begun, own, r.now <= j.due, r.now > j.due}, r.now)
		how := "late"
		if r.now <= j.due {
			how = "answered"
		}
		r.done(j, how, 0)
		r.look()
	})
}

func (r *rig) look() {
	lets, next := r.Tick(r.now, nil)
	for _, l := range lets {
		if j := r.by[l.ID]; l.Admitted {
			r.serve(j)
		} else {
			r.done(j, "turned", l.RetryAfter)
		}
	}
	if next < time.Hour && (r.tick <= r.now || next < r.tick) {
		r.tick = next
		r.tick = r.turn(next)
		r.at(r.tick, func() {
			if r.tick == r.now {
				r.look()
			}
		})
	}
}

// tally counts ends by tenant.
type tally struct{ asked, answered, turned, late int }

// flow has a tenant ask at a rate; obeys is whether those turned away come back when told.
func (r *rig) flow(tenant int, rate, work float64, from, to time.Duration, client func() uint64, t *tally) {
	var next func()
	next = func() {
		if r.now >= to {
			return
		}
		t.asked++
		r.ask(Query{Tenant: tenant, Client: client(), Work: work, TimeLeft: 2 * time.Second}, func(how string, _ time.Duration) {
			switch how {
			case "answered":
				t.answered++
			case "turned":
				t.turned++
			default:
				t.late++
			}
		})
		r.at(r.now+time.Duration(r.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.at(from, next)
}

func nobody() uint64 { return 0 }
