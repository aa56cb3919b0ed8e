package controlplane

// This file owns what a broker tells the leader of its own work.

import (
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// Report is what a broker has done since its start; the figures only grow.
type Report struct {
	Classes   []Class           `cbor:"1,keyasint,omitempty"`
	WarmingUp uint64            `cbor:"2,keyasint,omitempty"` // parts sent to nodes that were still cold
	Sections  map[string][]byte `cbor:"3,keyasint,omitempty"` // for duties, by their names
}

// Class are the figures of one kind of search.
type Class struct {
	Name    string `cbor:"1,keyasint"`
	Served  uint64 `cbor:"2,keyasint,omitempty"`
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	Failed  uint64 `cbor:"4,keyasint,omitempty"`
	Late    uint64 `cbor:"5,keyasint,omitempty"`
}

// ReportSection is more that reports carry, such as what a broker needs. Collect runs in the fleet's goroutine and must not wait.
type ReportSection struct {
	Name    string
	Collect func() []byte
}

// maxReport bounds a report.
const maxReport = 64 << 10

// AddReportSection adds to the reports, before Run.
func (f *Participant) AddReportSection(e ReportSection) { f.extras = append(f.extras, e) }

// evidence is a report as a release's gates take it.
func (r *Report) evidence(b statemachine.Broker) release.Report {
	e := release.Report{Target: release.Target{Slot: b.Slot}, Incarnation: b.Incarnation, Zone: b.Zone}
	for i, c := range r.Classes {
		n := release.Counts{Queries: c.Served + c.Refused + c.Failed + c.Late}
		n.Bad[release.MetricUnserved] = c.Refused + c.Failed + c.Late
		n.Bad[release.MetricRejected], n.Bad[release.MetricFailed], n.Bad[release.MetricLate] = c.Refused, c.Failed, c.Late
		if i == 0 {
			n.Bad[release.MetricSentToWarmingUp] = min(r.WarmingUp, n.Queries)
		}
		e.Classes = append(e.Classes, n)
	}
	return e
}

func (f *Participant) report() {
	if f.o.CollectReport == nil || !f.alive() {
		return
	}
	r := f.o.CollectReport()
	for _, e := range f.extras {
		if data := e.Collect(); len(data) > 0 {
			if r.Sections == nil {
				r.Sections = map[string][]byte{}
			}
			r.Sections[e.Name] = data
		}
	}
	if data, err := encoding.Marshal(r); err == nil && len(data) <= maxReport {
		f.up.Reports = append(f.up.Reports, report{uint32(f.o.Slot), f.inc, data})
	}
}

// reported takes reports at the leader.
func (f *Participant) reported(all []report, now time.Duration) {
	for _, m := range all {
		b, known := f.state.Broker(statemachine.Slot(m.Slot))
		if !known || b.Incarnation != m.Inc || len(m.Data) > maxReport || f.lead.reports == nil {
			continue
		}
		if r, err := decode[Report](m.Data); err == nil && len(r.Classes) <= 64 {
			f.lead.reports[b.Slot] = ReceivedReport{r, m.Inc, now}
			if f.lead.planner != nil {
				f.lead.planner.RecordReport(r.evidence(b), now)
			}
		}
	}
}
