package lab

// This file simulates, in virtual time, discovery coming back while many brokers wait for it.

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

// recoveryRun simulates one recovery of discovery with one poll strategy.
type recoveryRun struct {
	brokers        int
	callsPerSecond float64 // calls per second that discovery can answer
	downFor        time.Duration
	callTimeout    time.Duration // a call that would wait longer fails

	queue         eventHeap
	seq           int
	now           time.Duration
	busyUntil     time.Duration // when discovery has finished the calls that it accepted
	recoveryTimes []time.Duration
	callTimes     []time.Duration // when calls arrived
}

func (h *recoveryRun) at(when time.Duration, do func()) {
	h.seq++
	heap.Push(&h.queue, timedEvent{when, h.seq, do})
}

// call queues a call at discovery, and calls answer when it ends; late means that it timed out.
func (h *recoveryRun) call(answer func(late bool)) {
	h.callTimes = append(h.callTimes, h.now)
	begin := max(h.now, h.busyUntil)
	if begin-h.now > h.callTimeout {
		h.at(h.now+h.callTimeout, func() { answer(true) })
		return
	}
	h.busyUntil = begin + time.Duration(float64(time.Second)/h.callsPerSecond)
	h.at(h.busyUntil, func() { answer(false) })
}

// pollStrategies are the compared strategies.
var pollStrategies = []struct {
	name string
	next func(h *recoveryRun, i int, rnd *rand.Rand)
}{
	{"backoff 0.5 to 4 s", func(h *recoveryRun, i int, rnd *rand.Rand) { h.backoff(500*time.Millisecond, 4*time.Second, rnd) }},
	{"a poll each 0.2 s", func(h *recoveryRun, i int, rnd *rand.Rand) {
		h.backoff(200*time.Millisecond, 200*time.Millisecond, rnd)
	}},
	{"connect, then poll at once", func(h *recoveryRun, i int, rnd *rand.Rand) { h.connect(0, uint64(i)) }},
	{"connect, then poll spread", func(h *recoveryRun, i int, rnd *rand.Rand) { h.connect(2*time.Millisecond, uint64(i)) }},
}

// backoff simulates a broker that makes a whole call at each try.
func (h *recoveryRun) backoff(first, most time.Duration, rnd *rand.Rand) {
	wait := first
	var again func()
	again = func() {
		if h.now < h.downFor {
			pause := time.Duration((0.5 + rnd.Float64()) * float64(wait))
			wait = min(2*wait, most)
			h.at(h.now+pause, again)
			return
		}
		h.call(func(late bool) {
			if !late {
				h.recoveryTimes = append(h.recoveryTimes, h.now-h.downFor)
				return
			}
			pause := time.Duration((0.5 + rnd.Float64()) * float64(wait))
			wait = min(2*wait, most)
			h.at(h.now+pause, again)
		})
	}
	h.at(time.Duration(rnd.Float64()*float64(most)), again)
}

// connect simulates a broker that uses polling.Backoff: it connects until discovery accepts, and then polls.
func (h *recoveryRun) connect(perCall time.Duration, seed uint64) {
	p := polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 200 * time.Millisecond, PollCost: perCall, MaxPollDelay: 500 * time.Millisecond,
		BrokerCount: h.brokers}, seed)
	var ask, connect func()
	connect = func() {
		if h.now < h.downFor {
			h.at(h.now+p.ConnectDelay(), connect)
			return
		}
		h.at(h.now+p.FirstPollDelay(), ask)
	}
	ask = func() {
		h.call(func(late bool) {
			if late {
				h.at(h.now+p.PollFailed(), ask)
			} else {
				h.recoveryTimes = append(h.recoveryTimes, h.now-h.downFor)
			}
		})
	}
	h.at(p.ConnectDelay(), connect)
}

// CompareRecovery prints, for each strategy and number of brokers, how soon all have the list and how many calls discovery gets.
func CompareRecovery(out io.Writer, callsPerSecond float64, seeds int) {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "strategy\tbrokers\tmedian\tp99\tlast\tcalls in total\tmost in a second\t")
	for _, p := range pollStrategies {
		for _, n := range []int{1, 20, 300} {
			var recoveryTimes []time.Duration
			var last time.Duration
			sum, most := 0, 0
			for seed := range seeds {
				h := &recoveryRun{brokers: n, callsPerSecond: callsPerSecond, downFor: 20 * time.Second, callTimeout: 2 * time.Second}
				for i := range n {
					p.next(h, i*seeds+seed, rand.New(rand.NewPCG(uint64(seed), uint64(i))))
				}
				for len(h.queue) > 0 {
					m := heap.Pop(&h.queue).(timedEvent)
					h.now = m.at
					m.do()
				}
				recoveryTimes, last = append(recoveryTimes, h.recoveryTimes...), max(last, slices.Max(h.recoveryTimes))
				sum += len(h.callTimes)
				for i, at := range h.callTimes {
					j := i
					for j < len(h.callTimes) && h.callTimes[j] < at+time.Second {
						j++
					}
					most = max(most, j-i)
				}
			}
			slices.Sort(recoveryTimes)
			q := func(p float64) time.Duration {
				return recoveryTimes[int(p*float64(len(recoveryTimes)-1))].Round(time.Millisecond)
			}
			fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%v\t%.1f\t%d\t\n", p.name, n, q(0.5), q(0.99), last.Round(time.Millisecond),
				float64(sum)/float64(seeds), most)
		}
	}
	t.Flush()
}
