package membership

// random returns the next number of a xorshift generator, at least 0 and below 1.
func (d *Detector) random() float64 {
	d.generatorState ^= d.generatorState << 13
	d.generatorState ^= d.generatorState >> 7
	d.generatorState ^= d.generatorState << 17
	return float64(d.generatorState>>11) / (1 << 53)
}

// randomIndex returns a random number from 0 to n-1.
func (d *Detector) randomIndex(n int) int {
	return int(d.random() * float64(n))
}

// randomMember searches the sorted member list from a random position on and returns the first member that matches, or nil if none does.
func (d *Detector) randomMember(matches func(*memberEntry) bool) *memberEntry {
	if len(d.ids) == 0 {
		return nil
	}
	start := d.randomIndex(len(d.ids))
	for i := range d.ids {
		entry := d.entries[d.ids[(start+i)%len(d.ids)]]
		if matches(entry) {
			return entry
		}
	}
	return nil
}

// nextProbeTarget returns the next living member of the round, and begins another round after the last member. It returns nil if no member
// is living.
func (d *Detector) nextProbeTarget() *memberEntry {
	if entry := d.nextInRound(); entry != nil {
		return entry
	}
	d.startRound()
	return d.nextInRound()
}

func (d *Detector) nextInRound() *memberEntry {
	for d.probePosition < len(d.probeOrder) {
		entry := d.entries[d.probeOrder[d.probePosition]]
		d.probePosition++
		if entry != nil && entry.State.isLiving() {
			return entry
		}
	}
	return nil
}

// startRound begins a round of all living members in random order.
func (d *Detector) startRound() {
	d.probeOrder = d.probeOrder[:0]
	d.probePosition = 0
	for _, id := range d.ids {
		if d.entries[id].State.isLiving() {
			d.probeOrder = append(d.probeOrder, id)
		}
	}
	for i := len(d.probeOrder) - 1; i > 0; i-- {
		j := d.randomIndex(i + 1)
		d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i]
	}
}
