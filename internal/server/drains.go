package server

// This file owns the loop's part of what the tier agreed: drains of nodes that lie over discovery's list, their acknowledgement, and
// the counts by class that reports carry. It must never revive what discovery has ended, or act on a view for longer than it holds.

import (
	"log/slog"
	"sync/atomic"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/server/query"
)

// controlPlaneView is the loop's part of the fleet.
type controlPlaneView struct {
	view              *controlplane.View
	drains            map[decision.NodeID]*agreedDrain
	proposeAck        func(node decision.NodeID, number uint64) // proposes it; must not wait
	classes           []controlplane.Class
	warmingUpAttempts uint64                            // parts sent to nodes that were still warming up
	endpoints         *atomic.Pointer[endpointSnapshot] // the node list, for the fleet
}

// agreedDrain is an agreed drain as this broker carries it out.
type agreedDrain struct {
	number      uint64
	routerStep  uint64 // the module has been told before this turn
	enforced    bool   // nothing is sent any more
	ackProposed bool   // the acknowledgement is on its way
	acked       bool
}

// viewReceived is a view as it is delivered; unacked that an acknowledgement has to be proposed again.
type (
	viewReceived   struct{ view *controlplane.View }
	drainAckFailed struct {
		node   decision.NodeID
		number uint64
	}
)

func newControlPlaneView(types []string) *controlPlaneView {
	a := &controlPlaneView{view: &controlplane.View{}, drains: map[decision.NodeID]*agreedDrain{}}
	for _, name := range types {
		a.classes = append(a.classes, controlplane.Class{Name: name})
	}
	return a
}

// handleView takes a view over: new drains are told to the module as discovery's would be, and those that ended give way to what
// discovery says.
func (l *loop) handleView(v *controlplane.View) {
	a := l.controlPlane
	a.view = v
	if l.connLeases != nil {
		l.connLeases.handleView(v)
	}
	now := map[decision.NodeID]bool{}
	var changed []decision.Endpoint
	for _, d := range v.Drains {
		now[d.Node] = true
		have := a.drains[d.Node]
		if have == nil || have.number != d.Number {
			have = &agreedDrain{number: d.Number, routerStep: l.counters.Turns + 1}
			a.drains[d.Node] = have
			slog.Info("node drained by agreement", "node", d.Node, "number", d.Number)
			if n, known := l.nodes[d.Node]; known {
				changed = append(changed, l.withAgreedDrain(n.Endpoint))
			}
		}
		have.acked = d.Acked
	}
	for id := range a.drains {
		if !now[id] {
			delete(a.drains, id)
			slog.Info("agreed drain of a node ended", "node", id)
			if n, known := l.nodes[id]; known {
				changed = append(changed, n.Endpoint)
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	l.events = append(l.events, decision.Event{Kind: decision.ListUpdateReceived, Endpoints: changed})
	if l.readPins != nil { // else pins would count on a drained node, and pass it by once its drain has ended
		l.readPins.positions.UpdateEndpoints(l.since(), false, changed)
	}
}

// withAgreedDrain is a line of discovery with the agreed drain over it. What discovery drains or ends stays so.
func (l *loop) withAgreedDrain(e decision.Endpoint) decision.Endpoint {
	if l.controlPlane != nil && e.State == decision.Ready && l.controlPlane.drains[e.Node] != nil {
		e.State = decision.Draining
	}
	return e
}

// acknowledgeDrains shuts a drained node once nothing is out to it, and says so. From then on it gets nothing, whatever the module
// decides. Danger: an acknowledgement counts for ever, and a node stopped on its strength would take a search with it.
func (l *loop) acknowledgeDrains(now time.Duration) (next time.Duration) {
	next = now + time.Second
	for id, d := range l.controlPlane.drains {
		if d.acked && d.enforced || d.ackProposed {
			continue
		}
		if l.counters.Turns < d.routerStep || l.pool.OutTo(id) > 0 {
			next = min(next, now+20*time.Millisecond)
			continue
		}
		if !d.enforced {
			d.enforced = true
			l.pool.Retire(id)
		}
		if l.controlPlane.proposeAck != nil && l.controlPlane.view.Self.Incarnation > 0 && !d.acked {
			d.ackProposed = true
			l.controlPlane.proposeAck(id, d.number)
		}
	}
	return next
}

// refuseDrained ends parts for a node that was acknowledged as drained; false: they may go.
func (l *loop) refuseDrained(c *batch) bool {
	if d := l.controlPlane.drains[c.node]; d == nil || !d.enforced {
		return false
	}
	l.pool.Refuse(c.attempts)
	return true
}

// countWarmingUp counts what is sent to a node that has just started, for the gates of a release: a version that loads cold nodes more than
// the others do pushes them over, which no count of searches shows in time.
func (l *loop) countWarmingUp(c *batch, now time.Duration) {
	if n, known := l.nodes[c.node]; known && now-l.settings.Module.WarmUpTime < n.Endpoint.StartedAt {
		l.controlPlane.warmingUpAttempts += uint64(len(c.attempts))
	}
}

// countResult adds a verdict to its class.
func (a *controlPlaneView) countResult(s *activeQuery, v query.Result, now time.Duration) {
	if s.Type < 0 || s.Type >= len(a.classes) {
		return
	}
	c := &a.classes[s.Type]
	switch {
	case v.Outcome == query.Answered:
		c.Served++
	case v.Outcome == query.Shed:
		c.Refused++
	case now >= s.deadline:
		c.Late++
	default:
		c.Failed++
	}
}

// ControlPlaneState is what operators see of what the tier agreed, as this broker has it.
type ControlPlaneState struct {
	Index       uint64
	Connected   bool
	Leader      string
	Incarnation uint64
	Standing    string
	Permit      statemachine.ReleasePermit
	Drains      []controlplane.Drain
	Shut        int // drained nodes that get nothing
	Policy      uint64
	Epoch       uint64
	Halted      string `json:",omitempty"`
	Classes     []controlplane.Class
	Cold        uint64 // parts sent to nodes that were still warming up
}

func (l *loop) controlPlaneState() *ControlPlaneState {
	a := l.controlPlane
	s := &ControlPlaneState{Index: a.view.Index, Connected: a.view.LeaseHeld(l.since()), Leader: a.view.Leader, Incarnation: a.view.Self.Incarnation,
		Standing: a.view.Self.Status.String(), Permit: a.view.Permit, Drains: a.view.Drains, Epoch: a.view.Epoch,
		Classes: append([]controlplane.Class(nil), a.classes...), Cold: a.warmingUpAttempts}
	for _, d := range a.drains {
		if d.enforced {
			s.Shut++
		}
	}
	if p := a.view.Policy; p != nil {
		s.Policy = p.Version
	}
	if a.view.Halted != nil {
		s.Halted = a.view.Halted.Error()
	}
	return s
}
