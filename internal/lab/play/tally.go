package play

// This file holds the counts of a run. All are integers, so that they add up to the same in any order. Memory must not grow with the
// number of queries.

import (
	"fmt"
	"math"
	"time"
)

// Counts counts the outcomes of queries. A query and its retries count once, in the second in which it was first asked.
type Counts struct {
	Asked, InTarget, Late, Shed, Failed, Unanswered int64
	Partial                                         int64 // of those answered (InTarget and Late)
	Tries                                           int64
	Worth, Got                                      int64 // value of the queries asked, and value of their answers, in millionths
}

// Add adds the counts of o.
func (c *Counts) Add(o *Counts) {
	c.Asked, c.InTarget, c.Late, c.Shed = c.Asked+o.Asked, c.InTarget+o.InTarget, c.Late+o.Late, c.Shed+o.Shed
	c.Failed, c.Unanswered, c.Partial, c.Tries = c.Failed+o.Failed, c.Unanswered+o.Unanswered, c.Partial+o.Partial, c.Tries+o.Tries
	c.Worth, c.Got = c.Worth+o.Worth, c.Got+o.Got
}

// Service returns the value of the answers as a share of the value of all queries.
func (c *Counts) Service() float64 { return float64(c.Got) / float64(max(1, c.Worth)) }

// Work counts what brokers sent to nodes: calls, attempts (Parts), those of them that were extra attempts (Further), their outcomes
// (Served, Broke: failed, Skipped: rejected, Swallowed: never answered), and connections dialed and reset.
type Work struct {
	Calls, Parts, Further, Served, Broke, Skipped, Swallowed, Dials, Resets int64
}

func (k *Work) add(o *Work) {
	k.Calls, k.Parts, k.Further, k.Served = k.Calls+o.Calls, k.Parts+o.Parts, k.Further+o.Further, k.Served+o.Served
	k.Broke, k.Skipped, k.Swallowed = k.Broke+o.Broke, k.Skipped+o.Skipped, k.Swallowed+o.Swallowed
	k.Dials, k.Resets = k.Dials+o.Dials, k.Resets+o.Resets
}

// Latency is a histogram of the times from first asking to the answer, with buckets 4% wide.
type Latency [360]int64

const latencyBase = 1.04

func (l *Latency) record(took time.Duration) {
	at := 0
	if us := float64(took) / 1e5; us > 1 { // the first bucket ends at 104 microseconds
		at = min(len(l)-1, int(math.Log(us)/math.Log(latencyBase)))
	}
	l[at]++
}

// Quantile returns the upper end of the bucket that holds the quantile, 0 if nothing was answered.
func (l *Latency) Quantile(q float64) time.Duration {
	total := int64(0)
	for _, n := range l {
		total += n
	}
	if total == 0 {
		return 0
	}
	rest := int64(math.Ceil(q * float64(total)))
	for i, n := range l {
		if rest -= n; rest <= 0 {
			return time.Duration(1e5 * math.Pow(latencyBase, float64(i+1)))
		}
	}
	return 0
}

// Mean returns the mean, with each answer counted at the middle of its bucket.
func (l *Latency) Mean() time.Duration {
	sum, total := 0.0, 0.0
	for i, n := range l {
		sum, total = sum+float64(n)*1e5*math.Pow(latencyBase, float64(i)+0.5), total+float64(n)
	}
	return time.Duration(sum / max(1, total))
}

// Add adds the counts of o.
func (l *Latency) Add(o *Latency) {
	for i, n := range o {
		l[i] += n
	}
}

// State is the state of a node in a sample.
type State uint8

// The states of a node, the same in number and order as stateNames.
const (
	StateHealthy State = iota
	StateWarmingUp
	StateDraining
	StateHanging // accepts connections and never answers
	StateStalled // paused for a while
	StateGone    // unreachable, or its process is down
	StateCrashed // crashed by overload while it was warming up
)

var stateNames = []string{"fit", "cold", "leaving", "hanging", "standing still", "gone", "fell over"}

func (s State) String() string { return stateNames[s] }

// Sample is the state of one node in one second.
type Sample struct {
	State    State
	Slow     bool
	Queue    uint16 // shard requests queued at the end of the second
	Served   uint16
	Distrust uint16 // brokers whose router does not regard the node as available
}

// Breach is one violation of a rule.
type Breach struct {
	At   time.Duration
	Rule int
	Text string
}

// Line is a log line of a broker's router.
type Line struct {
	At     time.Duration
	Broker int
	Text   string
}

const (
	maxBreaches = 50
	maxLines    = 4000
)

// tally holds the counts of one worker.
type tally struct {
	seconds      [][]Counts // by second, then by tenant and type
	latency      []Latency  // by second
	latencyByRow []Latency
	work         Work
	samples      [][]Sample // by second, then by node
	breaches     []Breach
	breachCount  int64
	lines        []Line
	lineCount    int64
	distrust     [][]uint16
	reads        ReadCounts
}

func (t *tally) countsAt(at time.Duration, row int, w *world) *Counts {
	s := int(at / time.Second)
	for len(t.seconds) <= s {
		t.seconds = append(t.seconds, make([]Counts, w.rows))
		t.latency = append(t.latency, Latency{})
	}
	return &t.seconds[s][row]
}

func (t *tally) samplesAt(at time.Duration, nodes int) []Sample {
	s := int(at / time.Second)
	for len(t.samples) <= s {
		t.samples = append(t.samples, make([]Sample, nodes))
	}
	return t.samples[s]
}

func (t *tally) distrustAt(at time.Duration, nodes int) []uint16 {
	s := int(at / time.Second)
	for len(t.distrust) <= s {
		t.distrust = append(t.distrust, make([]uint16, nodes))
	}
	return t.distrust[s]
}

// reportBreach records a violation of a rule. Rule 0 stands for failures outside the rules, such as malformed frames.
func (s *actorState) reportBreach(rule int, format string, args ...any) {
	t := &s.runner.tally
	t.breachCount++
	if len(t.breaches) < maxBreaches {
		t.breaches = append(t.breaches, Breach{s.now, rule, fmt.Sprintf(format, args...)})
	}
}
