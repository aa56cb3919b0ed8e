package fairshare

import (
	"fmt"
	"math/big"
	"testing"

	"pgregory.net/rapid"
)

// exactDivision is a slow reference implementation of weighted max-min division, in fractions. It divides by weight among the participants
// that are not fixed, fixes those that end up below low or above high at that limit, and repeats until there are none.
func exactDivision(total int, low, high, weight []int) []*big.Rat {
	share := make([]*big.Rat, len(low))
	for i := range low {
		share[i] = big.NewRat(int64(high[i]), 1)
	}
	fixed := make([]int, len(low)) // 0: grows with the level, -1: stays at low, 1: stays at high
	for i, w := range weight {
		if w == 0 {
			fixed[i] = -1
		}
	}
	for level := (*big.Rat)(nil); ; {
		left, weights := big.NewRat(int64(total), 1), 0
		for i := range low {
			switch fixed[i] {
			case -1:
				left.Sub(left, big.NewRat(int64(low[i]), 1))
			case 1:
				left.Sub(left, big.NewRat(int64(high[i]), 1))
			default:
				weights += weight[i]
			}
		}
		if weights > 0 {
			level = left.Quo(left, big.NewRat(int64(weights), 1))
		}
		belowLow, aboveHigh := new(big.Rat), new(big.Rat)
		for i, w := range weight {
			if fixed[i] != 0 {
				continue
			}
			share[i] = new(big.Rat).Mul(level, big.NewRat(int64(w), 1))
			if d := new(big.Rat).Sub(big.NewRat(int64(low[i]), 1), share[i]); d.Sign() > 0 {
				belowLow.Add(belowLow, d)
			}
			if d := new(big.Rat).Sub(share[i], big.NewRat(int64(high[i]), 1)); d.Sign() > 0 {
				aboveHigh.Add(aboveHigh, d)
			}
		}
		changed := false
		for i := range low {
			compareWith := func(limit int) int { return share[i].Cmp(big.NewRat(int64(limit), 1)) }
			if fixed[i] == 0 && belowLow.Cmp(aboveHigh) >= 0 && compareWith(low[i]) < 0 {
				fixed[i], changed = -1, true
			} else if fixed[i] == 0 && belowLow.Cmp(aboveHigh) <= 0 && compareWith(high[i]) > 0 {
				fixed[i], changed = 1, true
			}
		}
		if !changed {
			for i := range low {
				if fixed[i] < 0 {
					share[i] = big.NewRat(int64(low[i]), 1)
				} else if fixed[i] > 0 {
					share[i] = big.NewRat(int64(high[i]), 1)
				}
			}
			return share
		}
	}
}

// withinOne reports whether a number of whole units differs by less than one from the exact share.
func withinOne(units int, want *big.Rat) bool {
	d := new(big.Rat).Sub(big.NewRat(int64(units), 1), want)
	return d.Abs(d).Cmp(big.NewRat(1, 1)) < 0
}

func TestSolverIsNearTheExactDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		var f maxMinSolver
		f.resize(n)
		low, high, sums := make([]int, n), make([]int, n), [2]int{}
		weight := make([]int, n)
		for i := range n {
			low[i] = rapid.IntRange(0, 9).Draw(t, "low")
			high[i] = low[i] + rapid.IntRange(0, 40).Draw(t, "more")
			weight[i] = rapid.IntRange(0, 7).Draw(t, "weight")
			if f.previous[i] = rapid.IntRange(0, 40).Draw(t, "last"); weight[i] == 0 {
				high[i] = low[i]
			}
			sums[0], sums[1] = sums[0]+low[i], sums[1]+high[i]
		}
		total := rapid.IntRange(sums[0], sums[1]+5).Draw(t, "total")
		copy(f.low, low)
		copy(f.high, high)
		copy(f.weight, weight)
		out := make([]int, n)
		given, sum := f.solve(total, out), 0
		want := exactDivision(min(total, sums[1]), low, high, weight)
		for i, units := range out {
			sum += units
			if units < low[i] || units > high[i] || !withinOne(units, want[i]) {
				t.Fatalf("participant %d: %d units, exact share %v, limits %d to %d", i, units, want[i].FloatString(3), low[i], high[i])
			}
		}
		if sum != given || sum != min(total, sums[1]) {
			t.Fatalf("shares sum up to %d units, solve returned %d, total %d", sum, given, total)
		}
	})
}

