// Package admission decides whether a query is handed to the router at once, waits a little, or is rejected with the time at which there
// will be room. It shares what the store can do between tenants by weight, and within a tenant between its clients. It chooses no
// replica, and decides nothing of a query that it has admitted.
//
// Between tenants it is start-time fair queuing (Goyal, Vin and Cheng, 1996) by work. How much work may be in flight at once is found by
// the delay that it meets, in the spirit of CoDel (RFC 8289) and of TCP Vegas.
//
//	Arrive ──► Admit ────────────────────────────────► router ──► Complete
//	   ├─────► Enqueue ──► Tick: room ──► admitted ──────┘
//	   │                   Tick: its time to wait is over, or a heavier client gives way ──► rejected
//	   └─────► Reject, with a Retry-After
//
// Times are spans since the broker's start. A Controller does no I/O, allocates nothing for a query that is admitted at once, and is used
// by one goroutine.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds what operators may set.
type Policy struct {
	Weights       []float64 // of tenants, by number; 0: only what nobody else wants
	MaxWaitShare  float64   // of its time left that a query may wait
	MaxQueued     int       // queries of one tenant
	MinWork       float64   // in flight, that is always admitted
	MaxRetryAfter time.Duration
	RetryShare    float64 // clients' retries while others wait, as a share of a tenant's fresh queries
	Seed          uint64
}

const (
	retryAfterJitter   = 0.2  // share
	maxRetryTokens     = 50.0 // retries saved up
	minWeight          = 1e-6
	shareWithoutWeight = 0.01 // of what the store can do, for tenants without weight
	initialLimit       = 4.0  // times Policy.MinWork
)

// Decision is what becomes of a query on its arrival.
type Decision uint8

// The decisions.
const (
	Admit   Decision = iota // hand it to the router
	Enqueue                 // Tick returns it later
	Reject
)

// Query is what admission control knows of a query.
type Query struct {
	ID       uint64
	Tenant   int
	Client   uint64 // a hash of whatever names it; 0: nothing does
	Work     float64
	TimeLeft time.Duration // until the client's timeout
	Retry    bool          // its client sends it again
}

type queuedQuery struct {
	Query
	expiresAt time.Duration // there is no use in waiting longer
}

type tenant struct {
	weight         float64
	nextStart      float64 // start tag of its next query, in virtual time
	queue          []queuedQuery
	queuedWork     float64
	promisedUntil  time.Duration // its share is promised until then, to those who were rejected with a Retry-After
	retryTokens    float64       // retries that it may send
	promises       float64       // whose time has not come
	promisesAgedAt time.Duration
	Counts         Counts
}

// Counts are what operators see of a tenant.
type Counts struct {
	Admitted          uint64  `json:"Entered"`
	AdmittedFromQueue uint64  `json:"Waited"`
	Rejected          uint64  `json:"TurnedAway"`
	Expired           uint64  `json:"RanOut"`
	Retries           uint64  `json:"Repeats"`
	Work              float64 // that was admitted
	Queued            int     `json:"Waiting"`
}

// Controller admits queries.
type Controller struct {
	policy      Policy
	tenants     []tenant
	clients     *Sketch
	evicted     []Dequeued // since the last Tick
	virtualTime float64
	randomState uint64
	limiter
}

// NewController returns a controller with nothing in flight.
func NewController(p Policy) *Controller {
	c := &Controller{
		policy:      p,
		clients:     NewSketch(p.Seed),
		randomState: mix(p.Seed + 1),
		limiter:     limiter{minWork: p.MinWork, limit: initialLimit * p.MinWork, delayFactor: 1},
	}
	for _, weight := range p.Weights {
		c.tenants = append(c.tenants, tenant{weight: weight, retryTokens: maxRetryTokens / 2})
	}
	return c
}

// State is what operators see. The JSON names are those under /counters.
type State struct {
	Limit       float64       // work at the store
	InFlight    float64       `json:"InHand"` // work
	Rate        float64       // work a second
	DelayFactor float64       `json:"Stretch"` // work in flight for each that is at the store; above 1: the broker itself is late
	Baseline    time.Duration // the store's delay without a queue
	Tenants     []Counts      // by number
}

// State returns the state at a moment.
func (c *Controller) State(now time.Duration) State {
	s := State{
		Limit:       c.limit,
		InFlight:    c.inFlight,
		Rate:        c.rate(now),
		DelayFactor: c.delayFactor,
		Baseline:    c.baseline,
	}
	for i := range c.tenants {
		s.Tenants = append(s.Tenants, c.tenants[i].Counts)
	}
	return s
}

// TenantsByWork returns tenants by the work that was admitted, most first.
func (s *State) TenantsByWork() []int {
	var order []int
	for i := range s.Tenants {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(s.Tenants[y].Work, s.Tenants[x].Work) })
	return order
}
