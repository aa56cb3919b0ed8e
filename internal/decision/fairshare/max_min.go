package fairshare

import (
	"cmp"
	"slices"
)

// maxMinSolver solves one weighted max-min division: everybody gets the same for each unit of weight, no less than low and no more
// than high. In whole units each ends less than one unit away from that.
type maxMinSolver struct {
	low      []int // by participant, like those below
	high     []int
	weight   []int
	previous []int
	result   []int

	levels     []level
	remainders []remainder
}

// level is a number of units for a weight, at which somebody's part begins or ends to grow.
type level struct {
	units  int
	weight int
}

// remainder is a part that did not come out even.
type remainder struct {
	index   int
	rest    int  // of the exact part above whole units, in fractions of the weights' sum
	hadMore bool // the participant had the odd unit in the previous division
}

func (f *maxMinSolver) resize(n int) {
	for _, s := range []*[]int{&f.low, &f.high, &f.weight, &f.previous, &f.result} {
		resizeInts(s, n)
	}
}

// solve divides and tells how much was given.
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

// divideLow has the lowest parts be what is divided: they alone are too much.
func (f *maxMinSolver) divideLow(n int) {
	copy(f.high, f.low[:n])
	for i := range n {
		f.low[i] = 0
		f.weight[i] = max(1, f.weight[i])
	}
}

// findLevel is the highest level, of those at which something changes, that does not take more than there is.
func (f *maxMinSolver) findLevel(total, n int) level {
	f.levels = append(f.levels[:0], level{units: 0, weight: 1})
	for i := range n {
		if w := f.weight[i]; w > 0 {
			f.levels = append(f.levels, level{units: f.low[i], weight: w}, level{units: f.high[i], weight: w})
		}
	}
	slices.SortFunc(f.levels, func(a, b level) int { return cmp.Compare(a.units*b.weight, b.units*a.weight) })
	i, _ := slices.BinarySearchFunc(f.levels, total, func(l level, total int) int {
		sum := 0 // in units times the level's weight
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

// undecided marks a part that is between low and high; no part is below zero.
const undecided = -1

// divideAt gives those below and above a level their low or high part, and divides the rest among the others by weight.
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

// compareRemainders puts first who had the odd unit, else two of nearly the same part would hand it to and fro; then the greater rest.
func compareRemainders(a, b remainder) int {
	if a.hadMore != b.hadMore {
		if a.hadMore {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rest, a.rest)
}
