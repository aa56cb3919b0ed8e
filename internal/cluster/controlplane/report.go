package controlplane

// This file owns what a broker tells the leader of its own work.

import (
	"time"

	"flaxfront/internal/decision/release"
	"flaxfront/internal/decision/statemachine"
)

// Report is what a broker has done since its start; the figures only grow.
type Report struct {
	Classes []Class           `cbor:"1,keyasint,omitempty"`
	Cold    uint64            `cbor:"2,keyasint,omitempty"` // parts sent to nodes that were still cold
	Extra   map[string][]byte `cbor:"3,keyasint,omitempty"` // for duties, by their names
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

// maxReportBytes bounds a report.
const maxReportBytes = 64 << 10

// AddReportSection adds to the reports, before Run.
func (p *Participant) AddReportSection(e ReportSection) {
	p.reportSections = append(p.reportSections, e)
}

// evidence is a report as a release's gates take it.
func (r *Report) evidence(b statemachine.Broker) release.Report {
	e := release.Report{Target: release.Target{Slot: b.Slot}, Incarnation: b.Incarnation, Zone: b.Zone}
	for i, c := range r.Classes {
		n := release.Counts{Asked: c.Served + c.Refused + c.Failed + c.Late}
		n.Wrong[release.Unserved] = c.Refused + c.Failed + c.Late
		n.Wrong[release.Refused], n.Wrong[release.Failed], n.Wrong[release.Late] = c.Refused, c.Failed, c.Late
		if i == 0 {
			n.Wrong[release.Cold] = min(r.Cold, n.Asked)
		}
		e.Classes = append(e.Classes, n)
	}
	return e
}

func (p *Participant) queueReport() {
	if p.options.CollectReport == nil || !p.isRegistered() {
		return
	}
	r := p.options.CollectReport()
	for _, e := range p.reportSections {
		if data := e.Collect(); len(data) > 0 {
			if r.Extra == nil {
				r.Extra = map[string][]byte{}
			}
			r.Extra[e.Name] = data
		}
	}
	if data, err := encoding.Marshal(r); err == nil && len(data) <= maxReportBytes {
		p.outbox.Reports = append(p.outbox.Reports, reportFrame{uint32(p.options.Slot), p.incarnation, data})
	}
}

// acceptReports takes reports at the leader.
func (p *Participant) acceptReports(all []reportFrame, now time.Duration) {
	for _, m := range all {
		b, known := p.state.Broker(statemachine.Slot(m.Slot))
		if !known || b.Incarnation != m.Incarnation || len(m.Data) > maxReportBytes || p.leadership.reports == nil {
			continue
		}
		if r, err := decode[Report](m.Data); err == nil && len(r.Classes) <= 64 {
			p.leadership.reports[b.Slot] = ReceivedReport{r, m.Incarnation, now}
			if p.leadership.planner != nil {
				p.leadership.planner.Take(r.evidence(b), now)
			}
		}
	}
}
