package play

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/lab/script"
)

var readSeeds = flag.Int("reads.seeds", 1, "number of seeds to run with lagging replicas; a million checked reads take about 40")

// laggingScript is a script in which replicas lag, die, return and roll back, brokers restart and a zone is cut off.
const laggingScript = `{"for": "20s", "fleet": {"nodes": 12, "cells": 3}, "load": {"rate": 400}, "brokers": {"count": 5},
	"types": [{"name": "find", "work": "4ms", "least_parts": 1, "most_parts": 6}, {"name": "part", "work": "4ms", "floor": 0.5, "most_parts": 6}],
	"reads": {"on": true, "hot": 0.05},
	"troubles": [{"what": "lag", "at": "2s", "for": "3s", "share": 0.4}, {"what": "rollback", "at": "4s", "factor": 3, "share": 0.3},
		{"what": "die", "at": "6s", "for": "3s", "share": 0.1}, {"what": "cut", "zone": "a", "at": "8s", "for": "2s"},
		{"what": "lag", "at": "11s", "for": "2s", "share": 1}, {"what": "restart", "at": "13s", "for": "1s", "share": 0.4},
		{"what": "drain", "at": "14s", "for": "2s", "share": 0.1}, {"what": "rollback", "at": "16s", "factor": 1, "share": 1},
		{"what": "loss", "at": "17s", "for": "2s", "factor": 2}, {"what": "slow", "at": "1s", "for": "4s", "factor": 4}]}`

// No read is staler than its bound, before a position that its session has read, or staler than its answer states.
func TestReadsKeepTheirHints(t *testing.T) {
	var all ReadCounts
	for seed := range *readSeeds {
		s := decodeScript(t, laggingScript)
		s.Seed = seed + 1
		r := mustPlay(t, s, Options{Policy: Module})
		for _, b := range r.Breaches {
			t.Errorf("seed %d, %v: rule %d: %s", s.Seed, b.At, b.Rule, b.Text)
		}
		all.Add(r.Reads)
	}
	text, _ := json.Marshal(all)
	t.Logf("%s", text)
	if n := int64(*readSeeds); all.Checked < 12_000*n || min(all.Refused, all.Behind, int64(all.Pins.Stale)) < 20*n ||
		int64(all.Pins.Regressed) < n {
		t.Errorf("too few cases were provoked: %s", text)
	}
}

// The audit detects brokers that understate staleness: by 60 ms, or by leaving out the clock error.
func TestAuditDetectsUnderstatedAges(t *testing.T) {
	defer func() { changeOperatorFileForTest = nil }()
	for name, change := range map[string]func(*operator.File){
		"ages 60 ms too low": func(f *operator.File) { f.ControlPlaneSettings.ClockError = -60 * time.Millisecond },
		"clocks trusted":     func(f *operator.File) { f.ControlPlaneSettings.ClockError = -time.Millisecond },
	} {
		changeOperatorFileForTest = change
		r := mustPlay(t, decodeScript(t, laggingScript), Options{Policy: Module})
		if r.Reads.Stale == 0 || r.Reads.Understated == 0 {
			t.Errorf("%s: stale or understated reads not found in %d checked", name, r.Reads.Checked)
		}
	}
}

// A script with reads gives the same run on one core and on two.
func TestReadsAreDeterministic(t *testing.T) {
	s := decodeScript(t, laggingScript)
	s.Length, s.Load.Rate, s.Faults = 3*time.Second, 100, s.Faults[:1]
	one := mustPlay(t, s, Options{Cores: 1, Policy: Module})
	if r := mustPlay(t, s, Options{Cores: 2, Policy: Module}); r.Hash != one.Hash || *r.Reads != *one.Reads {
		t.Errorf("hash %s on two cores, %s on one, or other read counts", r.Hash, one.Hash)
	}
}

// Reads of a hot key spill over to further replicas once its pinned one is at its limit, and none goes backward.
func TestHotKey(t *testing.T) {
	s := decodeScript(t, `{"for": "10s", "fleet": {"nodes": 12, "cells": 3}, "load": {"rate": 500}, "brokers": {"count": 2},
		"types": [{"name": "find", "work": "4ms", "least_parts": 1, "most_parts": 6}], "reads": {"on": true, "hot": 0.8}}`)
	r := mustPlay(t, s, Options{Policy: Module})
	if r.Broken > 0 || r.Reads.Pins.Spilled < 1000 || r.Counts.Service() < 0.98 {
		t.Errorf("spilled %d, service %.3f, breaches %v", r.Reads.Pins.Spilled, r.Counts.Service(), r.Breaches)
	}
	t.Logf("spilled %d of %d shard requests, service %.4f, p99 %v", r.Reads.Pins.Spilled, r.Reads.Pins.Chosen, r.Counts.Service(), r.Latency.Quantile(0.99))
}

// Without faults, read hints cost at most 10% more mean latency and shard requests than the same script without hints.
func TestCostOfPinnedReads(t *testing.T) {
	playDay := func(change func(*script.Reads)) *Result {
		s := decodeScript(t, `{"for": "20s", "fleet": {"nodes": 12, "cells": 3}, "load": {"rate": 400}, "brokers": {"count": 5},
			"types": [{"name": "find", "work": "4ms", "least_parts": 1, "most_parts": 6}], "reads": {"on": true}}`)
		change(&s.Reads)
		return mustPlay(t, s, Options{Policy: Module})
	}
	withoutHints := playDay(func(r *script.Reads) { r.Hinted = 0 })
	for name, change := range map[string]func(*script.Reads){
		"pinned":                      func(r *script.Reads) { r.Pinned, r.Fresh, r.Tokens = 1, 0, 0 },
		"bounded":                     func(r *script.Reads) { r.Pinned, r.Fresh, r.Tokens = 0, 1, 0 },
		"not before":                  func(r *script.Reads) { r.Pinned, r.Fresh, r.Tokens, r.OwnWrites = 0, 0, 1, 0 },
		"pinned, bounded, not before": func(r *script.Reads) { r.Pinned, r.Fresh, r.Tokens, r.OwnWrites = 1, 1, 1, 0 },
	} {
		r := playDay(change)
		mean := func(r *Result) float64 { return float64(r.Latency.Mean()) / 1e6 }
		parts := func(r *Result) float64 { return float64(r.Work.Parts) / float64(r.Counts.Tries) }
		t.Logf("%-28s mean %.2f ms (without hints %.2f, %.3f times), p99 %v (%v), shard requests per try %.3f (%.3f), service %.4f (%.4f), same node %.3f, stale %d of %d",
			name, mean(r), mean(withoutHints), mean(r)/mean(withoutHints), r.Latency.Quantile(0.99), withoutHints.Latency.Quantile(0.99), parts(r), parts(withoutHints), r.Counts.Service(), withoutHints.Counts.Service(),
			float64(r.Reads.Same)/float64(max(1, r.Reads.Same+r.Reads.Elsewhere)), r.Reads.Pins.Stale, r.Reads.Pins.Stale+r.Reads.Pins.Fresh)
		if mean(r) > 1.1*mean(withoutHints) || parts(r) > 1.1*parts(withoutHints) {
			t.Errorf("%s: mean latency or shard requests over 1.1 times those without hints", name)
		}
	}
}
