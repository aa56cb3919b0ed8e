package fairshare

import (
	"cmp"
	"slices"
)

// filler solves one weighted max-min division: everybody gets the same for each unit of weight, no less than low and no more
// than high. In whole units each ends less than one unit away from that.
type filler struct {
	low, high, weight, last, more []int
	points                        []ratio
	odd                           []part
}

// ratio is a level at which somebody's part begins or ends to grow.
type ratio struct{ units, weight int }

// part is a division that did not come out even.
type part struct {
	at, rest int
	had      bool
}

func (f *filler) size(n int) {
	for _, s := range []*[]int{&f.low, &f.high, &f.weight, &f.last, &f.more} {
		if cap(*s) < n {
			*s = make([]int, n)
		}
		*s = (*s)[:n]
	}
}

// run divides and tells how much was given.
func (f *filler) run(total int, out []int) int {
	n, low, high := len(out), 0, 0
	for i := range n {
		if f.weight[i] == 0 {
			f.high[i] = f.low[i]
		}
		low += f.low[i]
		high += f.high[i]
	}
	if low > total { // the lowest parts alone are too much: they are what is divided
		copy(f.high, f.low[:n])
		for i := range n {
			f.low[i], f.weight[i] = 0, max(1, f.weight[i])
		}
		high = low
	}
	if high <= total {
		copy(out, f.high[:n])
		return high
	}
	f.split(total, out, f.point(total, n))
	return total
}

// point is the highest level, of those at which something changes, that does not take more than there is.
func (f *filler) point(total, n int) ratio {
	f.points = append(f.points[:0], ratio{0, 1})
	for i := range n {
		if w := f.weight[i]; w > 0 {
			f.points = append(f.points, ratio{f.low[i], w}, ratio{f.high[i], w})
		}
	}
	slices.SortFunc(f.points, func(a, b ratio) int { return cmp.Compare(a.units*b.weight, b.units*a.weight) })
	at, _ := slices.BinarySearchFunc(f.points, total, func(l ratio, total int) int {
		sum := 0
		for i := range n {
			sum += min(max(l.units*f.weight[i], l.weight*f.low[i]), l.weight*f.high[i])
		}
		if sum <= total*l.weight {
			return -1
		}
		return 1
	})
	return f.points[max(0, at-1)]
}

// split divides what those take that are between low and high at a level.
func (f *filler) split(total int, out []int, l ratio) {
	left, weights := total, 0
	for i := range out {
		switch w := f.weight[i]; {
		case w == 0 || l.units*w < l.weight*f.low[i]:
			out[i] = f.low[i]
			left -= out[i]
		case l.units*w >= l.weight*f.high[i]:
			out[i] = f.high[i]
			left -= out[i]
		default:
			out[i] = -1
			weights += w
		}
	}
	f.odd = f.odd[:0]
	rest := left
	for i := range out {
		if out[i] >= 0 {
			continue
		}
		whole, over := left*f.weight[i]/weights, left*f.weight[i]%weights
		out[i] = whole
		rest -= whole
		if over > 0 {
			f.odd = append(f.odd, part{i, over, f.last[i] > whole})
		}
	}
	// Who had the odd unit keeps it. Danger: two of nearly the same part would hand it to and fro.
	slices.SortStableFunc(f.odd, func(a, b part) int {
		if a.had != b.had {
			if a.had {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.rest, a.rest)
	})
	for _, p := range f.odd[:max(0, rest)] {
		out[p.at]++
	}
}
