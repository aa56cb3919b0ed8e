package forwarding

// This file explores the states of the model.

import (
	"slices"
	"strings"
	"testing"

	"flaxfront/internal/decision"
)

// explore tries all choices up to a depth. It returns the number of states, and the first violation with the choices that lead to it.
func explore(variant string, idempotency decision.Idempotency, depth int) (states int, violation string) {
	seen := map[string]bool{}
	paths := [][]byte{{}}
	for range depth {
		var next [][]byte
		for _, path := range paths {
			m, names := newModel(variant, idempotency), []string{}
			for _, c := range path {
				all := m.choices()
				names = append(names, all[c].name)
				all[c].do()
			}
			if m.violation != "" {
				return len(seen), m.violation + ": " + strings.Join(names, ", ")
			}
			if key := m.String(); seen[key] {
				continue
			} else {
				seen[key] = true
			}
			for c := range m.choices() {
				next = append(next, append(slices.Clone(path), byte(c)))
			}
		}
		paths = next
	}
	return len(seen), ""
}

func modelDepth() int {
	if testing.Short() {
		return 9
	}
	return 11
}

// The rules hold for one forwarded query in every interleaving of events.
func TestModel(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.IdempotencyKeyed, decision.NonIdempotent} {
		states, violation := explore("", idempotency, modelDepth())
		if violation != "" {
			t.Errorf("idempotency %d: %s", idempotency, violation)
		}
		t.Logf("idempotency %d: %d states to depth %d", idempotency, states, modelDepth())
	}
}

// The model detects each variant that is broken on purpose.
func TestModelFindsBrokenVariants(t *testing.T) {
	for _, variant := range []string{"a receiving side that forgets", "old links are not ignored", "all lost is taken for unsent",
		"not sent is taken for rejected"} {
		states, violation := explore(variant, decision.NonIdempotent, 13)
		if violation == "" {
			t.Errorf("%s: no violation found in %d states", variant, states)
		}
		t.Logf("%s: %s (%d states)", variant, violation, states)
	}
}
