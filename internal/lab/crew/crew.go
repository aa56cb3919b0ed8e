// Package crew emulates a tier of brokers that keep one another's company, in virtual time: the real decisions on members and duties
// over a simulated network that loses, delays, doubles and reorders datagrams, with brokers that are killed, paused, cut off, slow
// to get their core, or whose clock jumps. It audits what came of the duties from outside. The same seed gives the same course.
//
// Depends on decision/ownership, decision/membership, lab/queue. Concurrency: it spreads work over goroutines
// that end with each call; a value is used by one goroutine at a time.
package crew

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
	"flaxfront/internal/lab/queue"
)

// Options describe a tier.
type Options struct {
	Brokers        int
	Seed           uint64
	Loss           float64
	Delay          time.Duration // one way, on average
	Duplicates     float64       // share of datagrams that come twice
	Policy         membership.Policy
	Jobs           []ownership.Job
	Lease          ownership.Policy
	AllToAll       bool          // heartbeats of each to each instead, for comparison
	StarveDelay    time.Duration // a starved broker gets its core so late, at times
	StarvedBrokers int           // brokers that are
}

// DefaultPolicy is what brokers use, with as many bytes as the platform leaves after a seal.
var DefaultPolicy = membership.Policy{ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 5, MaxSuspicionFactor: 2,
	ForgetAfter: 10 * time.Minute, SyncInterval: 3 * time.Second, MaxDatagramBytes: 220, MaxMembers: 1000}

// Lease is the default of duties.
var Lease = ownership.Policy{Lease: 3 * time.Second, SettleTime: 400 * time.Millisecond, RenewInterval: time.Second}

// Cluster is a tier of brokers.
type Cluster struct {
	o               Options
	now             time.Duration
	events          queue.Queue[func()]
	seq             uint32
	rnd             *rand.Rand
	Brokers         []*Broker
	Blocked         func(from, to int) bool // datagrams that do not arrive; nil: all do
	Runs            []Run
	Bytes           int64
	LongestDatagram int // datagram
	Deaths          []DeathReport
}

// Run is a duty that was done, as it took effect.
type Run struct {
	Job, Broker int
	At          time.Duration
	Fence       uint32
}

// DeathReport is a broker that another took for dead.
type DeathReport struct {
	At               time.Duration
	Broker, Reporter int
	FalsePositive    bool
}

// Broker is one of them.
type Broker struct {
	cluster    *Cluster
	index      int
	addr       netip.AddrPort
	Members    *membership.Detector
	Jobs       *ownership.Coordinator
	Up         bool
	Paused     bool
	startCount int
	clockSkew  time.Duration // of its clock
	deferred   []func()      // what came while it was paused
	wakeAt     time.Duration // when it is to tick
	heardAt    map[int]time.Duration
	dead       map[int]bool
	view       []ownership.Member
}

// Name is a broker's name.
func Name(n int) string { return fmt.Sprintf("broker-%03d", n) }

// New starts all brokers of a tier, each with the first three as seeds.
func New(o Options) *Cluster {
	cluster := &Cluster{o: o, rnd: rand.New(rand.NewPCG(o.Seed, 0x63726577))}
	for index := range o.Brokers {
		b := &Broker{cluster: cluster, index: index, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7946)}
		cluster.Brokers = append(cluster.Brokers, b)
		cluster.at(time.Duration(cluster.rnd.Int64N(int64(200*time.Millisecond))), b.start)
	}
	return cluster
}

func (c *Cluster) at(when time.Duration, do func()) {
	c.seq++
	c.events.Push(queue.Item[func()]{Key: queue.Key{At: max(when, c.now), Seq: c.seq}, Value: do})
}

// Run plays until a moment.
func (c *Cluster) Run(until time.Duration) {
	for {
		at, any := c.events.Peek()
		if !any || at > until {
			c.now = until
			return
		}
		c.now = at
		c.events.Pop().Value()
	}
}

// Now is the moment played up to.
func (c *Cluster) Now() time.Duration { return c.now }

// Kill ends a broker without a word.
func (c *Cluster) Kill(n int) { c.Brokers[n].Up = false }

// Restart starts it again with nothing.
func (c *Cluster) Restart(n int) { c.Brokers[n].start() }

// Stop ends a broker as planned.
func (c *Cluster) Stop(n int) {
	b := c.Brokers[n]
	b.Jobs.ReleaseAll(b.clock())
	b.broadcastClaims()
	b.Members.Leave()
	b.flush()
	b.Up = false
}

// Pause stops a broker's process; Resume lets it go on. What came meanwhile comes then.
func (c *Cluster) Pause(n int) { c.Brokers[n].Paused = true }

// Resume lets a paused broker go on.
func (c *Cluster) Resume(n int) {
	b := c.Brokers[n]
	b.Paused = false
	b.tick()
	for _, do := range b.deferred {
		do()
	}
	b.deferred = nil
}

// SkewClock moves a broker's clock.
func (c *Cluster) SkewClock(n int, by time.Duration) { c.Brokers[n].clockSkew += by }

// ViewsAgree tells whether all that are up hold the same ones for living, and exactly those that are up.
func (c *Cluster) ViewsAgree() bool {
	for _, b := range c.Brokers {
		if !b.Up || b.Paused {
			continue
		}
		living := map[string]bool{}
		for _, m := range b.Members.Members() {
			if m.State <= membership.Suspect {
				living[m.Name] = true
			}
		}
		for _, o := range c.Brokers {
			if living[Name(o.index)] != (o.Up && !o.Paused) {
				return false
			}
		}
	}
	return true
}

// MaxRuns is how often a duty took effect in any period, and the longest time between two effects, or from a moment to the first
// after it and from the last to the end.
func (c *Cluster) MaxRuns(duty int, from time.Duration) (times int, gap time.Duration) {
	var at []time.Duration
	for _, r := range c.Runs {
		if r.Job == duty && r.At >= from {
			at = append(at, r.At)
		}
	}
	last := from
	for i, t := range at {
		gap, last = max(gap, t-last), t
		n := 0
		for _, u := range at[i:] {
			if u < t+c.o.Jobs[duty].Period*98/100 { // a run begins when its period has passed, and takes effect a moment later
				n++
			}
		}
		times = max(times, n)
	}
	return times, max(gap, c.now-last)
}
