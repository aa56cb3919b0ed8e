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
	"flaxfront/internal/server/query"
)

// admissionControl is the loop's part of it.
type admissionControl struct {
	*admission.Door
	waiting         map[uint64]*search // by ticket
	lastTicket      uint64
	tenants         []string
	admitted        []*search // let in since the last turn
	schedulingDelay delayMeter
}

// newAdmissionControl makes the door of the operators' file and the settings.
func newAdmissionControl(o *operator.Door, t *terms.Terms) (*admissionControl, error) {
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
		if err := parseWeights(p.Weights, names, o.Weights); err != nil {
			return nil, &InvalidWeightsError{err}
		}
	}
	return &admissionControl{admission.NewDoor(p), map[uint64]*search{}, 0, names, nil, delayMeter{}}, nil
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

// parseWeights reads TENANT=WEIGHT texts, which must name each tenant once and add up to 1.
func parseWeights(weights []float64, names, texts []string) error {
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

// requestAdmission asks the door of a search; true: it may enter now.
func (l *loop) requestAdmission(s *search) bool {
	d, now := l.admission, l.since()
	d.lastTicket++
	s.ticket, s.work = d.lastTicket, float64(len(s.Request.Shards))
	ruling, hint := d.Arrive(admission.Search{ID: s.ticket, Tenant: s.admissionTenant(d), Client: s.Client, Work: s.work,
		Left: s.deadline - now, Repeat: s.Retry}, now)
	switch ruling {
	case admission.Enter:
		l.markAdmitted(s, now)
		return true
	case admission.Wait:
		s.queued = true
		d.waiting[s.ticket] = s
		l.counters.InFlight++
		l.requestIDs[s.Request.ID] = true
	case admission.Turn:
		l.counters.RejectedByAdmission++
		l.deliverResult(s, query.Result{Outcome: query.Shed, RetryAfter: hint})
	}
	return false
}

func (s *search) admissionTenant(d *admissionControl) int { return min(s.Tenant, len(d.tenants)-1) }

// admissionTick lets in those that waited, or tells them when to come back; it returns when to come again.
func (l *loop) admissionTick(now time.Duration) time.Duration {
	l.admission.Lag(l.admission.schedulingDelay.Average())
	lets, next := l.admission.Tick(now, l.lets[:0])
	l.lets = lets
	for _, let := range lets {
		s := l.admission.waiting[let.ID]
		delete(l.admission.waiting, let.ID)
		s.queued = false
		n := len(s.Request.Shards)
		switch {
		case !let.Enter:
			l.counters.RejectedByAdmission++
			l.finishQueued(s, query.Result{Outcome: query.Shed, RetryAfter: let.Hint})
		case l.slotsUsed+1+n > l.maxInFlight:
			l.markAdmitted(s, now)
			l.counters.NoCapacity++
			l.finishQueued(s, query.Result{Outcome: query.Shed, RetryAfter: l.maxRetryAfter})
		default:
			l.markAdmitted(s, now)
			l.submit(s, s.deadline-now)
		}
	}
	return next
}

// finishQueued gives a search that waited at the door its verdict.
func (l *loop) finishQueued(s *search, v query.Result) {
	l.deliverResult(s, v)
	l.counters.InFlight--
	delete(l.requestIDs, s.Request.ID)
}

// abandonQueued forgets a search that waits, as its client has gone or its time is over.
func (l *loop) abandonQueued(s *search) {
	l.admission.Gone(s.admissionTenant(l.admission), s.ticket)
	delete(l.admission.waiting, s.ticket)
	s.queued, s.done = false, true
	l.counters.InFlight--
	delete(l.requestIDs, s.Request.ID)
}

// markAdmitted notes that the door let a search in.
func (l *loop) markAdmitted(s *search, now time.Duration) {
	s.admitted, s.admittedAt = true, now
	l.admission.admitted = append(l.admission.admitted, s)
}

// recordStepDelay books how late the turn came for those let in since the last one. Danger: on cores that have too much to do a broker's
// own delays, before a part is written and after an answer is in, are many times the store's; taken for the store's they have the
// door refuse a quiet tenant while the store idles.
func (l *loop) recordStepDelay(now time.Duration) {
	for _, s := range l.admission.admitted {
		s.stepDelay = now - s.admittedAt
	}
	clear(l.admission.admitted)
	l.admission.admitted = l.admission.admitted[:0]
}

// reportDone tells the door that a search which it let in has done; once.
func (l *loop) reportDone(s *search, answered, refused bool) {
	if s.admitted {
		s.admitted = false
		now := l.since()
		own := s.stepDelay
		if s.lastAnswerStep == l.counters.Steps { // this turn ends it, by what came in before it
			own += now - s.lastAnswerAt
		}
		l.admission.Done(admission.End{Work: s.work, Took: now - s.admittedAt, Own: own, Answered: answered, Shed: refused}, now)
	}
}

// AdmissionState is what operators see of the door.
type AdmissionState struct {
	admission.State
	TenantNames []string `json:"Names"` // of the tenants
}
