// Package admission decides at the door whether a search is handed to the decision module now, waits a little, or is turned
// away with the time at which there will be room. It shares what the store can do between tenants by weight, and within a
// tenant between its clients. It chooses no server and decides nothing of a search that it has let in. Nothing here does I/O,
// reads a clock, starts a goroutine, or allocates for a search that is let in at once.
//
// Between tenants it is start-time fair queuing (Goyal, Vin and Cheng, 1996) by work; how much work may be in hand at once is
// found by the delay that it meets, in the spirit of CoDel (RFC 8289) and of TCP Vegas.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds what operators may set.
type Policy struct {
	Weights       []float64 // of tenants, by number; 0: only what nobody else wants
	MaxWaitShare  float64   // of its time left that a search may wait here
	MaxQueued     int       // searches of one tenant that wait
	MinWork       float64   // work in hand that is always let in
	MaxRetryAfter time.Duration
	RetryShare    float64 // clients' repeats, as a share of a tenant's fresh searches, while others wait
	Seed          uint64
}

const (
	spread    = 0.2  // of a hint, drawn at random
	tokenMost = 50.0 // repeats saved up
)

// Decision is what becomes of a search on its arrival.
type Decision uint8

const (
	Admit   Decision = iota // hand it to the module
	Enqueue                 // Tick will tell
	Reject                  // refuse it now
)

// Query is what the door knows of one.
type Query struct {
	ID       uint64
	Tenant   int
	Client   uint64 // a hash of whatever names it; 0: nothing does
	Work     float64
	TimeLeft time.Duration // of its client's time
	Retry    bool          // its client asks again
}

// waiting is a search in a queue.
type waiting struct {
	Query
	came  time.Duration
	until time.Duration // no use in waiting longer
}

// tenant is one customer at the door.
type tenant struct {
	weight   float64
	tag      float64 // virtual time at which its next search would start
	queue    []waiting
	queued   float64       // work in the queue
	promised time.Duration // up to when its share is promised to those turned away
	tokens   float64       // repeats that it may send
	owed     float64       // promises whose time has not come
	ripened  time.Duration
	Counts   Counts
}

// Counts are what operators see of a tenant.
type Counts struct {
	Admitted          uint64  `json:"Entered"`
	AdmittedFromQueue uint64  `json:"Waited"`
	Rejected          uint64  `json:"TurnedAway"`
	Expired           uint64  `json:"RanOut"`
	Retries           uint64  `json:"Repeats"`
	Work              float64 // that entered
	Queued            int     `json:"Waiting"`
}

// Controller admits searches.
type Controller struct {
	policy  Policy
	tenants []tenant
	clients *Sketch
	evicted []Dequeued
	virtual float64
	rnd     uint64
	limiter
}

// NewController makes a door; nothing is in hand.
func NewController(p Policy) *Controller {
	d := &Controller{policy: p, clients: NewSketch(p.Seed), rnd: mix(p.Seed + 1),
		limiter: limiter{leastWork: p.MinWork, limit: 4 * p.MinWork, stretch: 1}}
	for _, w := range p.Weights {
		d.tenants = append(d.tenants, tenant{weight: w, tokens: tokenMost / 2})
	}
	return d
}

// State is what operators see of the door.
type State struct {
	Limit       float64 // work
	InFlight    float64 `json:"InHand"` // work
	Rate        float64 // work a second
	DelayFactor float64 `json:"Stretch"` // work in hand for each that is at the store; above 1: the broker itself is late
	Baseline    time.Duration
	Tenants     []Counts // by number
}

// State tells of all tenants.
func (d *Controller) State(now time.Duration) State {
	s := State{Limit: d.limit, InFlight: d.inHand, Rate: d.rate(now), DelayFactor: d.stretch, Baseline: d.low}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, d.tenants[i].Counts)
	}
	return s
}

// TenantsByWork lists tenants by the work that entered, most first.
func (s *State) TenantsByWork() (order []int) {
	for i := range s.Tenants {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(s.Tenants[y].Work, s.Tenants[x].Work) })
	return order
}
