// Package admission decides whether a query is passed to the router at once, waits in a queue, or is rejected with a Retry-After. It
// divides the store's capacity between tenants by weight, and within a tenant between its clients. It does not choose replicas, and
// decides nothing about a query that it has admitted.
//
// Tenants share by start-time fair queuing (Goyal, Vin and Cheng, 1996). Its unit is work: a query's number of shards. The limit of the
// work in flight follows from the delay that queries meet at the store, much as in CoDel (RFC 8289) and TCP Vegas.
//
//	Arrive ──► Admit ────────────────────────────────────────► router ──► Complete
//	   ├─────► Enqueue ──► Tick: capacity is free ──► admitted ──┘
//	   │                   Tick: its wait has expired ──► rejected
//	   │                   Arrive of a query whose client has less recent work: evicted ──► rejected
//	   └─────► Reject, with a Retry-After
//
// Every query that a Controller names is queued when it names it, and no longer after that: nothing is left to be told later, when the caller may
// have dropped the query.
//
// Times are durations since the broker's start. A Controller does no I/O, allocates nothing for a query that is admitted at once, and is
// used by one goroutine.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Policy holds the settings of a Controller.
type Policy struct {
	Weights       []float64 // of tenants, by number; a tenant with weight 0 has its queued queries admitted after all others
	MaxWaitShare  float64   // share of its remaining time that a query may wait in the queue
	MaxQueued     int       // queries of one tenant
	MinWork       float64   // work in flight below which queries are always admitted
	MaxRetryAfter time.Duration
	RetryShare    float64 // clients' retries that may be sent while the store is busy, as a share of a tenant's new queries
	Seed          uint64
}

const (
	retryAfterJitter   = 0.2  // width of the random spread, as a share of the Retry-After
	maxRetryTokens     = 50.0 // retries that a tenant can save up
	minWeight          = 1e-6
	shareWithoutWeight = 0.01 // of the store's capacity, assumed for tenants without weight
	initialLimit       = 4.0  // multiple of Policy.MinWork
)

// Decision is what happens to a query on its arrival.
type Decision uint8

// The decisions.
const (
	Admit   Decision = iota // pass it to the router
	Enqueue                 // keep it until Tick returns it
	Reject                  // answer it with the Retry-After
)

// Query is what admission control knows about a query.
type Query struct {
	ID       uint64 // not 0
	Tenant   int
	Client   uint64        // hash of the client's name; 0: unknown
	Work     float64       // number of shards
	TimeLeft time.Duration // until the client's timeout
	Retry    bool          // the client sends the query again
}

type queuedQuery struct {
	Query
	expiresAt time.Duration // when it is rejected if it still waits
}

type tenant struct {
	weight         float64
	nextStart      float64 // start tag of its next query, in virtual time
	queue          []queuedQuery
	queuedWork     float64
	promisedUntil  time.Duration // until then its share is promised to clients that were rejected with a Retry-After
	retryTokens    float64       // retries that it may send
	promises       float64       // clients told to return whose Retry-After is not over yet
	promisesAgedAt time.Duration // last call of agePromises
	Counts         Counts
}

// Counts are the counters of a tenant. The JSON names are those under /counters.
type Counts struct {
	Admitted          uint64  `json:"Entered"`
	AdmittedFromQueue uint64  `json:"Waited"`
	Rejected          uint64  `json:"TurnedAway"`
	Expired           uint64  `json:"RanOut"`
	Retries           uint64  `json:"Repeats"`
	Work              float64 // admitted
	Queued            int     `json:"Waiting"`
}

// Controller decides which queries are admitted, and when.
type Controller struct {
	policy      Policy
	tenants     []tenant
	clients     *Sketch
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

// State is the state of admission control. The JSON names are those under /counters.
type State struct {
	Limit       float64       // of the work at the store
	InFlight    float64       `json:"InHand"` // work
	Rate        float64       // work per second
	DelayFactor float64       `json:"Stretch"` // work in flight per work at the store; above 1: the broker itself adds delay
	Baseline    time.Duration // the store's delay without a queue
	Tenants     []Counts      // by number
}

// State returns the state at the given time.
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

// TenantsByWork returns the tenants' numbers, ordered by admitted work, most first.
func (s *State) TenantsByWork() []int {
	var order []int
	for i := range s.Tenants {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(s.Tenants[y].Work, s.Tenants[x].Work) })
	return order
}
