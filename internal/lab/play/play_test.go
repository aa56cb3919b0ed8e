package play

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/lab/script"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func decodeScript(t *testing.T, text string) *script.Script {
	t.Helper()
	s, err := script.Decode("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func mustPlay(t *testing.T, s *script.Script, o Options) *Result {
	t.Helper()
	r, err := Play(s, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const faultyScript = `{"for": "12s", "fleet": {"nodes": 12, "cells": 3, "drops_cancelled": true}, "load": {"rate": 90},
	"brokers": {"count": 3, "peers": true, "keep_list": true, "door": true},
	"types": [{"name": "find"}, {"name": "sign", "effect": "non_idempotent"}, {"name": "book", "effect": "tokened"},
		{"name": "report", "floor": 0.5, "least_parts": 3, "most_parts": 6}],
	"troubles": [{"what": "die", "at": "2s", "for": "3s"}, {"what": "hang", "at": "3s", "for": "3s"}, {"what": "stall", "at": "1s", "for": "9s"},
		{"what": "vanish", "at": "6s", "for": "2s", "share": 0.1}, {"what": "cut", "zone": "a", "at": "8s", "for": "1s"},
		{"what": "flood", "tenant": "small", "at": "4s", "repeats": true}, {"what": "discovery_down", "at": "2s", "for": "5s"},
		{"what": "drain", "at": "7s", "for": "2s", "share": 0.1}, {"what": "loss", "at": "9s", "for": "2s", "factor": 2},
		{"what": "restart", "at": "5s", "for": "1s", "share": 0.3}, {"what": "errors", "at": "9s", "for": "2s", "factor": 20}]}`

// A script gives the same events and byte for byte the same result when it is run again and on any number of cores.
func TestRunIsDeterministic(t *testing.T) {
	s := decodeScript(t, faultyScript)
	var first []byte
	for _, cores := range []int{1, 1, 2, 5} {
		r := mustPlay(t, s, Options{Cores: cores, Policy: Module})
		text, _ := json.Marshal(r)
		if first == nil {
			first = text
		}
		if string(text) != string(first) {
			t.Errorf("the run on %d cores differs from the first: hash %s", cores, r.Hash)
		}
		if r.Broken > 0 {
			t.Errorf("%v", r.Breaches[0])
		}
	}
	s.Seed++
	if r := mustPlay(t, s, Options{Policy: Module}); strings.Contains(string(first), r.Hash) {
		t.Error("another seed gives the same hash")
	}
}

// Under faults too, every query is counted once and has one outcome, and the counts by second and by row add up to the totals.
func TestCountsAddUp(t *testing.T) {
	for seed := range 6 {
		s := decodeScript(t, faultyScript)
		s.Seed = 100 + seed
		r := mustPlay(t, s, Options{Cores: 1, Policy: Module})
		c := &r.Counts
		if c.Asked == 0 || c.Asked != c.InTarget+c.Late+c.Shed+c.Failed || r.Broken > 0 {
			t.Errorf("seed %d: %+v, %v", s.Seed, *c, r.Breaches)
		}
		var rows, seconds Counts
		for i := range r.Rows {
			rows.Add(&r.Rows[i].Counts)
		}
		for i := range r.Seconds {
			seconds.Add(&r.Seconds[i].Counts)
		}
		if rows != *c || seconds != *c {
			t.Errorf("seed %d: %+v by row, %+v by second, %+v in all", s.Seed, rows, seconds, *c)
		}
	}
}

// A run that is stopped early reports what was run until then, and no breach for queries left open.
func TestStoppedRunReportsWhatItPlayed(t *testing.T) {
	s := decodeScript(t, `{"for": "60s", "load": {"rate": 200}}`)
	stop := &atomic.Bool{}
	o := Options{Cores: 1, Policy: Module, Stop: stop, Trace: stopAfter{stop, new(int)}}
	r := mustPlay(t, s, o)
	if r.Played <= 0 || r.Played >= 60*time.Second || r.Broken > 0 || r.Counts.Asked == 0 || len(r.Seconds) > 1+int(r.Played/time.Second) {
		t.Errorf("run of %v: %d queries asked, %d seconds reported, breaches %v", r.Played, r.Counts.Asked, len(r.Seconds), r.Breaches)
	}
}

// stopAfter stops a run after 500 results of queries.
type stopAfter struct {
	stop *atomic.Bool
	n    *int
}

func (s stopAfter) Write(b []byte) (int, error) {
	if *s.n++; *s.n == 500 {
		s.stop.Store(true)
	}
	return len(b), nil
}

// ruleBreaker changes the actions of a router that keeps the rules so that they break one.
type ruleBreaker struct {
	decision.Router
	breakRule func(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action
}

func (s ruleBreaker) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	return s.breakRule(now, events, s.Router.Step(now, events, out))
}

// Each audit detects its breach: brokers are made to break rules 3, 4 and 5, and the rule must be reported.
func TestAuditsDetectBreaches(t *testing.T) {
	coldNodesScript := `{"for": "12s", "load": {"rate": 150}, "fleet": {"falls_at": 1.05, "falls_after": "200ms", "cold_from": 0.05}, "types": [{"name": "find", "work": "30ms"}], "troubles": [{"what": "die", "share": 0.4, "at": "3s", "for": "1s"}]}`
	for _, c := range []struct {
		rule      int
		script    string
		breakRule func(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action
	}{
		{5, `{"for": "3s", "types": [{"name": "find", "least_parts": 3}]}`, func(now time.Duration, _ []decision.Event, out []decision.Action) []decision.Action {
			for i := range out {
				if out[i].Kind == decision.SendAttempt { // answers before any shard answer is in
					return append(out, decision.Action{Kind: decision.AnswerQuery, ID: out[i].ID - 1, Complete: true})
				}
			}
			return out
		}},
		{3, `{"for": "8s", "fleet": {"nodes": 1, "cells": 1, "zones": 1}, "load": {"rate": 20}, "types": [{"name": "find", "most_parts": 3}], "troubles": [{"what": "drain", "nodes": [0], "at": "2s", "for": "5s"}]}`, nil},
		{4, coldNodesScript, nil},
	} {
		s := decodeScript(t, c.script)
		r := playBreakingRules(t, s, c.breakRule, c.rule)
		found := false
		for _, b := range r.Breaches {
			found = found || b.Rule == c.rule
		}
		if !found {
			t.Errorf("rule %d: breach not reported; reported: %v", c.rule, r.Breaches)
		}
	}
}

// playBreakingRules runs a script with a router that breaks a rule: by breakRule, or, for rule 3, by ignoring updates of the list.
func playBreakingRules(t *testing.T, s *script.Script, breakRule func(time.Duration, []decision.Event, []decision.Action) []decision.Action, rule int) *Result {
	t.Helper()
	previous := routerForTest
	defer func() { routerForTest = previous }()
	routerForTest = func(t decision.Settings, f *broker) decision.Router {
		p := newBaselineRouter(t, f.rnd, nil)
		switch {
		case breakRule != nil:
			return ruleBreaker{p, breakRule}
		case rule == 3:
			return ignoresListUpdates{p, false}
		}
		return p // random choice does not limit the load of nodes that are warming up
	}
	return mustPlay(t, s, Options{Cores: 1, Policy: Random})
}

// ignoresListUpdates is a router that knows only the first list.
type ignoresListUpdates struct {
	*baselineRouter
	heard bool
}

func (d ignoresListUpdates) Step(now time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	var kept []decision.Event
	for _, e := range events {
		if e.Kind != decision.ListUpdateReceived {
			kept = append(kept, e)
		}
	}
	return d.baselineRouter.Step(now, kept, out)
}

// A repeated execution is a breach only outside the window in which the store drops repeats. Shedding a query that was executed is
// a breach too.
func TestAuditorDetectsRepeatedExecutions(t *testing.T) {
	s := decodeScript(t, `{"types": [{"name": "book", "effect": "tokened", "window": "1s"}]}`)
	w := &world{script: s, schedule: s.Schedule(), terms: s.Terms()}
	w.workers = []*worker{{}}
	a := &auditor{executed: map[uint64]execution{}, shed: map[uint64]time.Duration{}}
	a.attach(w, idAuditor)
	report := func(k kind, effect decision.Idempotency, id string, sent time.Duration) int64 {
		a.handle(&event{kind: k, n: int32(effect), a: hashOf(id), payload: executed{id, sent}})
		return w.workers[0].tally.breachCount
	}
	steps := []struct {
		effect      decision.Idempotency
		id          string
		sent        time.Duration
		breachCount int64
	}{{decision.IdempotencyKeyed, "a.1", 0, 0}, {decision.IdempotencyKeyed, "a.1", time.Second, 0}, {decision.IdempotencyKeyed, "a.1", 1001 * time.Millisecond, 1},
		{decision.NonIdempotent, "b.1", 0, 1}, {decision.NonIdempotent, "b.2", 0, 1}, {decision.NonIdempotent, "b.1", 1, 2}}
	for _, x := range steps {
		if got := report(kExecuted, x.effect, x.id, x.sent); got != x.breachCount {
			t.Errorf("%s: %d breaches, want %d", fmt.Sprint(x), got, x.breachCount)
		}
	}
	a.handle(&event{kind: kQueryShed, a: hashOf("b"), payload: "b"})
	if w.workers[0].tally.breachCount != 3 {
		t.Error("shedding a query that was executed is not reported")
	}
}

// The state of the actors does not grow with the number of queries: after the run, brokers and nodes hold no queries or jobs, and
// few connections.
func TestStateDoesNotGrowWithQueries(t *testing.T) {
	s := decodeScript(t, `{"for": "20s", "load": {"rate": 400}, "types": [{"name": "sign", "effect": "non_idempotent", "work": "2ms"}]}`)
	w, brokers, err := buildWorld(s, Options{Cores: 1, Policy: Module})
	if err != nil {
		t.Fatal(err)
	}
	w.run(w.end+2*auditRetention, &atomic.Bool{})
	for _, b := range brokers {
		if len(b.openQueries) > 0 || len(b.conns) > 200 {
			t.Errorf("broker holds %d queries and %d connections", len(b.openQueries), len(b.conns))
		}
	}
	for _, n := range w.nodes {
		if len(n.queue) > 0 || len(n.recentWork) > 0 {
			t.Errorf("node %d holds %d jobs and %d records of offered work", n.n, len(n.queue), len(n.recentWork))
		}
	}
}
