package server

// This file owns the loop's part of fair queuing: own searches come by the door before they take a place, and wait there or
// are turned away as it rules. It must never hold one that the door has given up, or let the door see what it let in.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/admission"
)

// doorway is the loop's part of it.
type doorway struct {
	*admission.Door
	waiting map[uint64]*search // by ticket
	last    uint64
	names   []string
	fresh   []*search // let in since the last turn
	pulse   pulse
}

// newDoorway makes the door of the operators' file and the settings.
func newDoorway(o *operator.Door, t *terms.Terms) (*doorway, error) {
	p := admission.Policy{WaitShare: o.WaitShare, MostWait: o.MostWait, LeastWork: float64(o.LeastWork), Repeats: o.Repeats,
		MostHint: t.Module.MaxRetryAfter, Seed: t.Module.Seed}
	names := t.Tenants
	for i := range t.Module.Tenants {
		p.Weights = append(p.Weights, t.Module.Tenants[i].TrafficShare)
	}
	if len(names) == 0 {
		names, p.Weights = []string{"all"}, []float64{1}
	}
	if len(o.Weights) > 0 {
		if err := weigh(p.Weights, names, o.Weights); err != nil {
			return nil, &InvalidWeightsError{err}
		}
	}
	return &doorway{admission.NewDoor(p), map[uint64]*search{}, 0, names, nil, pulse{}}, nil
}

// InvalidWeightsError are weights of the operators' file that do not fit the tenants of the settings.
type InvalidWeightsError struct{ Err error }

func (e *InvalidWeightsError) Error() string {
	return fmt.Sprintf("operators' file: door.weights: %v", e.Err)
}

func (e *InvalidWeightsError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *InvalidWeightsError) Remedy() string {
	return "name each tenant of the settings once in door.weights, as NAME=WEIGHT, so that the weights add up to 1; or leave it empty"
}

// weigh reads TENANT=WEIGHT texts, which must name each tenant once and add up to 1.
func weigh(weights []float64, names, texts []string) error {
	sum, said := 0.0, map[string]bool{}
	for _, text := range texts {
		name, value, _ := strings.Cut(text, "=")
		at := -1
		for i, n := range names {
			if n == name {
				at = i
			}
		}
		w, err := strconv.ParseFloat(value, 64)
		if at < 0 || said[name] || err != nil || !(w >= 0 && w <= 1) {
			return fmt.Errorf("%.60q is not TENANT=WEIGHT of a tenant of the settings, named once, from 0 to 1", text)
		}
		said[name], weights[at] = true, w
		sum += w
	}
	if len(said) != len(names) || math.Abs(sum-1) > 0.001 {
		return fmt.Errorf("%d of %d tenants are named, and their weights add up to %v instead of 1", len(said), len(names), sum)
	}
	return nil
}

// atDoor asks the door of a search; true: it may enter now.
func (l *loop) atDoor(s *search) bool {
	d, now := l.door, l.since()
	d.last++
	s.ticket, s.work = d.last, float64(len(s.ask.parts))
	ruling, hint := d.Arrive(admission.Search{ID: s.ticket, Tenant: s.doorTenant(d), Client: s.client, Work: s.work,
		Left: s.deadline - now, Repeat: s.repeat}, now)
	switch ruling {
	case admission.Enter:
		l.letIn(s, now)
		return true
	case admission.Wait:
		s.queued = true
		d.waiting[s.ticket] = s
		l.tally.InHand++
		l.ids[s.ask.id] = true
	case admission.Turn:
		l.tally.TurnedAway++
		l.conclude(s, result{kind: shed, after: hint})
	}
	return false
}

func (s *search) doorTenant(d *doorway) int { return min(s.tenant, len(d.names)-1) }

// doorTick lets in those that waited, or tells them when to come back; it returns when to come again.
func (l *loop) doorTick(now time.Duration) time.Duration {
	l.door.Lag(l.door.pulse.Late())
	lets, next := l.door.Tick(now, l.lets[:0])
	l.lets = lets
	for _, let := range lets {
		s := l.door.waiting[let.ID]
		delete(l.door.waiting, let.ID)
		s.queued = false
		n := len(s.ask.parts)
		switch {
		case !let.Enter:
			l.tally.TurnedAway++
			l.endQueued(s, result{kind: shed, after: let.Hint})
		case l.places+1+n > l.maxOpen:
			l.letIn(s, now)
			l.tally.Full++
			l.endQueued(s, result{kind: shed, after: l.comeBack})
		default:
			l.letIn(s, now)
			l.enter(s, s.deadline-now)
		}
	}
	return next
}

// endQueued gives a search that waited at the door its verdict.
func (l *loop) endQueued(s *search, v result) {
	l.conclude(s, v)
	l.tally.InHand--
	delete(l.ids, s.ask.id)
}

// leaveDoor forgets a search that waits, as its client has gone or its time is over.
func (l *loop) leaveDoor(s *search) {
	l.door.Gone(s.doorTenant(l.door), s.ticket)
	delete(l.door.waiting, s.ticket)
	s.queued, s.over = false, true
	l.tally.InHand--
	delete(l.ids, s.ask.id)
}

// letIn notes that the door let a search in.
func (l *loop) letIn(s *search, now time.Duration) {
	s.inside, s.entered = true, now
	l.door.fresh = append(l.door.fresh, s)
}

// underway books how late the turn came for those let in since the last one. Danger: on cores that have too much to do a broker's
// own delays, before a part is written and after an answer is in, are many times the store's; taken for the store's they have the
// door refuse a quiet tenant while the store idles.
func (l *loop) underway(now time.Duration) {
	for _, s := range l.door.fresh {
		s.late = now - s.entered
	}
	clear(l.door.fresh)
	l.door.fresh = l.door.fresh[:0]
}

// outside tells the door that a search which it let in has done; once.
func (l *loop) outside(s *search, answered, refused bool) {
	if s.inside {
		s.inside = false
		now := l.since()
		own := s.late
		if s.heardFor == l.tally.Turns { // this turn ends it, by what came in before it
			own += now - s.heard
		}
		l.door.Done(admission.End{Work: s.work, Took: now - s.entered, Own: own, Answered: answered, Shed: refused}, now)
	}
}

// AdmissionState is what operators see of the door.
type AdmissionState struct {
	admission.State
	Names []string
}
