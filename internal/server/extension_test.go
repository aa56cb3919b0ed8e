package server

import (
	"slices"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

// recordingExtension records its calls in a list that it shares with other extensions.
type recordingExtension struct {
	name  string
	calls *[]string
	takes func(m message) bool
}

func (e *recordingExtension) handle(m message) bool {
	*e.calls = append(*e.calls, "handle "+e.name)
	return e.takes(m)
}

func (e *recordingExtension) tick(now time.Duration) time.Duration {
	*e.calls = append(*e.calls, "tick "+e.name)
	return now + time.Hour
}

func (e *recordingExtension) report(*QueryCounters) { *e.calls = append(*e.calls, "report "+e.name) }

// A message is offered to the extensions in their order until one handles it; they tick and report in the same order.
func TestExtensionsAreCalledInOrder(t *testing.T) {
	var calls []string
	l := newLoop(time.Now(), nil, &decision.Settings{})
	l.pool = store.NewPool(t.Context(), store.Limits{Streams: 1, Conns: 9}, nil, l.since, nil, nil, nil)
	never := func(message) bool { return false }
	l.extensions[connectionLeasesExtension] = &recordingExtension{"leases", &calls, never}
	l.extensions[admissionExtension] = &recordingExtension{"admission", &calls, never}
	l.extensions[controlPlaneExtension] = &recordingExtension{"control plane", &calls, func(m message) bool {
		_, ok := m.(viewReceived)
		return ok
	}}
	l.extensions[readPinsExtension] = &recordingExtension{"read pins", &calls, never}
	for _, c := range []struct {
		what string
		call func()
		want []string
	}{
		{"a message that the control plane takes", func() { l.handle(viewReceived{}) },
			[]string{"handle leases", "handle admission", "handle control plane"}},
		{"one that the loop takes", func() { l.handle(gossipReceived{}) }, nil},
		{"the counters", func() { l.snapshot() }, []string{"report leases", "report admission", "report control plane", "report read pins"}},
	} {
		calls = nil
		c.call()
		if !slices.Equal(calls, c.want) {
			t.Errorf("%s: %q, want %q", c.what, calls, c.want)
		}
	}
	l.events = nil
	calls = nil
	l.advance()
	if want := []string{"tick leases", "tick admission", "tick control plane", "tick read pins"}; !slices.Equal(calls, want) {
		t.Errorf("ticks: %q, want %q", calls, want)
	}
}
