package statemachine

import (
	"errors"
	"strings"
	"testing"
)

// An entry of exactly the maximum size is applied; one byte more is rejected.
func TestEntrySize(t *testing.T) {
	overhead := len(Encode(ProposalID{0, 1, 9}, &HaltRelease{1, strings.Repeat("x", maxEntryBytes)})) - maxEntryBytes
	for _, c := range []struct {
		size int
		want Reason
	}{
		{maxEntryBytes, ReasonNotFound}, // it is applied, and fails as there is no release 1
		{maxEntryBytes + 1, ReasonInvalid},
	} {
		tier := newTestTier(t, 1)
		data := Encode(ProposalID{0, 1, 100}, &HaltRelease{1, strings.Repeat("x", c.size-overhead)})
		if len(data) != c.size {
			t.Fatalf("%d bytes, want %d", len(data), c.size)
		}
		var rejected *RejectedError
		if r := tier.state.Apply(tier.state.AppliedIndex()+1, data); !errors.As(r.Err, &rejected) || rejected.Reason != c.want {
			t.Errorf("%d bytes: %v, want %s", c.size, r.Err, reasonTexts[c.want].meaning)
		}
	}
}

// Restore rejects data that is not a valid snapshot of this version, and the error says why.
func TestSnapshotRejected(t *testing.T) {
	good := func() *State { return storedMachine(t) }
	for name, data := range map[string][]byte{
		"empty":          {},
		"cut":            good().Snapshot()[:100],
		"longer":         append(good().Snapshot(), 0),
		"other format":   append([]byte{2}, good().Snapshot()[1:]...),
		"newer protocol": changedSnapshot(good(), func(s *State) { s.tierProtocol = SupportedProtocol + 1 }),
		"no protocol":    changedSnapshot(good(), func(s *State) { s.tierProtocol = 0 }),
		"out of order":   changedSnapshot(good(), func(s *State) { s.nodes[0], s.nodes[1] = s.nodes[1], s.nodes[0] }),
		"release":        changedSnapshot(good(), func(s *State) { s.release.OpenBatch = 9 }),
	} {
		var damaged *SnapshotError
		if _, err := Restore(data); !errors.As(err, &damaged) || damaged.Cause == "" || damaged.Remedy() == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func changedSnapshot(s *State, change func(*State)) []byte {
	change(s)
	return s.Snapshot()
}
