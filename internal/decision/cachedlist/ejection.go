package cachedlist

import (
	"cmp"
	"slices"
	"time"
)

// Tick evaluates the evidence recorded since the last call. It returns the updates for the router, and when to call it again.
func (v *Evaluator) Tick(now time.Duration) (updates []EndpointUpdate, next time.Duration) {
	idle := !v.newEvidence && !v.localNetworkFault && now < v.nextTick
	if v.discoveryUp || idle {
		return v.collectUpdates(), v.nextTick
	}
	v.newEvidence = false
	v.checkLocalNetwork(now)
	v.nextTick = never
	if v.localNetworkFault {
		v.nextTick = now + alikeWindow
	}
	hazard := v.hazard()
	for _, ep := range v.suspectsByOdds() {
		switch {
		case ep.status == Ejected:
			if !ep.inTrial && ep.nextTrialAt <= now {
				v.startTrial(ep)
			}
		case v.mayEject(ep, now, hazard):
			v.eject(ep, now)
		}
		if ep.status == Ejected && !ep.inTrial {
			v.nextTick = min(v.nextTick, ep.nextTrialAt)
		}
	}
	return v.collectUpdates(), v.nextTick
}

// checkLocalNetwork records when nearly all endpoints begin or cease to fail, which indicates a fault in the broker's own network.
func (v *Evaluator) checkLocalNetwork(now time.Duration) {
	fault := v.failAlike(now)
	if fault == v.localNetworkFault {
		return
	}
	v.localNetworkFault = fault
	if !fault {
		v.log("endpoints no longer fail alike: ejection resumes")
		return
	}
	v.log("nearly all endpoints fail alike: assuming a fault in this broker's own network, none is ejected for it")
	for ep := range v.suspects { // their failures are evidence of a network fault, not of wrong entries
		ep.odds = 1
	}
}

// mayEject reports whether an entry is so likely to be wrong that it is ejected. The last usable entry of a cell is never ejected, so that
// there is always one to try.
func (v *Evaluator) mayEject(ep *endpoint, now time.Duration, hazard float64) bool {
	return !v.localNetworkFault && v.usableInCell[ep.cell] > 1 && v.errorProbability(ep, now, hazard) >= v.policy.EjectionThreshold
}

func (v *Evaluator) eject(ep *endpoint, now time.Duration) {
	ep.status = Ejected
	ep.countedWrong = true
	ep.trialInterval = v.policy.TrialInterval
	ep.nextTrialAt = now + ep.trialInterval
	v.usableInCell[ep.cell]--
	v.wrongEntries++
	v.counts.Ejections++
	v.update(ep)
	v.log(ep.name + " ejected: its cached entry is probably wrong")
}

func (v *Evaluator) startTrial(ep *endpoint) {
	ep.inTrial = true
	ep.odds = 1
	v.counts.Trials++
	v.update(ep)
}

// endTrial ends a failed trial. The next one comes after twice the interval.
func (v *Evaluator) endTrial(ep *endpoint, now time.Duration) {
	ep.inTrial = false
	ep.trialInterval = min(2*ep.trialInterval, maxTrialIntervalFactor*v.policy.TrialInterval)
	ep.nextTrialAt = now + ep.trialInterval
	v.nextTick = min(v.nextTick, ep.nextTrialAt)
	v.update(ep)
}

// reinstate puts an ejected endpoint that answered back into use, in slow start, as it may just have restarted.
func (v *Evaluator) reinstate(ep *endpoint) {
	v.counts.Reinstated++
	v.usableInCell[ep.cell]++
	ep.inTrial = false
	ep.slowStart = true
	ep.status = Confirmed
	v.log(ep.name + " reinstated: it answered an attempt")
	v.update(ep)
}

// suspectsByOdds returns the suspects, the most likely wrong first, so that the better one of a cell's last two entries stays.
func (v *Evaluator) suspectsByOdds() (suspects []*endpoint) {
	for ep := range v.suspects {
		suspects = append(suspects, ep)
	}
	slices.SortFunc(suspects, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(y.odds, x.odds), cmp.Compare(y.initialAge, x.initialAge), cmp.Compare(x.name, y.name))
	})
	return suspects
}

// log keeps a line for CollectLogLines.
func (v *Evaluator) log(line string) { v.logLines = append(v.logLines, line) }

// CollectLogLines returns the log lines since the last call.
func (v *Evaluator) CollectLogLines() []string {
	lines := v.logLines
	v.logLines = nil
	return lines
}
