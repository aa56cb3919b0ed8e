package release

import (
	"slices"
	"testing"
)

// Default batches increase, end with all targets, and omit sizes that round to the previous one.
func TestDefaultBatches(t *testing.T) {
	for _, c := range []struct {
		targets int
		want    []uint32
	}{
		{0, nil},
		{1, []uint32{1}},
		{10, []uint32{1, 3, 10}},
		{58, []uint32{1, 5, 19, 58}},
		{60, []uint32{1, 2, 6, 20, 60}},
		{300, []uint32{3, 10, 30, 100, 300}},
	} {
		if got := DefaultBatches(c.targets); !slices.Equal(got, c.want) {
			t.Errorf("%d targets: %v, want %v", c.targets, got, c.want)
		}
	}
}
