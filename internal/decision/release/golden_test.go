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
	goldenSequences = 10 // per block
	goldenSteps     = 240
	goldenStep      = 250 * time.Millisecond
	goldenSeed      = 47
	goldenNodes     = 6
)

// goldenDigests returns one digest per block of sequences.
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

// The proposals of planners and node lists in 1,000 pseudo-random runs of a minute equal those recorded at commit 1a4b6be.
func TestGolden(t *testing.T) {
	want, err := os.ReadFile("testdata/golden-1a4b6be.txt")
	if err != nil {
		t.Fatal(err)
	}
	old := strings.Fields(string(want))
	now := strings.Fields(goldenDigests())
	if len(old) != len(now) {
		t.Fatalf("%d blocks recorded, %d run", len(old), len(now))
	}
	for i := range old {
		if old[i] != now[i] {
			t.Errorf("block %d: digest %s recorded, %s now", i, old[i], now[i])
		}
	}
}
