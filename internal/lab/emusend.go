package lab

// This file owns what a simulated node makes of a sub-request.

import (
	"flaxfront/internal/decision"
)

// send carries one part to a box and back. Each attempt ends once.
func (b *Broker) send(a decision.Action) {
	w, s, box := b.w, b.parts[a.ID], b.w.boxes[a.Node]
	if s == nil || s.over {
		w.broke("rule 1: part %d sent after its search's answer", a.ID)
		return
	}
	begun, attempt, ended := w.now, s.tries[a.ID], false
	s.tries[a.ID]++
	key := [2]uint64{a.ID, uint64(attempt)}
	end := func(how decision.Outcome) {
		if ended {
			return
		}
		ended = true
		delete(s.out, key)
		if how == decision.OK && !s.over && s.shares[a.ID] > 0 {
			s.got += s.shares[a.ID]
			s.shares[a.ID] = 0
		}
		if b.judge != nil {
			b.judge.RecordOutcome(a.Node, how, w.now-begun, w.now)
		}
		b.tell(decision.Event{Kind: decision.AttemptEnded, ID: a.ID, Attempt: attempt, Outcome: how, Elapsed: w.now - begun, Node: a.Node})
	}
	s.out[key] = func() { end(decision.Cancelled) }
	w.Tally.Parts++
	if box.Mode != Serving {
		w.Tally.Wrong++
	}
	switch box.Mode {
	case Dead:
		w.at(w.now+2*hop, func() { end(decision.ConnectFailed) })
	case Vanished:
		w.at(w.now+connectOut, func() { end(decision.ConnectFailed) })
	default:
		w.at(w.now+hop, func() {
			done, taken := box.Offer(w.now)
			switch {
			case box.Fallen:
				w.broke("rule 4: %s fell over", box.Name)
				box.Mode, box.Fallen = Hanging, false
			case box.Mode == Hanging:
			case !taken:
				w.at(w.now+hop, func() { end(decision.Rejected) })
			default:
				w.at(done+hop, func() { end(decision.OK) })
			}
		})
	}
	w.at(s.due, func() { end(decision.TimedOut) })
}
