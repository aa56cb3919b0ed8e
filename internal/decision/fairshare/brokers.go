package fairshare

// divideAmongBrokers divides one tenant's share at a node among the brokers. On entry out holds their demands, on return their shares. All
// brokers get the same number of units, or their demand if that is less. Units left over, too few for all, go first to brokers that had
// more in the previous division, then to others. Both passes start at firstBroker, which differs from row to row, so that it is not
// always the same broker that gets an extra unit.
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
				out[b] = -level - 1 // negative marks a broker that already got an extra unit
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

// evenLevel returns the greatest number of units that every broker can get, as far as it has the demand, and the units that then remain,
// which are fewer than the brokers with more demand.
func (d *Divider) evenLevel(units, greatest int, demands []int32) (level int32, remaining int) {
	greatest = min(greatest, units)
	if cap(d.counts) < greatest+2 {
		d.counts = make([]int32, greatest+2)
	}
	counts := d.counts[:greatest+1] // number of brokers, by demand
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
