package release

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/decision/statemachine"
)

const (
	goldenBlocks    = 100
	goldenSequences = 10 // a block
	goldenSteps     = 240
	goldenStep      = 250 * time.Millisecond
	goldenSeed      = 47
	goldenNodes     = 6
)

// goldenDigests is one digest a block of sequences.
func goldenDigests() string {
	var all strings.Builder
	for block := range goldenBlocks {
		h := fnv.New64a()
		for i := range goldenSequences {
			g := &goldenRun{rng: rand.New(rand.NewPCG(goldenSeed, uint64(block*goldenSequences+i))), out: h, state: statemachine.New()}
			g.run()
		}
		fmt.Fprintf(&all, "%016x\n", h.Sum64())
	}
	return all.String()
}

// What planners and node lists propose over 1,000 pseudo-random courses of a minute is what commit 1a4b6be proposed.
func TestGolden(t *testing.T) {
	want, err := os.ReadFile("testdata/golden-1a4b6be.txt")
	if err != nil {
		t.Fatal(err)
	}
	old := strings.Fields(string(want))
	now := strings.Fields(goldenDigests())
	if len(old) != len(now) {
		t.Fatalf("%d blocks recorded, %d played", len(old), len(now))
	}
	for i := range old {
		if old[i] != now[i] {
			t.Errorf("block %d: %s recorded, %s played", i, old[i], now[i])
		}
	}
}
