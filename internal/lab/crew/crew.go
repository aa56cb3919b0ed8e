// Package crew simulates the membership and the ownership of jobs in a tier of brokers, in virtual time: the real decisions over
// a simulated network that loses, delays, duplicates and reorders datagrams, with brokers that are killed, paused, cut off,
// starved of their core, or whose clock jumps. It audits the runs of the jobs from outside. The same seed gives the same run.
//
// Depends on decision/ownership, decision/membership, lab/queue. Concurrency: it spreads work over goroutines that end with each
// call; a value is used by one goroutine at a time.
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
	Duplicates     float64       // share of datagrams that arrive twice
	Policy         membership.Policy
	Jobs           []ownership.Job
	Lease          ownership.Policy
	AllToAll       bool          // for comparison: heartbeats from each broker to each other
	StarveDelay    time.Duration // mean delay until a starved broker gets its core
	StarvedBrokers int           // how many brokers are starved
}

// DefaultPolicy is what brokers use. A message of MaxDatagramBytes fits into an authenticated datagram.
var DefaultPolicy = membership.Policy{ProbeInterval: 500 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 5, MaxSuspicionFactor: 2,
	ForgetAfter: 10 * time.Minute, SyncInterval: 3 * time.Second, MaxDatagramBytes: 220, MaxMembers: 1000}

// Lease is the default ownership policy.
var Lease = ownership.Policy{Lease: 3 * time.Second, SettleTime: 400 * time.Millisecond, RenewInterval: time.Second}

// Cluster is a simulated tier of brokers.
type Cluster struct {
	o               Options
	now             time.Duration
	events          queue.Queue[func()]
	seq             uint32
	rnd             *rand.Rand
	Brokers         []*Broker
	Blocked         func(from, to int) bool // reports datagrams that do not arrive; nil: none
	Runs            []Run
	Bytes           int64
	LongestDatagram int // bytes of the longest datagram
	Deaths          []DeathReport
}

// Run is a run of a job that took effect.
type Run struct {
	Job, Broker int
	At          time.Duration
	Fence       uint32
}

// DeathReport records that Reporter took Broker for dead, and whether Broker was running, which makes it a false positive.
type DeathReport struct {
	At               time.Duration
	Broker, Reporter int
	FalsePositive    bool
}

// Broker is one broker of a cluster.
type Broker struct {
	cluster    *Cluster
	index      int
	addr       netip.AddrPort
	Members    *membership.Detector
	Jobs       *ownership.Coordinator
	Up         bool
	Paused     bool
	startCount int
	clockSkew  time.Duration // added to the simulated time
	deferred   []func()      // what arrived while it was paused
	wakeAt     time.Duration // time of the next tick
	heardAt    map[int]time.Duration
	dead       map[int]bool
	view       []ownership.Member
}

// Name returns the name of broker n.
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

// Run runs the simulation until a time.
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

// Now returns the current simulated time.
func (c *Cluster) Now() time.Duration { return c.now }

// Kill ends a broker without notice.
func (c *Cluster) Kill(n int) { c.Brokers[n].Up = false }

// Restart starts a broker again without its former state.
func (c *Cluster) Restart(n int) { c.Brokers[n].start() }

// Stop stops a broker as planned: it releases its jobs and leaves.
func (c *Cluster) Stop(n int) {
	b := c.Brokers[n]
	b.Jobs.ReleaseAll(b.clock())
	b.broadcastClaims()
	b.Members.Leave()
	b.flush()
	b.Up = false
}

// Pause pauses a broker's process. What arrives meanwhile is handled at Resume.
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

// SkewClock moves a broker's clock forward by a duration, or back by a negative one.
func (c *Cluster) SkewClock(n int, by time.Duration) { c.Brokers[n].clockSkew += by }

// ViewsAgree reports whether every running broker takes exactly the running brokers for alive.
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

// MaxRuns returns the most runs of a job that took effect within one of its periods, and the longest gap between two runs,
// counting from the time from to the first run and from the last run to the end.
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
			if u < t+c.o.Jobs[duty].Period*98/100 { // a run begins when its period has passed, and takes effect slightly later
				n++
			}
		}
		times = max(times, n)
	}
	return times, max(gap, c.now-last)
}
