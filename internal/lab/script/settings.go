package script

// This file owns what the brokers of a script are given: settings and an operators' file.

import (
	"encoding/json"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
)

// Terms are the settings that the script's brokers are given.
func (s *Script) Terms() *terms.Terms {
	f, b := &s.Fleet, &s.Brokers
	t := &terms.Terms{Shards: s.Shards(), Streams: 32, Idle: 30 * time.Second, Dial: 250 * time.Millisecond,
		AskEvery: 10 * time.Second}
	for z := range f.Zones {
		t.Zones = append(t.Zones, string(rune('a'+z)))
	}
	m := &t.Module
	*m = decision.Terms{Seed: uint64(s.Seed), Brokers: b.Count, Peers: b.Peers, MarksRepeats: true, Step: 5 * time.Millisecond,
		OverShare: 0.05, Cells: f.Cells, Width: 1, BatchParts: 8, Cancels: true, SecondCopies: true,
		MaxRetryAfter: 2 * time.Second, MaxAttempts: b.Attempts, MaxOpen: b.MaxOpen, AskList: true, ColdFrom: f.ColdFrom,
		WarmAfter: f.WarmAfter, FallMultiple: f.FallsAt, FallAfter: f.FallsAfter}
	if b.Budget > 0 {
		m.ExtraFloor, m.ExtraShare, m.ExtraWindow = 10, b.Budget, 10*time.Second
	}
	for _, y := range s.Types {
		effect := map[string]decision.Effect{"tokened": decision.Tokened, "non_idempotent": decision.NonIdempotent}[y.Effect]
		t.Types = append(t.Types, y.Name)
		m.Types = append(m.Types, decision.SearchType{Target: y.Target, Timeout: y.Timeout, Value: y.Value, LateShare: y.Late,
			Effect: effect, Window: y.Window, Floor: y.Floor, Need: 1})
	}
	sum := 0.0
	for _, n := range s.Tenants {
		sum += n.Share
	}
	for _, n := range s.Tenants {
		t.Tenants = append(t.Tenants, n.Name)
		m.Tenants = append(m.Tenants, decision.Tenant{Portion: n.Share / sum, Quota: s.Load.Rate * n.Share / sum})
	}
	return t
}

// Operators is the operators' file that the script's brokers are given.
func (s *Script) Operators() *operator.File {
	f := operator.Default()
	f.Door.On = s.Brokers.Door
	f.Fleet.Pins, f.Fleet.ClockError, f.Fleet.Drift = s.Reads.On, s.Reads.ClockError, s.Reads.Drift
	return f
}

// Settings are the script's terms in the form of a broker's configuration.
func (s *Script) Settings() ([]byte, error) {
	t := s.Terms()
	m := &t.Module
	classes, floors := []map[string]any{}, []float64{}
	for i, y := range s.Types {
		effect := [...]string{decision.Idempotent: "read_like", decision.Tokened: "idempotency_key", decision.NonIdempotent: "non_idempotent"}[m.Types[i].Effect]
		classes = append(classes, map[string]any{"name": y.Name, "aimNs": y.Target.Nanoseconds(), "deadlineNs": y.Timeout.Nanoseconds(),
			"effect": effect, "credit": y.Value, "lateShare": y.Late, "windowNs": y.Window.Nanoseconds()})
		floors = append(floors, y.Floor)
	}
	realms := []map[string]any{}
	for i, n := range s.Tenants {
		realms = append(realms, map[string]any{"name": n.Name, "portion": m.Tenants[i].Portion, "quotaPerS": m.Tenants[i].Quota})
	}
	return json.Marshal(map[string]any{"azs": t.Zones, "balancers": m.Brokers, "classes": classes, "realms": realms,
		"overShareWorth": m.OverShare, "registryMode": "ask", "stepNs": m.Step.Nanoseconds(),
		"clients": map[string]any{"marksRetry": m.MarksRepeats},
		"domain":  map[string]any{"cells": m.Cells, "classFloor": floors, "partsACall": m.BatchParts, "slices": t.Shards, "width": m.Width},
		"permissions": map[string]any{"cancel": m.Cancels, "connIdleNs": t.Idle.Nanoseconds(), "connectTimeoutNs": t.Dial.Nanoseconds(),
			"maxAttempts": m.MaxAttempts, "maxOpen": m.MaxOpen, "maxRetryAfterNs": m.MaxRetryAfter.Nanoseconds(), "multiplex": t.Streams,
			"retryAfter": true, "secondCopies": m.SecondCopies},
		"safety": map[string]any{"askWithinNs": t.AskEvery.Nanoseconds(), "coldFrom": m.ColdFrom, "drainGraceNs": s.Fleet.Grace.Nanoseconds(),
			"fallNs": m.FallAfter.Nanoseconds(), "tipMultiple": m.FallMultiple, "warmAfterNs": m.WarmAfter.Nanoseconds()}})
}
