package fairshare

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

const (
	goldenBlocks    = 100
	goldenSequences = 30 // per block
	goldenDivisions = 8  // per sequence, each with the demand and usually the result of the previous one
	goldenSeed      = 43
)

// goldenBudget returns a random budget that is mostly sufficient for its guarantees.
func goldenBudget(rng *rand.Rand, tenants, greatest int) Budget {
	b := Budget{Units: rng.IntN(greatest + 1)}
	for range tenants {
		a := Allowance{Weight: rng.IntN(5), Max: rng.IntN(b.Units + 1)}
		if rng.IntN(3) > 0 {
			a.Guarantee = rng.IntN(b.Units/tenants + 2)
		}
		if rng.IntN(2) == 0 {
			a.Burst = rng.IntN(b.Units + 1)
		}
		b.Allowances = append(b.Allowances, a)
	}
	return b
}

// goldenSequence makes several divisions, between which demand changes by a little or a lot.
func goldenSequence(rng *rand.Rand, d *Divider, out io.Writer) {
	nodes, tenants, brokers := 1+rng.IntN(4), 1+rng.IntN(5), 1+rng.IntN(9)
	in := Input{Demand: NewTable(nodes, tenants, brokers)}
	for range nodes {
		in.Nodes = append(in.Nodes, goldenBudget(rng, tenants, 80))
	}
	if rng.IntN(2) == 0 {
		pool := goldenBudget(rng, tenants, 60*nodes)
		in.Pool = &pool
	}
	for range goldenDivisions {
		for n := range nodes {
			for t := range tenants {
				for b := range brokers {
					switch rng.IntN(6) {
					case 0:
						in.Demand.Set(n, t, b, rng.IntN(24))
					case 1, 2:
						in.Demand.Set(n, t, b, max(0, in.Demand.At(n, t, b)+rng.IntN(5)-2))
					}
				}
			}
		}
		share := NewTable(nodes, tenants, brokers)
		d.Divide(in, share)
		for n := range nodes {
			for t := range tenants {
				fmt.Fprintln(out, share.Row(n, t))
			}
		}
		if in.Previous = share; rng.IntN(6) == 0 {
			in.Previous = nil
		}
	}
}

// goldenDigests returns one digest for each block of sequences, a line each.
func goldenDigests() string {
	var all strings.Builder
	for block := range goldenBlocks {
		h := fnv.New64a()
		var d Divider
		for i := range goldenSequences {
			goldenSequence(rand.New(rand.NewPCG(goldenSeed, uint64(block*goldenSequences+i))), &d, h)
		}
		fmt.Fprintf(&all, "%016x\n", h.Sum64())
	}
	return all.String()
}

// The divisions in 3,000 pseudo-random sequences of eight are those that commit 1a4b6be made.
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
