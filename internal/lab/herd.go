package lab

// This file owns the emulation of a discovery that comes back while many brokers wait for it, in virtual time.

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"flaxfront/internal/decision/polling"
)

// herd is one return of discovery under one way of asking.
type herd struct {
	brokers  int
	calls    float64 // a second that discovery can answer
	down     time.Duration
	patience time.Duration // a call that waited longer fails

	queue moments
	seq   int
	now   time.Duration
	free  time.Duration // when discovery has worked through what it took
	done  []time.Duration
	taken []time.Duration // when calls came
}

func (h *herd) at(when time.Duration, do func()) {
	h.seq++
	heap.Push(&h.queue, moment{when, h.seq, do})
}

// call has discovery work on a call; late tells that it waited too long.
func (h *herd) call(answer func(late bool)) {
	h.taken = append(h.taken, h.now)
	begin := max(h.now, h.free)
	if begin-h.now > h.patience {
		h.at(h.now+h.patience, func() { answer(true) })
		return
	}
	h.free = begin + time.Duration(float64(time.Second)/h.calls)
	h.at(h.free, func() { answer(false) })
}

// Pacings are the ways of asking that are compared.
var pacings = []struct {
	name string
	next func(h *herd, i int, rnd *rand.Rand)
}{
	{"back-off 0.5 to 4 s", func(h *herd, i int, rnd *rand.Rand) { h.backoff(500*time.Millisecond, 4*time.Second, rnd) }},
	{"a call each 0.2 s", func(h *herd, i int, rnd *rand.Rand) { h.backoff(200*time.Millisecond, 200*time.Millisecond, rnd) }},
	{"knock, then call at once", func(h *herd, i int, rnd *rand.Rand) { h.knock(0, uint64(i)) }},
	{"knock, then call spread", func(h *herd, i int, rnd *rand.Rand) { h.knock(2*time.Millisecond, uint64(i)) }},
}

// backoff is a broker that makes a call each time.
func (h *herd) backoff(first, most time.Duration, rnd *rand.Rand) {
	wait := first
	var again func()
	again = func() {
		if h.now < h.down {
			pause := time.Duration((0.5 + rnd.Float64()) * float64(wait))
			wait = min(2*wait, most)
			h.at(h.now+pause, again)
			return
		}
		h.call(func(late bool) {
			if !late {
				h.done = append(h.done, h.now-h.down)
				return
			}
			pause := time.Duration((0.5 + rnd.Float64()) * float64(wait))
			wait = min(2*wait, most)
			h.at(h.now+pause, again)
		})
	}
	h.at(time.Duration(rnd.Float64()*float64(most)), again)
}

// knock is a broker with the pacer of package trust.
func (h *herd) knock(perCall time.Duration, seed uint64) {
	p := polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 200 * time.Millisecond, PollCost: perCall, MaxPollDelay: 500 * time.Millisecond,
		BrokerCount: h.brokers}, seed)
	var ask, knock func()
	knock = func() {
		if h.now < h.down {
			h.at(h.now+p.ConnectDelay(), knock)
			return
		}
		h.at(h.now+p.FirstPollDelay(), ask)
	}
	ask = func() {
		h.call(func(late bool) {
			if late {
				h.at(h.now+p.PollFailed(), ask)
			} else {
				h.done = append(h.done, h.now-h.down)
			}
		})
	}
	h.at(p.ConnectDelay(), knock)
}

// Herd prints, for each pacing and number of brokers, how soon all have the list and what discovery sees.
func Herd(out io.Writer, calls float64, seeds int) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pacing\tbrokers\tmedian\tp99\tlast\tcalls in all\tmost in a second\t")
	for _, p := range pacings {
		for _, n := range []int{1, 20, 300} {
			var done []time.Duration
			var last time.Duration
			sum, most := 0, 0
			for seed := range seeds {
				h := &herd{brokers: n, calls: calls, down: 20 * time.Second, patience: 2 * time.Second}
				for i := range n {
					p.next(h, i*seeds+seed, rand.New(rand.NewPCG(uint64(seed), uint64(i))))
				}
				for len(h.queue) > 0 {
					m := heap.Pop(&h.queue).(moment)
					h.now = m.at
					m.do()
				}
				done, last = append(done, h.done...), max(last, slices.Max(h.done))
				sum += len(h.taken)
				for i, at := range h.taken {
					j := i
					for j < len(h.taken) && h.taken[j] < at+time.Second {
						j++
					}
					most = max(most, j-i)
				}
			}
			slices.Sort(done)
			q := func(p float64) time.Duration { return done[int(p*float64(len(done)-1))].Round(time.Millisecond) }
			fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%v\t%.1f\t%d\t\n", p.name, n, q(0.5), q(0.99), last.Round(time.Millisecond),
				float64(sum)/float64(seeds), most)
		}
	}
	t.Flush()
}
