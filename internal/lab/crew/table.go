package crew

// This file compares ways to detect failed brokers, and measures what happens to jobs when their owner is killed.

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"flaxfront/internal/decision/membership"
	"flaxfront/internal/decision/ownership"
)

// detectionMethod is one way to detect failed brokers.
type detectionMethod struct {
	name      string
	configure func(*Options)
}

var detectionMethods = []detectionMethod{
	{"heartbeats from each to each", func(o *Options) { o.AllToAll = true }},
	{"SWIM", func(o *Options) { o.Policy.WithoutLifeguard, o.Policy.MaxSuspicionFactor = true, 1 }},
	{"SWIM with Lifeguard", func(*Options) {}},
}

// detectionResult is the result of one simulated tier.
type detectionResult struct {
	first, all     time.Duration // from a kill until the first broker, and until all, know of it
	falsePositives int
	brokerHours    float64
	bytes          float64 // per second and broker
}

func (w detectionMethod) simulate(n int, loss float64, seed uint64, quiet time.Duration, starved int) (d detectionResult) {
	o := Options{Brokers: n, Seed: seed, Loss: loss, Delay: 2 * time.Millisecond, Policy: DefaultPolicy, Lease: Lease, StarvedBrokers: starved, StarveDelay: 700 * time.Millisecond}
	w.configure(&o)
	c := New(o)
	c.Run(20 * time.Second)
	bytes, began := c.Bytes, c.now
	c.Run(c.now + quiet)
	d.bytes = float64(c.Bytes-bytes) / (c.now - began).Seconds() / float64(n)
	d.brokerHours = (c.now - began).Hours() * float64(n)
	falsePositives := map[[2]int64]bool{} // one false report of one broker within 20 s counts once, however many brokers hear of it
	for _, b := range c.Deaths {
		if b.FalsePositive && b.At >= began && b.Broker >= starved {
			falsePositives[[2]int64{int64(b.Broker), int64(b.At / (20 * time.Second))}] = true
		}
	}
	d.falsePositives = len(falsePositives)
	killed, at := n-1, c.now
	c.Kill(killed)
	c.Run(c.now + 60*time.Second)
	knows := map[int]bool{}
	for _, b := range c.Deaths {
		if b.Broker == killed && b.At > at && !knows[b.Reporter] {
			knows[b.Reporter] = true
			if len(knows) == 1 {
				d.first = b.At - at
			}
			d.all = b.At - at
		}
	}
	return d
}

// CompareDetectors prints a comparison of the methods for each size and packet loss.
func CompareDetectors(out io.Writer, sizes []int, seeds int) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "method\tbrokers\tlost\tfirst knows, mean\tmost\tlast knows, most\tfalse positives per broker and day\tof others where one is starved\tbytes per second and broker\t")
	for _, w := range detectionMethods {
		for _, n := range sizes {
			for _, loss := range []float64{0, 0.1, 0.3} {
				quiet := time.Duration(3600/max(1, n/5)) * time.Second
				if w.name == detectionMethods[0].name && n > 100 {
					quiet = 10 * time.Second // it sends half a million datagrams per second
				}
				all, starved := make([]detectionResult, seeds), make([]detectionResult, seeds)
				parallel(2*seeds, func(i int) {
					if i < seeds {
						all[i] = w.simulate(n, loss, uint64(i), quiet, 0)
					} else {
						starved[i-seeds] = w.simulate(n, loss, uint64(i), quiet/4, 1)
					}
				})
				var first, most, last time.Duration
				falsePositives, brokerHours, bytes, others, otherHours := 0, 0.0, 0.0, 0, 0.0
				for i, d := range all {
					first, most, last = first+d.first/time.Duration(seeds), max(most, d.first), max(last, d.all)
					falsePositives, brokerHours, bytes = falsePositives+d.falsePositives, brokerHours+d.brokerHours, bytes+d.bytes/float64(seeds)
					others, otherHours = others+starved[i].falsePositives, otherHours+starved[i].brokerHours
				}
				fmt.Fprintf(t, "%s\t%d\t%.0f%%\t%v\t%v\t%v\t%.2f\t%.2f\t%.0f\t\n", w.name, n, 100*loss, first.Round(100*time.Millisecond),
					most.Round(100*time.Millisecond), last.Round(100*time.Millisecond), 24*float64(falsePositives)/brokerHours, 24*float64(others)/otherHours, bytes)
				t.Flush()
			}
		}
	}
}

// parallel calls do n times, on all cores.
func parallel(n int, do func(int)) {
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var all sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		all.Go(func() {
			do(i)
			<-places
		})
	}
	all.Wait()
}

// SampleJobs are the jobs that the experiments distribute.
var SampleJobs = []ownership.Job{{Name: "list", Period: 2 * time.Second}, {Name: "records", Period: 5 * time.Second}, {Name: "probes", Period: 10 * time.Second}}

// KillOwners kills the owner of a job in many tiers of five brokers, prints the delays of all jobs, and returns the number
// of violations: one for each tier in which a job ran more than twice in its period, and one for each in which a job was over 10 s
// late.
func KillOwners(out io.Writer, seeds int, loss float64) (broken int) {
	late, most := make([]time.Duration, seeds), make([]int, seeds)
	parallel(seeds, func(seed int) {
		c := New(Options{Brokers: 5, Seed: uint64(seed), Loss: loss, Delay: 2 * time.Millisecond, Duplicates: 0.05, Policy: DefaultPolicy, Jobs: SampleJobs, Lease: Lease})
		c.Run(20 * time.Second)
		for n := range c.Brokers {
			if uint32(membership.IDOf(Name(n))) == c.Brokers[0].Jobs.Owner(0) {
				c.Kill(n)
			}
		}
		c.Run(60 * time.Second)
		for i, d := range SampleJobs {
			times, gap := c.MaxRuns(i, 5*time.Second)
			late[seed], most[seed] = max(late[seed], gap-d.Period), max(most[seed], times)
		}
	})
	thrice, tardy := 0, 0
	for i := range late {
		if most[i] > 2 {
			thrice++
		}
		if late[i] > 10*time.Second {
			tardy++
		}
	}
	slices.Sort(late)
	q := func(p float64) time.Duration { return late[int(p*float64(seeds-1))].Round(100 * time.Millisecond) }
	fmt.Fprintf(out, "%d tiers of five, %.0f%% lost, the owner killed: a job is late by p50 %v, p99 %v, most %v; over 10 s in %d; run more than twice in its period in %d\n",
		seeds, 100*loss, q(0.5), q(0.99), q(1), tardy, thrice)
	return thrice + tardy
}
