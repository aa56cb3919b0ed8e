package rig

import "time"

// Class is a class of queries.
type Class struct {
	Name          string
	Aim, Deadline time.Duration
	Effect        string        // read_like, idempotency_key or non_idempotent
	Window        time.Duration // of an idempotency key
	Floor         float64       // the least share of an answer
}

// Site is what the settings of a small deployment give.
type Site struct {
	Zones         []string
	Classes       []Class
	Tenants       []string
	Cells, Shards int
	Width         int // cells in a row that hold a shard; 0: one
	Streams       int
	Idle          time.Duration
	MaxOpen       int
	DrainGrace    time.Duration
	Peers         bool
}

// Settings returns the settings object of a broker's configuration.
func (s *Site) Settings() map[string]any {
	var classes, realms []map[string]any
	var floors, needs []float64
	for _, c := range s.Classes {
		one := map[string]any{"name": c.Name, "aimNs": c.Aim.Nanoseconds(), "deadlineNs": c.Deadline.Nanoseconds(), "effect": c.Effect,
			"credit": 1.0, "lateShare": 0.1, "streaming": false, "windowNs": c.Window.Nanoseconds()}
		classes = append(classes, one)
		floors = append(floors, c.Floor)
		needs = append(needs, 1)
	}
	for _, name := range s.Tenants {
		realms = append(realms, map[string]any{"name": name, "portion": 1 / float64(len(s.Tenants)), "quotaPerS": 1000.0})
	}
	return map[string]any{
		"azs": s.Zones, "balancers": 2, "classes": classes, "clients": map[string]any{"marksRetry": true}, "countedBy": "request",
		"domain": map[string]any{"cells": s.Cells, "classFloor": floors, "wholeAt": needs, "partsACall": 8, "slices": s.Shards, "width": max(1, s.Width)},
		"me":     0, "overShareWorth": 0.1,
		"permissions": map[string]any{"cancel": true, "connIdleNs": s.Idle.Nanoseconds(), "connectTimeoutNs": (250 * time.Millisecond).Nanoseconds(),
			"maxAttempts": 4, "maxOpen": s.MaxOpen, "maxRetryAfterNs": (2 * time.Second).Nanoseconds(), "multiplex": s.Streams,
			"peers": s.Peers, "probes": false, "retryAfter": true, "secondCopies": true},
		"realms": realms, "registryMode": "ask",
		"safety": map[string]any{"answerSlackNs": (20 * time.Millisecond).Nanoseconds(), "askWithinNs": (10 * time.Second).Nanoseconds(), "coldFrom": 0.21,
			"drainGraceNs": s.DrainGrace.Nanoseconds(), "fallNs": (3 * time.Second).Nanoseconds(), "tipMultiple": 2.5,
			"warmAfterNs": (16 * time.Second).Nanoseconds()},
		"stepNs": (5 * time.Millisecond).Nanoseconds(), "weights": "silent", "workload": "fanout", "zone": 0,
	}
}
