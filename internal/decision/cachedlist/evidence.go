package cachedlist

import (
	"time"

	"flaxfront/internal/decision"
)

// Likelihood ratios: how much more likely an outcome is if the endpoint's entry is wrong than if it is right.
const (
	ratioUnreachable     = 30.0 // connecting failed; an endpoint in service normally accepts connections
	ratioUnanswered      = 8.0  // an attempt unanswered for long; the endpoint hangs or pauses
	ratioConnectionReset = 4.0  // the connection broke, or the answer could not be read
	ratioErrored         = 2.0
	ratioRejected        = 3.0  // the endpoint drains or is full
	maxOdds              = 1e12 // limit of the product of ratios
)

const (
	evidenceSpacing = 100 * time.Millisecond // failures of an endpoint closer together count once, as they have one cause
	unansweredAfter = 400 * time.Millisecond // a cancelled attempt at least this old counts as unanswered

	maxTrialIntervalFactor = 20 // times the first trial interval
)

// If nearly all endpoints fail alike, the fault is assumed to be in the broker's own network.
const (
	alikeShare    = 0.9             // smallest share of failed ones among the endpoints tried within the window
	minAlikeTried = 3               // endpoints tried within the window; fewer prove nothing
	alikeWindow   = 3 * time.Second // evidence older than this is disregarded
)

// likelihoodRatio returns the weight of an outcome as evidence: above 1 against the entry, 1 no evidence, 0 proof that it is right.
func likelihoodRatio(outcome decision.Outcome, took time.Duration) float64 {
	switch outcome {
	case decision.OK, decision.Stale:
		return 0
	case decision.ConnectFailed:
		return ratioUnreachable
	case decision.TimedOut:
		return ratioUnanswered
	case decision.Cancelled:
		if took >= unansweredAfter {
			return ratioUnanswered
		}
		return 1
	case decision.ConnectionReset:
		return ratioConnectionReset
	case decision.Errored:
		return ratioErrored
	case decision.Rejected:
		return ratioRejected
	default:
		return 1
	}
}

// RecordOutcome records how an attempt ended. An endpoint that answers is reinstated at once. While discovery can be polled, outcomes are
// ignored here and concern only the router.
func (v *Evaluator) RecordOutcome(id decision.NodeID, outcome decision.Outcome, took, now time.Duration) {
	ratio := likelihoodRatio(outcome, took)
	if v.discoveryUp || ratio == 1 {
		return
	}
	ep := v.endpoints[id]
	if ep == nil || ep.status == Excluded {
		return
	}
	if !ep.tested {
		ep.tested = true
		v.exposure += float64(ep.initialAge)
	}
	v.recentlyTried[ep] = true
	v.newEvidence = true
	if ratio == 0 {
		v.recordAnswer(ep, now)
	} else {
		v.recordFailure(ep, ratio, now)
	}
}

func (v *Evaluator) recordFailure(ep *endpoint, ratio float64, now time.Duration) {
	if now-ep.lastEvidenceAt < evidenceSpacing && ep.lastFailed {
		return
	}
	ep.lastFailed = true
	ep.lastEvidenceAt = now
	if !v.localNetworkFault { // otherwise the failure is evidence of a network fault only
		ep.odds = min(ep.odds*ratio, maxOdds)
	}
	v.suspects[ep] = true
	if ep.inTrial {
		v.endTrial(ep, now)
	}
}

func (v *Evaluator) recordAnswer(ep *endpoint, now time.Duration) {
	ep.odds = 1
	ep.lastFailed = false
	ep.lastEvidenceAt = now
	v.table.RecordAnswer(ep.name, v.timestamp(now))
	delete(v.suspects, ep)
	if ep.countedWrong {
		ep.countedWrong = false
		v.wrongEntries--
	}
	if ep.status == Ejected {
		v.reinstate(ep)
	}
	ep.status = Confirmed
}

// failAlike reports whether nearly all recently tried endpoints failed. The broker's own network may be down, and without this check all
// entries would be ejected for it. Answers within the window end the condition. If nearly the whole list is wrong, the condition persists;
// attempts are then still sent to its endpoints now and then, as only the router ejects them.
func (v *Evaluator) failAlike(now time.Duration) bool {
	failed := 0
	for ep := range v.recentlyTried {
		if now-ep.lastEvidenceAt > alikeWindow {
			delete(v.recentlyTried, ep)
		} else if ep.lastFailed {
			failed++
		}
	}
	return len(v.recentlyTried) >= minAlikeTried && float64(failed) >= alikeShare*float64(len(v.recentlyTried))
}
