package connlease

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	goldenBlocks    = 100
	goldenSequences = 10 // per block, for each of holder, demand and granter
	goldenSteps     = 200
	goldenSeed      = 41
	goldenNodes     = 4
	goldenTenants   = 3
	goldenBrokers   = 4
	goldenTimeStep  = 20 * time.Millisecond
)

// goldenDigests returns one digest for each block of sequences, a line each.
func goldenDigests() string {
	var all strings.Builder
	for block := range goldenBlocks {
		h := fnv.New64a()
		for i := range goldenSequences {
			for side, run := range []func(*goldenRun){(*goldenRun).holder, (*goldenRun).demand, (*goldenRun).granter} {
				run(&goldenRun{rng: rand.New(rand.NewPCG(goldenSeed+uint64(side), uint64(block*goldenSequences+i))), out: h})
			}
		}
		fmt.Fprintf(&all, "%016x\n", h.Sum64())
	}
	return all.String()
}

// Holders, demand reports and granters give the results that commit 1a4b6be gave, over 3,000 pseudo-random sequences of calls.
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
