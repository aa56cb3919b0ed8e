package play

// This file adds up the workers' counts to the result of a run.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is the result of a run.
type Result struct {
	Name     string
	Policy   string
	Seed     int
	Played   time.Duration // virtual time; less than the whole if the run was stopped
	Hash     string        // of all events
	Counts   Counts
	Rows     []Row // by tenant and type
	Seconds  []Second
	Latency  Latency
	Work     Work
	Reads    *ReadCounts `json:",omitempty"` // if the script has read hints
	Samples  [][]Sample  `json:",omitempty"`
	Broken   int64
	Breaches []Breach
	Lines    []Line
	LinesCut int64
	Events   uint64
	Worst    float64 // lowest service of any ten seconds
}

// Row holds the counts of one tenant's queries of one type.
type Row struct {
	Tenant, Type string
	Counts       Counts
	Latency      Latency `json:"-"`
}

// Second holds the counts of all queries first asked in one second.
type Second struct {
	Counts  Counts
	Latency Latency `json:"-"`
	P50     time.Duration
	P99     time.Duration
}

// collectResult adds up what the workers counted.
func (w *world) collectResult(policy string) *Result {
	s := w.script
	r := &Result{Name: s.Name, Policy: policy, Seed: s.Seed, Played: min(w.now, w.end)}
	for _, t := range s.Tenants {
		for _, y := range s.Types {
			r.Rows = append(r.Rows, Row{Tenant: t.Name, Type: y.Name})
		}
	}
	hash := uint64(14695981039346656037)
	for _, p := range w.actors {
		hash = (hash ^ p.actorState.hash) * 1099511628211
	}
	r.Hash = fmt.Sprintf("%016x", hash)
	for _, k := range w.workers {
		t := &k.tally
		r.Events += k.n
		r.Work.add(&t.work)
		if s.Reads.On {
			if r.Reads == nil {
				r.Reads = &ReadCounts{}
			}
			r.Reads.Add(&t.reads)
		}
		r.Broken += t.breachCount
		r.Breaches = append(r.Breaches, t.breaches...)
		r.Lines = append(r.Lines, t.lines...)
		r.LinesCut += t.lineCount
		for i := range t.seconds {
			for len(r.Seconds) <= i {
				r.Seconds = append(r.Seconds, Second{})
			}
			for row := range t.seconds[i] {
				r.Rows[row].Counts.Add(&t.seconds[i][row])
				r.Seconds[i].Counts.Add(&t.seconds[i][row])
				r.Counts.Add(&t.seconds[i][row])
			}
			r.Seconds[i].Latency.Add(&t.latency[i])
			r.Latency.Add(&t.latency[i])
		}
		for row := range t.latencyByRow {
			r.Rows[row].Latency.Add(&t.latencyByRow[row])
		}
		for i := range t.samples {
			for len(r.Samples) <= i {
				r.Samples = append(r.Samples, make([]Sample, s.Fleet.Nodes))
			}
			for n, one := range t.samples[i] {
				if one != (Sample{}) {
					r.Samples[i][n] = one
				}
			}
		}
	}
	for _, k := range w.workers {
		for i, row := range k.tally.distrust {
			for n, d := range row {
				if i < len(r.Samples) {
					r.Samples[i][n].Distrust += d
				}
			}
		}
	}
	for i := range r.Seconds {
		r.Seconds[i].P50, r.Seconds[i].P99 = r.Seconds[i].Latency.Quantile(0.5), r.Seconds[i].Latency.Quantile(0.99)
	}
	slices.SortFunc(r.Breaches, func(a, b Breach) int { return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Text, b.Text)) })
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return cmp.Or(cmp.Compare(a.At, b.At), a.Broker-b.Broker) })
	r.LinesCut -= int64(len(r.Lines))
	r.Breaches = r.Breaches[:min(len(r.Breaches), maxBreaches)]
	r.Worst = worstTenSeconds(r.Seconds)
	return r
}

// worstTenSeconds returns the lowest service of any ten successive seconds.
func worstTenSeconds(s []Second) float64 {
	least := 1.0
	for i := 0; i+10 <= len(s); i++ {
		var c Counts
		for j := i; j < i+10; j++ {
			c.Add(&s[j].Counts)
		}
		if c.Asked > 0 {
			least = min(least, c.Service())
		}
	}
	return least
}
