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
)

// agreed is the loop's part of the fleet.
type agreed struct {
	view    *controlplane.View
	drains  map[decision.NodeID]*drain
	ack     func(node decision.NodeID, number uint64) // proposes it; must not wait
	classes []controlplane.Class
	cold    uint64                   // parts sent to nodes that were still warming up
	list    *atomic.Pointer[listing] // the node list, for the fleet
}

// drain is an agreed drain as this broker carries it out.
type drain struct {
	number uint64
	turn   uint64 // the module has been told before this turn
	shut   bool   // nothing is sent any more
	asked  bool   // the acknowledgement is on its way
	acked  bool
}

// viewed is a view as it is delivered; unacked that an acknowledgement has to be proposed again.
type (
	viewed  struct{ view *controlplane.View }
	unacked struct {
		node   decision.NodeID
		number uint64
	}
)

func newAgreed(types []string) *agreed {
	a := &agreed{view: &controlplane.View{}, drains: map[decision.NodeID]*drain{}}
	for _, name := range types {
		a.classes = append(a.classes, controlplane.Class{Name: name})
	}
	return a
}

// see takes a view over: new drains are told to the module as discovery's would be, and those that ended give way to what
// discovery says.
func (l *loop) see(v *controlplane.View) {
	a := l.agreed
	a.view = v
	if l.budgets != nil {
		l.budgets.see(v)
	}
	now := map[decision.NodeID]bool{}
	var changed []decision.Endpoint
	for _, d := range v.Drains {
		now[d.Node] = true
		have := a.drains[d.Node]
		if have == nil || have.number != d.Number {
			have = &drain{number: d.Number, turn: l.tally.Turns + 1}
			a.drains[d.Node] = have
			slog.Info("node drained by agreement", "node", d.Node, "number", d.Number)
			if n, known := l.nodes[d.Node]; known {
				changed = append(changed, l.overlaid(n.Entry))
			}
		}
		have.acked = d.Acked
	}
	for id := range a.drains {
		if !now[id] {
			delete(a.drains, id)
			slog.Info("agreed drain of a node ended", "node", id)
			if n, known := l.nodes[id]; known {
				changed = append(changed, n.Entry)
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	l.events = append(l.events, decision.Event{Kind: decision.ListUpdateReceived, Endpoints: changed})
	if l.pins != nil { // else pins would count on a drained node, and pass it by once its drain has ended
		l.pins.book.UpdateEndpoints(l.since(), false, changed)
	}
}

// overlaid is a line of discovery with the agreed drain over it. What discovery drains or ends stays so.
func (l *loop) overlaid(e decision.Endpoint) decision.Endpoint {
	if l.agreed != nil && e.State == decision.Ready && l.agreed.drains[e.Node] != nil {
		e.State = decision.Draining
	}
	return e
}

// acknowledge shuts a drained node once nothing is out to it, and says so. From then on it gets nothing, whatever the module
// decides. Danger: an acknowledgement counts for ever, and a node stopped on its strength would take a search with it.
func (l *loop) acknowledge(now time.Duration) (next time.Duration) {
	next = now + time.Second
	for id, d := range l.agreed.drains {
		if d.acked && d.shut || d.asked {
			continue
		}
		if l.tally.Turns < d.turn || l.pool.OutTo(id) > 0 {
			next = min(next, now+20*time.Millisecond)
			continue
		}
		if !d.shut {
			d.shut = true
			l.pool.Retire(id)
		}
		if l.agreed.ack != nil && l.agreed.view.Me.Incarnation > 0 && !d.acked {
			d.asked = true
			l.agreed.ack(id, d.number)
		}
	}
	return next
}

// refused ends parts for a node that was acknowledged as drained; false: they may go.
func (l *loop) refused(c *call) bool {
	if d := l.agreed.drains[c.to]; d == nil || !d.shut {
		return false
	}
	l.pool.Refuse(c.parts)
	return true
}

// pressed counts what is sent to a node that has just started, for the gates of a release: a version that loads cold nodes more than
// the others do pushes them over, which no count of searches shows in time.
func (l *loop) pressed(c *call, now time.Duration) {
	if n, known := l.nodes[c.to]; known && now-l.under.Module.WarmUpTime < n.Entry.StartedAt {
		l.agreed.cold += uint64(len(c.parts))
	}
}

// counted adds a verdict to its class.
func (a *agreed) counted(s *search, v result, now time.Duration) {
	if s.typ < 0 || s.typ >= len(a.classes) {
		return
	}
	c := &a.classes[s.typ]
	switch {
	case v.kind == answered:
		c.Served++
	case v.kind == shed:
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

func (l *loop) fleetState() *ControlPlaneState {
	a := l.agreed
	s := &ControlPlaneState{Index: a.view.Index, Connected: a.view.Held(l.since()), Leader: a.view.Leader, Incarnation: a.view.Me.Incarnation,
		Standing: a.view.Me.Status.String(), Permit: a.view.Permit, Drains: a.view.Drains, Epoch: a.view.Epoch,
		Classes: append([]controlplane.Class(nil), a.classes...), Cold: a.cold}
	for _, d := range a.drains {
		if d.shut {
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
