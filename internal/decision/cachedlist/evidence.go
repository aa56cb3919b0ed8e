package cachedlist

import (
	"flaxfront/internal/decision"
	"math"
	"time"
)

// This file owns the evidence on an entry: what is thought of it before any, and what each answer says.

// hazard is how many entries turn wrong in a unit of time. Lifetimes are taken for exponential; the stated half-life is
// the prior, worth priorWeight entries, and the entries tested since the start, right or wrong, move it (the conjugate
// gamma of a censored exponential). So a list that proves worse than its age makes all its other entries doubtful.
func (j *Evaluator) hazard() float64 {
	return (priorWeight + j.proved) / (priorWeight*float64(j.policy.HalfLife)/math.Ln2 + j.exposure)
}

// prior is how likely an entry of an age is wrong before its node has shown anything.
func (j *Evaluator) prior(age time.Duration, hazard float64) float64 {
	return min(mostPrior, max(leastPrior, 1-math.Exp(-hazard*float64(age))))
}

// doubt is how likely an entry is wrong.
func (j *Evaluator) doubt(n *node, now time.Duration, hazard float64) float64 {
	e, known := j.book.Get(n.name)
	if !known {
		return mostPrior
	}
	prior := j.prior(j.age(&e, now), hazard)
	odds := prior / (1 - prior) * n.odds
	return odds / (1 + odds)
}

// ErrorProbability is how likely a node's entry is wrong, for those who look from outside.
func (j *Evaluator) ErrorProbability(id decision.NodeID, now time.Duration) (float64, Status) {
	n := j.nodes[id]
	if n == nil {
		return 0, Confirmed
	}
	return j.doubt(n, now, j.hazard()), n.standing
}

// weight is what an outcome tells: over 1 against the entry, 0 for it, 1 nothing.
func weight(how decision.Outcome, took time.Duration) float64 {
	switch how {
	case decision.OK, decision.Stale:
		return 0
	case decision.ConnectFailed:
		return oddsUnreachable
	case decision.TimedOut:
		return oddsSilent
	case decision.Cancelled:
		if took >= silentFrom {
			return oddsSilent
		}
		return 1
	case decision.ConnectionReset:
		return oddsBroken
	case decision.Errored:
		return oddsErrored
	case decision.Rejected:
		return oddsRefused
	default:
		return 1
	}
}

// RecordOutcome takes what a node has shown: the end of a part that was sent to it. A node that answers earns its place at once.
// While discovery is heard, what nodes show is the decision module's own matter.
func (j *Evaluator) RecordOutcome(id decision.NodeID, how decision.Outcome, took, now time.Duration) {
	w := weight(how, took)
	if j.told || w == 1 {
		return
	}
	n := j.nodes[id]
	if n == nil || n.standing == Excluded {
		return
	}
	if !n.tested {
		n.tested = true
		j.exposure += float64(n.age)
	}
	j.tried[n], j.fresh = true, true
	if w == 0 {
		j.answered(n, now)
		return
	}
	if now-n.shown < apart && n.failed {
		return
	}
	if n.failed, n.shown = true, now; !j.alike { // else it tells of the network
		n.odds = min(n.odds*w, mostOdds)
	}
	j.suspects[n] = true
	if n.trial {
		n.trial, n.parole = false, min(2*n.parole, paroleMost*j.policy.TrialInterval)
		n.until = now + n.parole
		j.due = min(j.due, n.until)
		j.fact(n)
	}
}

// answered takes it that a node has answered.
func (j *Evaluator) answered(n *node, now time.Duration) {
	n.odds, n.failed, n.shown = 1, false, now
	j.book.RecordAnswer(n.name, j.moment(now))
	delete(j.suspects, n)
	if n.wrong {
		n.wrong = false
		j.proved--
	}
	if n.standing == Ejected {
		j.counts.Recovered++
		j.cells[n.cell]++
		n.trial, n.eased = false, true // it may have just come back
		j.line(n.name + " answered and is in use again")
		n.standing = Confirmed
		j.fact(n)
	}
	n.standing = Confirmed
}

// alikeNow tells whether nearly all nodes that were tried lately failed. Danger: the broker's own network is down and
// every entry would be struck out for it. A node that answers in the same time ends it. It may hurt where a list is
// wrong almost throughout: then its entries go on costing a part now and then, as the decision module shuts them.
func (j *Evaluator) alikeNow(now time.Duration) bool {
	failed := 0
	for n := range j.tried {
		if now-n.shown > alikeWithin {
			delete(j.tried, n)
		} else if n.failed {
			failed++
		}
	}
	return len(j.tried) >= alikeLeast && float64(failed) >= alikeShare*float64(len(j.tried))
}
