package fairshare

// divideAmongBrokers divides one tenant's share at a node by the demands in its row: all get the same as far as they need it. Units
// that do not come out even go to brokers that had them, and else from a place on that differs from row to row, so that it is not
// always the same broker that gets them.
func (d *Divider) divideAmongBrokers(index, firstBroker int, previous, out []int32) {
	level, remaining := d.evenLevel(d.share[index], d.greatest[index], out)
	firstBroker %= len(out)
	for _, hadMore := range []bool{true, false} {
		for i := 0; i < len(out) && remaining > 0; i++ {
			b := i + firstBroker
			if b >= len(out) {
				b -= len(out)
			}
			if out[b] > level && (previous != nil && previous[b] > level) == hadMore {
				out[b] = -level - 1 // negative, so that it counts once
				remaining--
			}
		}
	}
	for b, u := range out {
		if u < 0 {
			out[b] = -u
		} else {
			out[b] = min(u, level)
		}
	}
}

// evenLevel is the most that all brokers can get alike, and what remains then, which is less than there are brokers that need more.
func (d *Divider) evenLevel(units, greatest int, demands []int32) (level int32, remaining int) {
	greatest = min(greatest, units)
	if cap(d.counts) < greatest+2 {
		d.counts = make([]int32, greatest+2)
	}
	counts := d.counts[:greatest+1] // brokers by demand
	clear(counts)
	for _, u := range demands {
		counts[min(int(u), greatest)]++
	}
	above := len(demands) - int(counts[0])
	remaining = units
	for level := range greatest {
		if remaining < above {
			return int32(level), remaining
		}
		remaining -= above
		above -= int(counts[level+1])
	}
	return int32(greatest), remaining
}
