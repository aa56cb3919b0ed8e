package hunt

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"flaxfront/internal/lab/play"
	"flaxfront/internal/lab/script"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func base(t testing.TB) *script.Script {
	t.Helper()
	s, err := script.Decode("base", []byte(`{"for": "5s", "fleet": {"nodes": 8, "cells": 2}, "brokers": {"count": 2, "budget": 0.2}, "load": {"rate": 40},
		"types": [{"name": "find"}, {"name": "sign", "effect": "non_idempotent", "share": 0.3}, {"name": "book", "effect": "tokened", "share": 0.3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func quiet(string, ...any) {}

// A search finds the same script each time. Shrinking a finding makes it no larger, keeps at least four fifths of its badness, and
// gives a valid script.
func TestHuntAndShrink(t *testing.T) {
	var texts []string
	for range 2 {
		o := Options{Scripts: 4, Seed: 2, Cores: 4, Log: quiet, Policy: play.Random}
		f, err := Hunt(base(t), o)
		if err != nil {
			t.Fatal(err)
		}
		small, err := Shrink(f, o)
		if err != nil {
			t.Fatal(err)
		}
		if len(small.Script.Faults) > len(f.Script.Faults) || small.Script.Length > f.Script.Length || small.badness() < 0.8*f.badness() {
			t.Errorf("%s (%v) became %s (%v)", Describe(f.Script), f.badness(), Describe(small.Script), small.badness())
		}
		again, err := script.Decode("small", []byte(small.Script.Text()))
		if err != nil {
			t.Fatal(err)
		}
		replayed, err := Evaluate(again, o)
		if err != nil || replayed.Service != small.Service || replayed.Broken != small.Broken {
			t.Errorf("replay of the written script: %v, %v; want %v", replayed, err, small)
		}
		texts = append(texts, small.Script.Text())
	}
	if texts[0] != texts[1] {
		t.Errorf("two searches with one seed differ:\n%s\n%s", texts[0], texts[1])
	}
}

// No rule breaks under drawn scripts. To search further: go test -fuzz FuzzDays ./internal/lab/hunt
func FuzzDays(f *testing.F) {
	for seed := range uint64(12) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		s := DrawScript(base(t), rand.New(rand.NewPCG(seed, 1)))
		r, err := play.Play(s, play.Options{Cores: 1, Policy: play.Module})
		if err != nil {
			t.Fatal(err)
		}
		if r.Broken > 0 {
			t.Errorf("%v\n%s", r.Breaches[0], s.Text())
		}
	})
}
