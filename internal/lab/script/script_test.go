package script

import (
	"strings"
	"testing"
	"time"
)

// A wrong or contradictory script is rejected with an error of one line that names line and field.
func TestBadScripts(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                   "f: line 1",
		"{\n\"flet\": {}}":                    "f:2: flet: unknown",
		`{"fleet": {"nodes": 0}}`:             "fleet.nodes: 0 is out of range",
		`{"fleet": {"nodes": 2, "cells": 4}}`: "fleet.cells: 4 cells for 2 nodes",
		`{"types": [{"name": "a"}, {"name": "a"}]}`:                                          "types.1.name",
		`{"types": [{"name": "a", "timeout": "1s", "target": "2s"}]}`:                        "types.0.timeout",
		`{"types": [{"name": "a", "effect": "magic"}]}`:                                      "types.0.effect",
		`{"types": [{"name": "a", "most_parts": 90}]}`:                                       "up to the 12 shards",
		"{\"troubles\": [\n{\"what\": \"die\"},\n{\"what\": \"sulk\"}]}":                     "f:3: troubles.1.what: \"sulk\" is not one of",
		`{"troubles": [{"what": "die", "at": "40s"}]}`:                                       "too late: the clients stop after 30s",
		`{"troubles": [{"what": "slow", "for": "4s", "ramp": "3s"}]}`:                        "do not fit",
		`{"troubles": [{"what": "cut"}]}`:                                                    "needs the name of one zone",
		`{"troubles": [{"what": "cut", "zone": "q"}]}`:                                       "not one of the 2 zones",
		`{"troubles": [{"what": "flood", "tenant": "who"}]}`:                                 "not one of the tenants",
		`{"troubles": [{"what": "die", "nodes": [99]}]}`:                                     "troubles.0.nodes: 99",
		`{"troubles": [{"what": "die", "share": 0}]}`:                                        "is no node",
		`{"troubles": [{"what": "stall", "every": "1s", "pause": "1s"}]}`:                    "leaves no time between pauses",
		`{"troubles": [{"what": "errors", "factor": 101}]}`:                                  "101 is more than 100 percent",
		`{"troubles": [{"what": "die", "nodes": [3]}, {"what": "hang", "nodes": [3]}]}`:      "node 3 cannot hang during its die in troubles.0",
		`{"troubles": [{"what": "discovery_down"}, {"what": "discovery_down", "at": "8s"}]}`: "overlaps with troubles.0 of the same kind",
		`{"troubles": [{"what": "die"}, {"what": "die", "nodes": ["x"]}]}`:                   "expected a whole number",
		`{"tenants": [{"name": "a", "share": 0}]}`:                                           "add up to 0",
	} {
		if s, err := Decode("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, %+v", text, err, s)
		}
	}
}

// A script that is written as text and read back is the same.
func TestTextReadsBack(t *testing.T) {
	s, err := Decode("f", []byte(`{"name": "a \"b\"", "fleet": {"nodes": 9, "cells": 3}, "load": {"rate": 12.5}, "troubles": [
		{"what": "die", "nodes": [1, 4], "for": "2s"}, {"what": "flood", "tenant": "quiet", "factor": 4, "repeats": true, "ramp": "1s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode("g", []byte(s.Text()))
	if err != nil || again.Text() != s.Text() || again.Faults[1].Ramp != time.Second {
		t.Errorf("%v\n%s\n%s", err, s.Text(), again.Text())
	}
}

// A factor rises and falls over its ramp, and faults that overlap combine.
func TestScheduleOverTime(t *testing.T) {
	s, err := Decode("f", []byte(`{"troubles": [{"what": "slow", "nodes": [2], "at": "10s", "for": "10s", "ramp": "4s", "factor": 5},
		{"what": "slow", "nodes": [2], "at": "15s", "for": "1s", "factor": 2}, {"what": "cut", "zone": "b", "at": "3s", "for": "2s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Schedule()
	for at, want := range map[time.Duration]float64{9 * time.Second: 1, 12 * time.Second: 3, 14 * time.Second: 5, 15 * time.Second: 10,
		18 * time.Second: 3, 20 * time.Second: 1} {
		if got := c.Slow(2, at); got != want {
			t.Errorf("slowdown %v at %v, want %v", got, at, want)
		}
	}
	if c.Cut(0, 1, 4*time.Second) != 5*time.Second || c.Cut(0, 0, 4*time.Second) != 0 || c.Cut(0, 1, 5*time.Second) != 0 {
		t.Error("the zones are not cut off from each other from 3 s to 5 s exactly")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"troubles": [{"what": "stall", "share": 0.5}], "fleet": {"nodes": 4, "cells": 2}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode("f", raw); err == nil && s.Fleet.Nodes < 100 && len(s.Faults) < 10 {
			if _, err := Decode("g", []byte(s.Text())); err != nil {
				t.Errorf("%v: %s", err, s.Text())
			}
		}
	})
}
