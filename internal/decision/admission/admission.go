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
	Weights   []float64 // of tenants, by number; 0: only what nobody else wants
	WaitShare float64   // of its time left that a search may wait here
	MostWait  int       // searches of one tenant that wait
	LeastWork float64   // work in hand that is always let in
	MostHint  time.Duration
	Repeats   float64 // clients' repeats, as a share of a tenant's fresh searches, while others wait
	Seed      uint64
}

const (
	spread    = 0.2  // of a hint, drawn at random
	tokenMost = 50.0 // repeats saved up
)

// Ruling is what becomes of a search on its arrival.
type Ruling uint8

const (
	Enter Ruling = iota // hand it to the module
	Wait                // Tick will tell
	Turn                // refuse it now
)

// Search is what the door knows of one.
type Search struct {
	ID     uint64
	Tenant int
	Client uint64 // a hash of whatever names it; 0: nothing does
	Work   float64
	Left   time.Duration // of its client's time
	Repeat bool          // its client asks again
}

// waiting is a search in a queue.
type waiting struct {
	Search
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
	Entered    uint64  `json:"Entered"`
	Waited     uint64  `json:"Waited"`
	TurnedAway uint64  `json:"TurnedAway"`
	RanOut     uint64  `json:"RanOut"`
	Repeats    uint64  `json:"Repeats"`
	Work       float64 // that entered
	Waiting    int     `json:"Waiting"`
}

// Door admits searches.
type Door struct {
	policy  Policy
	tenants []tenant
	clients *Sketch
	evicted []Let
	virtual float64
	rnd     uint64
	limiter
}

// NewDoor makes a door; nothing is in hand.
func NewDoor(p Policy) *Door {
	d := &Door{policy: p, clients: NewSketch(p.Seed), rnd: mix(p.Seed + 1),
		limiter: limiter{leastWork: p.LeastWork, limit: 4 * p.LeastWork, stretch: 1}}
	for _, w := range p.Weights {
		d.tenants = append(d.tenants, tenant{weight: w, tokens: tokenMost / 2})
	}
	return d
}

// State is what operators see of the door.
type State struct {
	Limit    float64 // work
	InHand   float64 `json:"InHand"` // work
	Rate     float64 // work a second
	Stretch  float64 `json:"Stretch"` // work in hand for each that is at the store; above 1: the broker itself is late
	Baseline time.Duration
	Tenants  []Counts // by number
}

// State tells of all tenants.
func (d *Door) State(now time.Duration) State {
	s := State{Limit: d.limit, InHand: d.inHand, Rate: d.rate(now), Stretch: d.stretch, Baseline: d.low}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, d.tenants[i].Counts)
	}
	return s
}

// Top lists tenants by the work that entered, most first.
func (s *State) Top() (order []int) {
	for i := range s.Tenants {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(s.Tenants[y].Work, s.Tenants[x].Work) })
	return order
}
