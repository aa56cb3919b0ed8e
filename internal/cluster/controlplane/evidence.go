package controlplane

import (
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// evidence is a report as a release's gates take it.
func (r *Report) evidence(broker statemachine.Broker) release.Report {
	evidence := release.Report{
		Target:      release.Target{Slot: broker.Slot},
		Incarnation: broker.Incarnation,
		Zone:        broker.Zone,
	}
	for i, class := range r.Classes {
		counts := class.counts()
		if i == 0 {
			counts.Wrong[release.Cold] = min(r.WarmingUp, counts.Asked)
		}
		evidence.Classes = append(evidence.Classes, counts)
	}
	return evidence
}

func (c *Class) counts() release.Counts {
	unserved := c.Refused + c.Failed + c.Late
	counts := release.Counts{Asked: c.Served + unserved}
	counts.Wrong[release.Unserved] = unserved
	counts.Wrong[release.Refused] = c.Refused
	counts.Wrong[release.Failed] = c.Failed
	counts.Wrong[release.Late] = c.Late
	return counts
}
