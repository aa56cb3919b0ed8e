package release

import (
	"cmp"
	"slices"

	"flaxfront/internal/decision/statemachine"
)

// InterleaveZones returns the slots of brokers with the zones taken in turn, so that each batch is spread over the zones.
func InterleaveZones(brokers []statemachine.Broker) (slots []statemachine.Slot) {
	type place struct {
		round  int // the broker's index among those of its zone
		broker statemachine.Broker
	}
	seen := map[string]int{}
	var places []place
	for _, b := range brokers {
		places = append(places, place{round: seen[b.Zone], broker: b})
		seen[b.Zone]++
	}
	slices.SortStableFunc(places, func(x, y place) int {
		return cmp.Or(
			cmp.Compare(x.round, y.round),
			cmp.Compare(x.broker.Zone, y.broker.Zone),
			cmp.Compare(x.broker.Slot, y.broker.Slot),
		)
	})
	for _, x := range places {
		slots = append(slots, x.broker.Slot)
	}
	return slots
}

// DefaultBatches returns cumulative batch sizes for a number of targets: a hundredth (at least one), a thirtieth, a tenth, a third, and all.
func DefaultBatches(targets int) (batches []uint32) {
	last := uint32(0)
	for _, n := range []int{max(1, targets/100), targets / 30, targets / 10, targets / 3, targets} {
		size := uint32(max(0, min(n, targets)))
		if size > last {
			batches = append(batches, size)
			last = size
		}
	}
	return batches
}
