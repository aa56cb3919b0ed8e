package fairshare

import (
	"math/rand/v2"
	"testing"
)

// TestNoiseMovesLittle has each demand fluctuate by one unit: after some divisions hardly any units may move.
func TestNoiseMovesLittle(t *testing.T) {
	const nodes, tenants, brokers = 10, 8, 40
	in, random := largeInput(nodes, tenants, brokers, 1), rand.New(rand.NewPCG(3, 4))
	base := make([]int32, len(in.Demand.units))
	for i := range base {
		base[i] = 2 + int32(random.IntN(8))
	}
	for n := range in.Nodes {
		in.Nodes[n].Units = brokers * tenants * 5
		for t := range in.Nodes[n].Allowances {
			in.Nodes[n].Allowances[t].Max = in.Nodes[n].Units
		}
	}
	var d Divider
	countMoves := func(keepPrevious bool) (moves int) {
		a, b := NewTable(nodes, tenants, brokers), NewTable(nodes, tenants, brokers)
		in.Previous = nil
		for round := range 30 {
			for i := range in.Demand.units {
				in.Demand.units[i] = base[i] + int32(random.IntN(2))
			}
			d.Divide(in, a)
			for i := range a.units {
				if round > 10 {
					moves += int(max(0, a.units[i]-b.units[i]))
				}
			}
			if a, b = b, a; keepPrevious {
				in.Previous = b
			}
		}
		return moves
	}
	withPrevious, withoutPrevious := countMoves(true), countMoves(false)
	t.Logf("units moved in 19 divisions of noisy demand: %d with the previous division as input, %d without", withPrevious, withoutPrevious)
	if withPrevious*20 > withoutPrevious {
		t.Errorf("noise moves %d units with the previous division as input, want at most a twentieth of the %d without", withPrevious, withoutPrevious)
	}
}

// largeInput returns an input in which demand exceeds the budget at most nodes.
func largeInput(nodes, tenants, brokers int, seed uint64) Input {
	random := rand.New(rand.NewPCG(seed, 2))
	in := Input{Demand: NewTable(nodes, tenants, brokers)}
	for range nodes {
		b := Budget{Units: brokers * tenants / 2}
		for range tenants {
			b.Allowances = append(b.Allowances, Allowance{Guarantee: b.Units / tenants / 4, Weight: 1 + random.IntN(4), Max: b.Units / 2})
		}
		in.Nodes = append(in.Nodes, b)
	}
	for i := range in.Demand.units {
		in.Demand.units[i] = int32(random.IntN(4))
	}
	return in
}

func BenchmarkDivide(b *testing.B) {
	in := largeInput(200, 50, 300, 1)
	in.Pool = &Budget{Units: 200 * 300 * 50 / 3}
	for range 50 {
		in.Pool.Allowances = append(in.Pool.Allowances, Allowance{Weight: 1, Max: in.Pool.Units})
	}
	in.Previous = NewTable(200, 50, 300)
	out, d := NewTable(200, 50, 300), new(Divider)
	d.Divide(in, in.Previous)
	for b.Loop() {
		d.Divide(in, out)
	}
}
