package cachedlist

import (
	"time"

	"flaxfront/internal/decision"
)

// How much likelier an endpoint with a wrong entry shows this than one with a right entry.
const (
	ratioUnreachable     = 30.0 // no connection: an endpoint in service accepts one, as a rule
	ratioUnanswered      = 8.0  // an attempt unanswered for long: it hangs, or pauses
	ratioConnectionReset = 4.0  // a connection that broke, an answer that could not be read
	ratioErrored         = 2.0
	ratioRejected        = 3.0 // it drains, or is full
	maxOdds              = 1e12
)

const (
	evidenceSpacing = 100 * time.Millisecond // failures closer together count once: they have one cause
	unansweredAfter = 400 * time.Millisecond // a cancelled attempt this old counts as unanswered

	maxTrialIntervalFactor = 20 // times the first trial interval
)

// Nearly all endpoints fail alike when the fault is in the broker's own network.
const (
	alikeShare    = 0.9
	minAlikeTried = 3 // endpoints
	alikeWindow   = 3 * time.Second
)

// likelihoodRatio is what an outcome says: over 1 against the entry, 0 for it, 1 nothing.
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

// RecordOutcome notes how an attempt ended. An endpoint that answers is reinstated at once. While discovery can be polled, outcomes are the
// router's matter alone.
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
	if !v.localNetworkFault { // else it tells of the network
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

// failAlike reports whether nearly all endpoints that were tried lately failed: the broker's own network may be down, and all entries
// would be ejected for it. It ends with answers in the same window. Where a list is wrong almost throughout it stays, and entries
// go on costing an attempt now and then, as the router ejects them.
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
