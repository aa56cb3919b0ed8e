package script

// This file turns a script into a schedule: the state of each node, the network and the load as functions of time alone, so that
// every simulation sees the same, in whatever order it asks.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is what happens to a node at a moment.
type Action uint8

const (
	Dies Action = iota + 1
	Vanishes
	Returns // from Dies or Vanishes; after Dies the node is cold
	Hangs
	Resumes // after Hangs
	Stalls  // for the event's Span
	Drains
	Leaves    // a drained node ends
	Arrives   // a new, cold node takes its place
	Slows     // its slowdown may have changed
	Lags      // for the event's Span it applies no writes
	RollsBack // by the event's Span
)

// Event is an action on a node at a time.
type Event struct {
	At     time.Duration
	Node   int
	Action Action
	Span   time.Duration
}

// Schedule is the schedule of a script: its faults by time.
type Schedule struct {
	s           *Script
	Events      []Event // by time
	Restarts    []Restart
	Down        []Span // discovery refuses calls
	Hangs       []Span // discovery accepts calls without answering
	nodeFactors [][]timedFactor
	cuts        []cut
	loadFactors []timedFactor // for all tenants
	floods      []flood
	losses      []timedFactor
}

// Restart is a broker that is killed at From and started again at To.
type Restart struct {
	Broker int
	Span
}

// Span is a period from From up to, but not including, To.
type Span struct{ From, To time.Duration }

// Includes reports whether a time lies in the span.
func (s Span) Includes(at time.Duration) bool { return at >= s.From && at < s.To }

// timedFactor is a factor that applies for a span, with a ramp at either end.
type timedFactor struct {
	Span
	ramp   time.Duration
	factor float64
	errors bool // factor is the share of shard requests that fail, not a slowdown
}

type cut struct {
	Span
	zone int
}

type flood struct {
	timedFactor
	tenant  int
	repeats bool
}

// valueAt returns the factor at a time; 1 outside the span.
func (t *timedFactor) valueAt(at time.Duration) float64 {
	if !t.Includes(at) {
		return 1
	}
	in := 1.0
	if t.ramp > 0 {
		in = min(1, float64(at-t.From)/float64(t.ramp), float64(t.To-at)/float64(t.ramp))
	}
	return 1 + in*(t.factor-1)
}

// Schedule returns the schedule of a checked script.
func (s *Script) Schedule() *Schedule {
	c := &Schedule{s: s, nodeFactors: make([][]timedFactor, s.Fleet.Nodes)}
	for i := range s.Faults {
		c.add(&s.Faults[i])
	}
	slices.SortStableFunc(c.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return c
}

func (c *Schedule) add(t *Fault) {
	span := Span{t.At, t.At + t.Length}
	one := timedFactor{span, t.Ramp, t.Factor, false}
	both := func(n int, first, last Action) {
		c.Events = append(c.Events, Event{t.At, n, first, 0}, Event{span.To, n, last, 0})
	}
	var nodes []int
	if t.onNodes() {
		nodes = c.s.nodesOf(t)
	}
	switch t.Kind {
	case "cut":
		c.cuts = append(c.cuts, cut{span, c.s.zone(t.Zone)})
	case "jump":
		c.loadFactors = append(c.loadFactors, one)
	case "flood":
		c.floods = append(c.floods, flood{one, c.s.tenant(t.Tenant), t.Repeats})
	case "loss":
		one.factor /= 100
		c.losses = append(c.losses, one)
	case "discovery_down":
		c.Down = append(c.Down, span)
	case "discovery_hang":
		c.Hangs = append(c.Hangs, span)
	case "restart":
		all := make([]int, c.s.Brokers.Count)
		for i := range all {
			all[i] = i
		}
		for _, b := range draw(all, t.Share, c.s.Seed, t) {
			c.Restarts = append(c.Restarts, Restart{b, span})
		}
	}
	for _, n := range nodes {
		switch t.Kind {
		case "die":
			both(n, Dies, Returns)
		case "vanish":
			both(n, Vanishes, Returns)
		case "hang":
			both(n, Hangs, Resumes)
		case "drain":
			c.Events = append(c.Events, Event{t.At, n, Drains, 0}, Event{span.To, n, Leaves, 0}, Event{span.To, n, Arrives, 0})
		case "lag":
			c.Events = append(c.Events, Event{t.At, n, Lags, t.Length})
		case "rollback":
			c.Events = append(c.Events, Event{t.At, n, RollsBack, time.Duration(t.Factor * float64(time.Second))})
		case "slow", "errors":
			one := one
			if one.errors = t.Kind == "errors"; one.errors {
				one.factor /= 100
			}
			c.nodeFactors[n] = append(c.nodeFactors[n], one)
		case "stall":
			r := rand.New(rand.NewPCG(uint64(c.s.Seed), uint64(n)<<32+uint64(t.At)))
			for at := t.At + time.Duration(r.Float64()*float64(t.Every)); at < span.To; at += time.Duration((0.5 + r.Float64()) * float64(t.Every)) {
				c.Events = append(c.Events, Event{at, n, Stalls, t.Pause})
			}
		}
	}
}

// Slow returns by how many times a node's service times are longer at a time.
func (c *Schedule) Slow(node int, at time.Duration) float64 {
	f := 1.0
	for i := range c.nodeFactors[node] {
		if t := &c.nodeFactors[node][i]; !t.errors {
			f *= t.valueAt(at)
		}
	}
	return f
}

// ErrorShare returns the share of its shard requests that a node fails at a time.
func (c *Schedule) ErrorShare(node int, at time.Duration) (share float64) {
	for i := range c.nodeFactors[node] {
		if t := &c.nodeFactors[node][i]; t.errors && t.Includes(at) {
			share = max(share, t.factor)
		}
	}
	return share
}

// Cut returns until when two zones are cut off from each other; 0: they are not.
func (c *Schedule) Cut(a, b int, at time.Duration) (until time.Duration) {
	for _, k := range c.cuts {
		if a != b && k.Includes(at) && (k.zone == a || k.zone == b) {
			until = max(until, k.To)
		}
	}
	return until
}

// Loss returns the share of packets that are lost at a time.
func (c *Schedule) Loss(at time.Duration) float64 {
	loss := c.s.Network.Loss
	for i := range c.losses {
		if c.losses[i].Includes(at) {
			loss = max(loss, c.losses[i].factor)
		}
	}
	return loss
}

// Load returns the factor on a tenant's load at a time, and whether its clients retry at once when they are refused.
func (c *Schedule) Load(tenant int, at time.Duration) (factor float64, repeats bool) {
	factor = 1
	for i := range c.loadFactors {
		factor *= c.loadFactors[i].valueAt(at)
	}
	for i := range c.floods {
		if f := &c.floods[i]; f.tenant == tenant {
			factor *= f.valueAt(at)
			repeats = repeats || f.repeats && f.Includes(at)
		}
	}
	return factor, repeats
}

// Max returns an upper bound of Load over all tenants and times.
func (c *Schedule) Max() float64 {
	most := 1.0
	for i := range c.loadFactors {
		most *= max(1, c.loadFactors[i].factor)
	}
	for i := range c.floods {
		most *= max(1, c.floods[i].factor)
	}
	return most
}

// End returns the time after which the schedule holds no more events.
func (c *Schedule) End() time.Duration {
	end := c.s.Length
	for _, t := range c.s.Faults {
		end = max(end, t.At+t.Length)
	}
	return end
}
