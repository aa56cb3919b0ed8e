package cachedlist

import (
	"math"
	"time"

	"flaxfront/internal/decision"
)

const (
	priorWeight = 2.0 // how many tested entries the stated half-life is worth
	minPrior    = 1e-6
	maxPrior    = 0.98 // however old an entry, its endpoint's answers must be able to outweigh its age
)

// maxClockSkew is how far ahead of the clock a confirmation may be; one further ahead shows that the clock went back.
const maxClockSkew = time.Minute

// hazard is how many entries turn wrong in a nanosecond. Lifetimes are taken for exponential; the stated half-life is the prior, worth
// priorWeight entries, and the entries tested since the start, right or wrong, move it (the conjugate gamma of a censored exponential).
// So a list that proves worse than its age makes all its other entries less credible.
func (v *Evaluator) hazard() float64 {
	return (priorWeight + v.wrongEntries) / (priorWeight*float64(v.policy.HalfLife)/math.Ln2 + v.exposure)
}

// prior is the probability that an entry of an age is wrong before its endpoint has shown anything.
func (v *Evaluator) prior(age time.Duration, hazard float64) float64 {
	return min(maxPrior, max(minPrior, 1-math.Exp(-hazard*float64(age))))
}

// errorProbability is the probability that an endpoint's entry is wrong, by Bayes' rule.
func (v *Evaluator) errorProbability(ep *endpoint, now time.Duration, hazard float64) float64 {
	e, known := v.table.Get(ep.name)
	if !known {
		return maxPrior
	}
	prior := v.prior(v.age(&e, now), hazard)
	odds := prior / (1 - prior) * ep.odds
	return odds / (1 + odds)
}

// age is how long ago an entry was last confirmed. One from the future says nothing, as the clock went back: the entry counts as being as
// old as any that is used.
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

// EntryAge returns how long ago an entry was last confirmed, as of the start; false: nobody knows.
func (v *Evaluator) EntryAge(e *Entry) (age time.Duration, known bool) {
	age = v.age(e, 0)
	return age, age < v.policy.MaxAge || e.ConfirmedAt > 0 && e.ConfirmedAt <= v.startedAt
}

// PriorErrorProbability returns the probability that an entry is wrong by its age at the start alone.
func (v *Evaluator) PriorErrorProbability(e *Entry) float64 { return v.prior(v.age(e, 0), v.hazard()) }

// ErrorProbability returns the probability that an endpoint's entry is wrong, and its status; 0 and Confirmed of one that is not known.
func (v *Evaluator) ErrorProbability(id decision.NodeID, now time.Duration) (float64, Status) {
	ep := v.endpoints[id]
	if ep == nil {
		return 0, Confirmed
	}
	return v.errorProbability(ep, now, v.hazard()), ep.status
}