// drawInput returns a small random input.
func drawInput(t *rapid.T) Input {
	nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
	tenants := rapid.IntRange(1, 5).Draw(t, "tenants")
	brokers := rapid.IntRange(1, 9).Draw(t, "brokers")
	in := Input{Demand: NewTable(nodes, tenants, brokers)}
	for range nodes {
		b := Budget{Units: rapid.IntRange(0, 60).Draw(t, "units")}
		for left := b.Units; len(b.Allowances) < tenants; {
			a := Allowance{Guarantee: rapid.IntRange(0, left).Draw(t, "guarantee"), Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			a.Max = rapid.IntRange(a.Guarantee, b.Units).Draw(t, "most")
			a.Burst = rapid.IntRange(0, b.Units-a.Max).Draw(t, "burst")
			b.Allowances, left = append(b.Allowances, a), left-a.Guarantee
		}
		in.Nodes = append(in.Nodes, b)
	}
	for i := range in.Demand.units {
		in.Demand.units[i] = int32(rapid.IntRange(0, 12).Draw(t, "need"))
	}
	return in
}

func TestDivideKeepsBudgetsAndGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		sum, guaranteed := 0, 0
		for n, b := range in.Nodes {
			for tenant, a := range b.Allowances {
				demand := 0
				for _, u := range in.Demand.Row(n, tenant) {
					demand += int(u)
				}
				guaranteed += min(demand, a.Guarantee)
			}
			sum += b.Units
		}
		if rapid.Bool().Draw(t, "pool") {
			in.Pool = &Budget{Units: rapid.IntRange(guaranteed, sum).Draw(t, "units")}
			for range in.Demand.Tenants {
				in.Pool.Allowances = append(in.Pool.Allowances, Allowance{Weight: rapid.IntRange(1, 5).Draw(t, "weight"), Max: in.Pool.Units})
			}
		}
		out := NewTable(in.Demand.Nodes, in.Demand.Tenants, in.Demand.Brokers)
		again := NewTable(in.Demand.Nodes, in.Demand.Tenants, in.Demand.Brokers)
		new(Divider).Divide(in, out)
		checkDivision(t, in, out)
		// Dividing the same demand again must move nothing.
		in.Previous = out
		new(Divider).Divide(in, again)
		if fmt.Sprint(out.units) != fmt.Sprint(again.units) {
			t.Fatalf("the same demand was divided differently the second time:\n%v\n%v", out.units, again.units)
		}
	})
}

func checkDivision(t *rapid.T, in Input, out *Table) {
	all := 0
	for n, b := range in.Nodes {
		sum := 0
		for tenant, a := range b.Allowances {
			units, demand, low, high := 0, 0, []int(nil), []int(nil)
			for broker, u := range in.Demand.Row(n, tenant) {
				units, demand = units+out.At(n, tenant, broker), demand+int(u)
				low, high = append(low, 0), append(high, int(u))
			}
			weight := make([]int, len(low))
			for i := range weight {
				weight[i] = 1
			}
			for broker, want := range exactDivision(units, low, high, weight) {
				if got := out.At(n, tenant, broker); !withinOne(got, want) {
					t.Fatalf("node %d tenant %d broker %d has %d of %d units, exact share %s", n, tenant, broker, got, units, want.FloatString(3))
				}
			}
			if units < min(demand, a.Guarantee) || units > a.Max+a.Burst {
				t.Fatalf("node %d tenant %d has %d units for a demand of %d, allowance %+v", n, tenant, units, demand, a)
			}
			sum += units
		}
		if sum > b.Units {
			t.Fatalf("node %d: %d units divided, budget %d", n, sum, b.Units)
		}
		all += sum
	}
	if in.Pool != nil && all > in.Pool.Units {
		t.Fatalf("pool: %d units divided, budget %d", all, in.Pool.Units)
	}
}
