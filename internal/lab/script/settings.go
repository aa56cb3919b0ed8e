package script

// This file makes the settings and the operators' file for the brokers of a script.

import (
	"encoding/json"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
)

// Terms returns the settings of the script's brokers.
func (s *Script) Terms() *terms.Terms {
	f, b := &s.Fleet, &s.Brokers
	t := &terms.Terms{Shards: s.Shards(), Streams: 32, Idle: 30 * time.Second, Dial: 250 * time.Millisecond,
		MaxPollInterval: 10 * time.Second}
	for z := range f.Zones {
		t.Zones = append(t.Zones, string(rune('a'+z)))
	}
	m := &t.Module
	*m = decision.Settings{Seed: uint64(s.Seed), BrokerCount: b.Count, GossipAllowed: b.Gossip, ClientsMarkRetries: true, ClockStep: 5 * time.Millisecond,
		OverQuotaWeight: 0.05, Cells: f.Cells, CellsPerShard: 1, MaxBatch: 8, CancelAllowed: true, HedgingAllowed: true,
		MaxRetryAfter: 2 * time.Second, MaxAttempts: b.Attempts, MaxInFlight: b.MaxOpen, PollList: true, InitialCapacity: f.ColdCapacity,
		WarmUpTime: f.WarmUpAfter, OverloadMultiple: f.CrashMultiple, OverloadAfter: f.CrashAfter}
	if b.ExtraAttempts > 0 {
		m.ExtraAttemptsMin, m.ExtraAttemptsShare, m.ExtraAttemptsWindow = 10, b.ExtraAttempts, 10*time.Second
	}
	for _, y := range s.Types {
		effect := map[string]decision.Idempotency{"tokened": decision.IdempotencyKeyed, "non_idempotent": decision.NonIdempotent}[y.Effect]
		t.Types = append(t.Types, y.Name)
		m.QueryTypes = append(m.QueryTypes, decision.QueryType{LatencyObjective: y.Objective, Timeout: y.Timeout, PriorityWeight: y.Value, LateWeight: y.Late,
			Idempotency: effect, IdempotencyWindow: y.KeyWindow, MinCompleteness: y.RequiredShare, FullCompleteness: 1})
	}
	sum := 0.0
	for _, n := range s.Tenants {
		sum += n.Share
	}
	for _, n := range s.Tenants {
		t.Tenants = append(t.Tenants, n.Name)
		m.Tenants = append(m.Tenants, decision.Tenant{TrafficShare: n.Share / sum, Quota: s.Load.Rate * n.Share / sum})
	}
	return t
}

// OperatorFile returns the operators' file of the script's brokers.
func (s *Script) OperatorFile() *operator.File {
	f := operator.Default()
	f.Admission.On = s.Brokers.Admission
	f.ControlPlaneSettings.Pins, f.ControlPlaneSettings.ClockError, f.ControlPlaneSettings.Drift = s.Reads.On, s.Reads.ClockError, s.Reads.Drift
	return f
}

// Settings returns the settings of Terms in the format of a broker's configuration file.
func (s *Script) Settings() ([]byte, error) {
	t := s.Terms()
	m := &t.Module
	classes, floors := []map[string]any{}, []float64{}
	for i, y := range s.Types {
		effect := [...]string{decision.Idempotent: "read_like", decision.IdempotencyKeyed: "idempotency_key", decision.NonIdempotent: "non_idempotent"}[m.QueryTypes[i].Idempotency]
		classes = append(classes, map[string]any{"name": y.Name, "aimNs": y.Objective.Nanoseconds(), "deadlineNs": y.Timeout.Nanoseconds(),
			"effect": effect, "credit": y.Value, "lateShare": y.Late, "windowNs": y.KeyWindow.Nanoseconds()})
		floors = append(floors, y.RequiredShare)
	}
	realms := []map[string]any{}
	for i, n := range s.Tenants {
		realms = append(realms, map[string]any{"name": n.Name, "portion": m.Tenants[i].TrafficShare, "quotaPerS": m.Tenants[i].Quota})
	}
	return json.Marshal(map[string]any{"azs": t.Zones, "balancers": m.BrokerCount, "classes": classes, "realms": realms,
		"overShareWorth": m.OverQuotaWeight, "registryMode": "ask", "stepNs": m.ClockStep.Nanoseconds(),
		"clients": map[string]any{"marksRetry": m.ClientsMarkRetries},
		"domain":  map[string]any{"cells": m.Cells, "classFloor": floors, "partsACall": m.MaxBatch, "slices": t.Shards, "width": m.CellsPerShard},
		"permissions": map[string]any{"cancel": m.CancelAllowed, "connIdleNs": t.Idle.Nanoseconds(), "connectTimeoutNs": t.Dial.Nanoseconds(),
			"maxAttempts": m.MaxAttempts, "maxOpen": m.MaxInFlight, "maxRetryAfterNs": m.MaxRetryAfter.Nanoseconds(), "multiplex": t.Streams,
			"retryAfter": true, "secondCopies": m.HedgingAllowed},
		"safety": map[string]any{"askWithinNs": t.MaxPollInterval.Nanoseconds(), "coldFrom": m.InitialCapacity, "drainGraceNs": s.Fleet.DrainGrace.Nanoseconds(),
			"fallNs": m.OverloadAfter.Nanoseconds(), "tipMultiple": m.OverloadMultiple, "warmAfterNs": m.WarmUpTime.Nanoseconds()}})
}
