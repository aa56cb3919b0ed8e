package server

import (
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/server/query"
)

// controlPlaneHost is what controlPlaneView may use of the loop.
type controlPlaneHost interface {
	endpointHost
	updateEndpoints(changed []decision.Endpoint)
	warmUpTime() time.Duration
}

// controlPlaneView is the extension for the tier's agreed state. It carries out node drains and counts results for load reports.
type controlPlaneView struct {
	loop              controlPlaneHost
	view              *controlplane.View
	drains            map[decision.NodeID]*agreedDrain
	proposeAck        func(node decision.NodeID, number uint64) // must not block
	classes           []controlplane.Class
	warmingUpAttempts uint64                            // sent to nodes that were still warming up
	endpoints         *atomic.Pointer[endpointSnapshot] // read by the control plane's goroutine
}

// newControlPlaneView makes the extension; types are the names of the query types.
func newControlPlaneView(types []string) *controlPlaneView {
	v := &controlPlaneView{view: &controlplane.View{}, drains: map[decision.NodeID]*agreedDrain{}}
	for _, name := range types {
		v.classes = append(v.classes, controlplane.Class{Name: name})
	}
	return v
}

// useControlPlane attaches the control plane's view to the loop.
func (l *loop) useControlPlane(v *controlPlaneView) {
	v.loop = l
	l.controlPlane = v
	l.extensions[controlPlaneExtension] = v
}

func (v *controlPlaneView) handle(m message) bool {
	switch m := m.(type) {
	case viewReceived:
		v.view = m.view
		v.updateDrains(m.view.Drains)
	case drainAckFailed:
		v.retryAck(m)
	default:
		return false
	}
	return true
}

// publishEndpoints hands a snapshot of the loop's endpoints to the control plane's goroutine.
func (v *controlPlaneView) publishEndpoints(s *endpointSnapshot) {
	if previous := v.endpoints.Load(); previous != nil {
		s.KeepStableSince(&previous.NodeList)
	}
	v.endpoints.Store(s)
}

// countAttempts counts attempts sent to a node that is still warming up, for the gates of a release: a version that sends such nodes more
// than other versions do overloads them, and counts of queries show that too late.
func (v *controlPlaneView) countAttempts(node decision.NodeID, n int) {
	if v == nil {
		return
	}
	now := v.loop.since()
	if endpoint, known := v.loop.endpoints()[node]; known && now-v.loop.warmUpTime() < endpoint.Endpoint.StartedAt {
		v.warmingUpAttempts += uint64(n)
	}
}

// countResult counts a query's result under its query type.
func (v *controlPlaneView) countResult(q *activeQuery, outcome query.Outcome) {
	if v == nil || q.Type < 0 || q.Type >= len(v.classes) {
		return
	}
	c := &v.classes[q.Type]
	switch {
	case outcome == query.Answered:
		c.Served++
	case outcome == query.Shed:
		c.Refused++
	case v.loop.since() >= q.deadline:
		c.Late++
	default:
		c.Failed++
	}
}

// ControlPlaneState is the tier's agreed state as this broker knows it, for operators.
type ControlPlaneState struct {
	Index             uint64
	Connected         bool
	Leader            string
	Incarnation       uint64
	Standing          string
	Permit            statemachine.ReleasePermit
	Drains            []controlplane.Drain
	EnforcedDrains    int    `json:"Shut"` // drains of nodes to which this broker sends nothing any more
	PolicyVersion     uint64 `json:"Policy"`
	Epoch             uint64
	Halted            string `json:",omitempty"`
	Classes           []controlplane.Class
	WarmingUpAttempts uint64 `json:"Cold"` // attempts sent to nodes that were still warming up
}

func (v *controlPlaneView) report(c *QueryCounters) {
	s := &ControlPlaneState{
		Index:             v.view.Index,
		Connected:         v.view.LeaseValid(v.loop.since()),
		Leader:            v.view.Leader,
		Incarnation:       v.view.Self.Incarnation,
		Standing:          v.view.Self.Status.String(),
		Permit:            v.view.Permit,
		Drains:            v.view.Drains,
		Epoch:             v.view.Epoch,
		Classes:           append([]controlplane.Class(nil), v.classes...),
		WarmingUpAttempts: v.warmingUpAttempts,
	}
	for _, d := range v.drains {
		if d.enforced {
			s.EnforcedDrains++
		}
	}
	if p := v.view.Policy; p != nil {
		s.PolicyVersion = p.Version
	}
	if v.view.Halted != nil {
		s.Halted = v.view.Halted.Error()
	}
	c.ControlPlane = s
}
