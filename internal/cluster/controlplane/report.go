package controlplane

import (
	"time"

	"flaxfront/internal/decision/statemachine"
)

// maxReportBytes bounds an encoded report.
const maxReportBytes = 64 << 10

// Report counts what a broker has done since its start. The counts only grow.
type Report struct {
	Classes   []Class           `cbor:"1,keyasint,omitempty"`
	WarmingUp uint64            `cbor:"2,keyasint,omitempty"` // attempts sent to nodes that were still warming up
	Sections  map[string][]byte `cbor:"3,keyasint,omitempty"` // data for leader tasks, by section name
}

// Class holds the counts of one class of queries.
type Class struct {
	Name    string `cbor:"1,keyasint"`
	Served  uint64 `cbor:"2,keyasint,omitempty"`
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	Failed  uint64 `cbor:"4,keyasint,omitempty"`
	Late    uint64 `cbor:"5,keyasint,omitempty"`
}

// ReportSection is additional data in reports, such as a broker's demand for connections. Collect is called in the participant's loop and
// must not block.
type ReportSection struct {
	Name    string
	Collect func() []byte
}

// AddReportSection adds a section to the reports. It must be called before Run.
func (p *Participant) AddReportSection(s ReportSection) {
	p.reportSections = append(p.reportSections, s)
}

// ReceivedReport is the last report that the leader received from a broker.
type ReceivedReport struct {
	Report
	Incarnation uint64
	ReceivedAt  time.Duration
}

// queueReport adds this broker's report to the outbox.
func (p *Participant) queueReport() {
	if p.options.CollectReport == nil || !p.isRegistered() {
		return
	}
	r := p.options.CollectReport()
	for _, section := range p.reportSections {
		data := section.Collect()
		if len(data) == 0 {
			continue
		}
		if r.Sections == nil {
			r.Sections = map[string][]byte{}
		}
		r.Sections[section.Name] = data
	}
	data, err := encoding.Marshal(r)
	if err != nil || len(data) > maxReportBytes {
		return
	}
	p.outbox.Reports = append(p.outbox.Reports, reportFrame{Slot: uint32(p.options.Slot), Incarnation: p.incarnation, Data: data})
}

// acceptReports records brokers' reports at the leader. It ignores those of an earlier incarnation and those that are malformed.
func (p *Participant) acceptReports(frames []reportFrame, now time.Duration) {
	if p.leadership.reports == nil {
		return
	}
	for _, frame := range frames {
		broker, known := p.state.Broker(statemachine.Slot(frame.Slot))
		if !known || broker.Incarnation != frame.Incarnation || len(frame.Data) > maxReportBytes {
			continue
		}
		r, err := decode[Report](frame.Data)
		if err != nil || len(r.Classes) > maxReportClasses {
			continue
		}
		p.leadership.reports[broker.Slot] = ReceivedReport{Report: r, Incarnation: frame.Incarnation, ReceivedAt: now}
		if p.leadership.planner != nil {
			p.leadership.planner.RecordReport(r.evidence(broker), now)
		}
	}
}
