package fairshare

import (
	"cmp"
	"slices"
)

// maxMinSolver solves one weighted max-min division: each participant gets the same number of units per weight, but no less than low and
// no more than high. The shares are whole numbers, each less than one unit away from the exact share.
type maxMinSolver struct {
	low      []int // by participant, like the next four
	high     []int
	weight   []int
	previous []int // units in the previous division
	result   []int // buffer for the callers of solve

	levels     []level
	remainders []remainder
}

// level is a ratio of units to weight at which a participant's share begins or ceases to grow.
type level struct {
	units  int
	weight int
}

// remainder is the fractional part of a share.
type remainder struct {
	index   int
	rest    int  // numerator of the fraction; the denominator is the sum of the weights
	hadMore bool // the participant had more than the whole units of its share in the previous division
}

func (f *maxMinSolver) resize(n int) {
	for _, s := range []*[]int{&f.low, &f.high, &f.weight, &f.previous, &f.result} {
		resizeInts(s, n)
	}
}

// solve divides total units, writes the shares to out and returns their sum.
func (f *maxMinSolver) solve(total int, out []int) (given int) {
	n := len(out)
	low := 0
	high := 0
	for i := range n {
		if f.weight[i] == 0 {
			f.high[i] = f.low[i]
		}
		low += f.low[i]
		high += f.high[i]
	}
	if low > total {
		f.divideLow(n)
		high = low
	}
	if high <= total {
		copy(out, f.high[:n])
		return high
	}
	f.divideAt(f.findLevel(total, n), total, out)
	return total
}

// divideLow prepares a division in which the low limits alone exceed the total: they become the upper limits, and nothing is guaranteed.
func (f *maxMinSolver) divideLow(n int) {
	copy(f.high, f.low[:n])
	for i := range n {
		f.low[i] = 0
		f.weight[i] = max(1, f.weight[i])
	}
}

// findLevel returns the highest level, of those at which a share begins or ceases to grow, that needs no more than total units.
func (f *maxMinSolver) findLevel(total, n int) level {
	f.levels = append(f.levels[:0], level{units: 0, weight: 1})
	for i := range n {
		if w := f.weight[i]; w > 0 {
			f.levels = append(f.levels, level{units: f.low[i], weight: w}, level{units: f.high[i], weight: w})
		}
	}
	slices.SortFunc(f.levels, func(a, b level) int { return cmp.Compare(a.units*b.weight, b.units*a.weight) })
	i, _ := slices.BinarySearchFunc(f.levels, total, func(l level, total int) int {
		sum := 0 // in units multiplied by the level's weight
		for i := range n {
			sum += min(max(l.units*f.weight[i], l.weight*f.low[i]), l.weight*f.high[i])
		}
		if sum <= total*l.weight {
			return -1
		}
		return 1
	})
	return f.levels[max(0, i-1)]
}

// undecided marks a share that lies between low and high. Shares are never negative.
const undecided = -1

// divideAt gives participants whose share at a level would be outside their limits the limit, and divides the rest among the others by
// weight.
func (f *maxMinSolver) divideAt(l level, total int, out []int) {
	left := total
	weights := 0
	for i := range out {
		switch w := f.weight[i]; {
		case w == 0 || l.units*w < l.weight*f.low[i]:
			out[i] = f.low[i]
			left -= out[i]
		case l.units*w >= l.weight*f.high[i]:
			out[i] = f.high[i]
			left -= out[i]
		default:
			out[i] = undecided
			weights += w
		}
	}
	f.divideByWeight(left, weights, out)
}

// divideByWeight divides left units by weight among the undecided participants; weights is the sum of their weights.
func (f *maxMinSolver) divideByWeight(left, weights int, out []int) {
	f.remainders = f.remainders[:0]
	rest := left
	for i := range out {
		if out[i] >= 0 {
			continue
		}
		whole := left * f.weight[i] / weights
		fraction := left * f.weight[i] % weights
		out[i] = whole
		rest -= whole
		if fraction > 0 {
			f.remainders = append(f.remainders, remainder{index: i, rest: fraction, hadMore: f.previous[i] > whole})
		}
	}
	slices.SortStableFunc(f.remainders, compareRemainders)
	for _, r := range f.remainders[:max(0, rest)] {
		out[r.index]++
	}
}

// compareRemainders orders remainders by who gets an extra unit first: participants that had it before, as otherwise it could move back and
// forth between two with nearly equal shares, then those with the greater remainder.
func compareRemainders(a, b remainder) int {
	if a.hadMore != b.hadMore {
		if a.hadMore {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rest, a.rest)
}
