package cachedlist

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

const (
	priorWeight = 2.0 // how many tested entries the configured half-life counts as
	minPrior    = 1e-6
	maxPrior    = 0.98 // however old an entry is, evidence from its endpoint must be able to outweigh its age
)

// maxClockSkew is how far a confirmation may be ahead of the clock; one further ahead shows that the clock was set back.
const maxClockSkew = time.Minute

// hazard returns the estimated rate at which entries become wrong, per nanosecond. Lifetimes are assumed to be exponential. The prior is
// the configured half-life, which counts as priorWeight entries; entries tested since the start, right or wrong, update it (the conjugate
// gamma prior of a censored exponential). Thus, if a list proves worse than its age suggests, its other entries become less credible.
func (v *Evaluator) hazard() float64 {
	return (priorWeight + v.wrongEntries) / (priorWeight*float64(v.policy.HalfLife)/math.Ln2 + v.exposure)
}

// prior returns the probability that an entry of the given age is wrong, before any evidence from its endpoint.
func (v *Evaluator) prior(age time.Duration, hazard float64) float64 {
	return min(maxPrior, max(minPrior, 1-math.Exp(-hazard*float64(age))))
}

// errorProbability returns the probability that an endpoint's entry is wrong, by Bayes' rule.
func (v *Evaluator) errorProbability(ep *endpoint, now time.Duration, hazard float64) float64 {
	e, known := v.table.Get(ep.name)
	if !known {
		return maxPrior
	}
	prior := v.prior(v.age(&e, now), hazard)
	odds := prior / (1 - prior) * ep.odds
	return odds / (1 + odds)
}

// age returns how long ago an entry was last confirmed. If that is unknown, or more than maxClockSkew in the future as the clock was set
// back, the entry counts as MaxAge old, the oldest that is used.
func (v *Evaluator) age(e *Entry, now time.Duration) time.Duration {
	at := v.timestamp(now)
	confirmed := e.ConfirmedAt
	if e.State == Ready && e.ConfirmedBy == SourceDiscovery {
		confirmed = max(confirmed, v.table.Head.ConfirmedAt)
	}
	if confirmed == 0 || confirmed.Since(at) > maxClockSkew {
		return v.policy.MaxAge
	}
	return max(0, at.Since(confirmed))
}

// EntryAge returns how long before the broker's start an entry was last confirmed; known is false if that is not known.
func (v *Evaluator) EntryAge(e *Entry) (age time.Duration, known bool) {
	age = v.age(e, 0)
	return age, age < v.policy.MaxAge || e.ConfirmedAt > 0 && e.ConfirmedAt <= v.startedAt
}

// PriorErrorProbability returns the probability that an entry is wrong, judged by its age at the broker's start alone.
func (v *Evaluator) PriorErrorProbability(e *Entry) float64 { return v.prior(v.age(e, 0), v.hazard()) }

// ErrorProbability returns the probability that an endpoint's entry is wrong, and its status. It returns 0 and Confirmed for an unknown
// endpoint.
func (v *Evaluator) ErrorProbability(id decision.NodeID, now time.Duration) (float64, Status) {
	ep := v.endpoints[id]
	if ep == nil {
		return 0, Confirmed
	}
	return v.errorProbability(ep, now, v.hazard()), ep.status
}
