package controlplane

import (
	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// evidence converts a report to the form that the gates of a release evaluate.
func (r *Report) evidence(broker statemachine.Broker) release.Report {
	evidence := release.Report{
		Target:      release.Target{Slot: broker.Slot},
		Incarnation: broker.Incarnation,
		Zone:        broker.Zone,
	}
	for i, class := range r.Classes {
		counts := class.counts()
		if i == 0 { // WarmingUp is not counted by class: it is attributed to the first one
			counts.Bad[release.MetricSentToWarmingUp] = min(r.WarmingUp, counts.Queries)
		}
		evidence.Classes = append(evidence.Classes, counts)
	}
	return evidence
}

func (c *Class) counts() release.Counts {
	unserved := c.Refused + c.Failed + c.Late
	counts := release.Counts{Queries: c.Served + unserved}
	counts.Bad[release.MetricUnserved] = unserved
	counts.Bad[release.MetricRejected] = c.Refused
	counts.Bad[release.MetricFailed] = c.Failed
	counts.Bad[release.MetricLate] = c.Late
	return counts
}
