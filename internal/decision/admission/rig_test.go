package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

const ms = time.Millisecond

// simulation runs a Controller in front of a simulated store with a number of cores, in virtual time.
type simulation struct {
	*Controller
	now               time.Duration
	cores             []time.Duration // when each core is free
	meanServiceTime   time.Duration
	rnd               *rand.Rand
	events            events
	seq               int
	jobs              map[uint64]*job
	lastID            uint64
	nextTick          time.Duration
	turnInterval      time.Duration // the broker runs once per interval; 0: at each event
	maxUnseenDelay    time.Duration // longest wait of an answer for a core of the broker before its arrival is recorded
	ignoreBrokerDelay bool          // the broker reports no OwnDelay
}

// turnAt returns when the broker handles an event of the given time.
func (r *simulation) turnAt(when time.Duration) time.Duration {
	if r.turnInterval == 0 {
		return when
	}
	return (when + r.turnInterval - 1) / r.turnInterval * r.turnInterval
}

type job struct {
	Query
	deadline  time.Duration
	arrivedAt time.Duration
	onEnd     func(outcome string, retryAfter time.Duration)
}

type event struct {
	at     time.Duration
	seq    int
	action func()
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

func newSimulation(cores int, meanServiceTime time.Duration, weights ...float64) *simulation {
	return &simulation{Controller: NewController(Policy{Weights: weights, MaxWaitShare: 0.25, MaxQueued: 64, MinWork: 4, MaxRetryAfter: 4 * time.Second,
		RetryShare: 0.2, Seed: 5}), cores: make([]time.Duration, cores), meanServiceTime: meanServiceTime, rnd: rand.New(rand.NewPCG(1, 2)),
		jobs: map[uint64]*job{}, nextTick: math.MaxInt64}
}

func (r *simulation) schedule(when time.Duration, action func()) {
	r.seq++
	heap.Push(&r.events, event{max(when, r.now), r.seq, action})
}

func (r *simulation) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	r.now = until
}

// submit sends a query now; onEnd is called once, with the outcome.
func (r *simulation) submit(s Query, onEnd func(outcome string, retryAfter time.Duration)) {
	r.lastID++
	s.ID = r.lastID
	j := &job{s, r.now + s.TimeLeft, r.now, onEnd}
	r.jobs[s.ID] = j
	if r.turnInterval == 0 {
		r.arrive(j)
	} else {
		r.schedule(r.turnAt(r.now), func() { r.arrive(j) })
	}
}

// arrive asks the controller for its decision on a query.
func (r *simulation) arrive(j *job) {
	j.TimeLeft = j.deadline - r.now
	ruling := r.Arrive(j.Query, r.now)
	switch ruling.Decision {
	case Admit:
		r.serve(j)
	case Reject:
		r.finish(j, "turned", ruling.RetryAfter)
	case Enqueue:
		if evicted := ruling.Evicted; evicted.ID != 0 {
			r.finish(r.jobs[evicted.ID], "turned", evicted.RetryAfter)
		}
		r.runTick()
	}
}

func (r *simulation) finish(j *job, outcome string, retryAfter time.Duration) {
	if r.jobs[j.ID] == nil {
		panic("a query ended twice")
	}
	delete(r.jobs, j.ID)
	j.onEnd(outcome, retryAfter)
}

// serve runs a query's shard requests, each on the core that is free first, and schedules its end.
func (r *simulation) serve(j *job) {
	admittedAt, answeredAt := r.now, r.now
	for range int(j.Work) {
		core := 0
		for i := range r.cores {
			if r.cores[i] < r.cores[core] {
				core = i
			}
		}
		r.cores[core] = max(r.now, r.cores[core]) + time.Duration((0.5+0.5*r.rnd.ExpFloat64())*float64(r.meanServiceTime))
		answeredAt = max(answeredAt, r.cores[core])
	}
	if r.maxUnseenDelay > 0 {
		answeredAt += time.Duration(r.rnd.Float64() * float64(r.maxUnseenDelay))
	}
	r.schedule(r.turnAt(answeredAt), func() {
		ownDelay := r.now - answeredAt
		if r.ignoreBrokerDelay {
			ownDelay = 0
		}
		r.Complete(Completion{j.Work, r.now - admittedAt, ownDelay, r.now <= j.deadline, r.now > j.deadline}, r.now)
		outcome := "late"
		if r.now <= j.deadline {
			outcome = "answered"
		}
		r.finish(j, outcome, 0)
		r.runTick()
	})
}

func (r *simulation) runTick() {
	dequeued, next := r.Tick(r.now, nil)
	for _, l := range dequeued {
		if j := r.jobs[l.ID]; l.Admitted {
			r.serve(j)
		} else {
			r.finish(j, "turned", l.RetryAfter)
		}
	}
	if next < time.Hour && (r.nextTick <= r.now || next < r.nextTick) {
		r.nextTick = next
		r.nextTick = r.turnAt(next)
		r.schedule(r.nextTick, func() {
			if r.nextTick == r.now {
				r.runTick()
			}
		})
	}
}

// tally counts the outcomes of a tenant's queries.
type tally struct{ submitted, answered, rejected, late int }

// addLoad submits queries of a tenant at random times, rate per second on average, between two times.
func (r *simulation) addLoad(tenant int, rate, work float64, from, to time.Duration, client func() uint64, t *tally) {
	var next func()
	next = func() {
		if r.now >= to {
			return
		}
		t.submitted++
		r.submit(Query{Tenant: tenant, Client: client(), Work: work, TimeLeft: 2 * time.Second}, func(outcome string, _ time.Duration) {
			switch outcome {
			case "answered":
				t.answered++
			case "turned":
				t.rejected++
			default:
				t.late++
			}
		})
		r.schedule(r.now+time.Duration(r.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.schedule(from, next)
}

func noClient() uint64 { return 0 }
