package membership

import "time"

const (
	tickIntervalAfterLeave = time.Hour
	minTickInterval        = time.Millisecond
	pauseProbeIntervals    = 3  // without a tick, after which the process counts as paused
	seedProbeIntervals     = 10 // between two seed probes while other members are known
	gossipsPerInterval     = 2
	pauseHealthPenalty     = 2
)

// Tick does what is due at the time now, and returns when to call it again at the latest.
func (d *Detector) Tick(now time.Duration) time.Duration {
	if d.left {
		return now + tickIntervalAfterLeave
	}
	if d.wasPaused(now) {
		d.resumeAfterPause(now)
	}
	d.lastTick = now
	d.advanceProbe(now)
	d.expireSuspicions(now)
	if now >= d.nextProbe {
		d.startProbe(now)
		d.nextProbe = now + d.slowedByHealth(d.policy.ProbeInterval)
	}
	if now >= d.lastDeadProbe+d.policy.ProbeInterval {
		d.lastDeadProbe = now
		d.probeDeadMember()
	}
	if now >= d.nextGossip() && len(d.updates) > 0 {
		d.lastGossip = now
		d.gossip()
	}
	if now >= d.lastSync+d.policy.SyncInterval {
		d.lastSync = now
		d.sync()
	}
	if d.seedProbeDue(now) {
		d.nextSeedProbe = now + d.policy.ProbeInterval
		d.probeSeed()
	}
	d.expireRelayedProbes(now)
	return max(d.nextDue(now), now+minTickInterval)
}

func (d *Detector) nextGossip() time.Duration {
	return d.lastGossip + d.policy.ProbeInterval/gossipsPerInterval
}

func (d *Detector) seedProbeDue(now time.Duration) bool {
	if len(d.entries) == 0 && now >= d.nextSeedProbe {
		return true
	}
	return now >= d.nextSeedProbe+seedProbeIntervals*d.policy.ProbeInterval
}

// nextDue returns when the next action is due, at most a probe interval from now.
func (d *Detector) nextDue(now time.Duration) time.Duration {
	due := min(d.nextProbe, now+d.policy.ProbeInterval)
	if len(d.updates) > 0 {
		due = min(due, d.nextGossip())
	}
	if d.probe.isActive() {
		due = min(due, d.probe.nextStepAt())
	}
	for _, relayed := range d.relayedProbes {
		due = min(due, relayed.nackAt)
	}
	if d.suspectCount == 0 {
		return due
	}
	for _, entry := range d.entries {
		if entry.State == Suspect {
			due = min(due, d.suspicionEnd(entry))
		}
	}
	return due
}

func (d *Detector) wasPaused(now time.Duration) bool {
	if d.policy.WithoutLifeguard || d.lastTick <= 0 {
		return false
	}
	return now-d.lastTick > pauseProbeIntervals*d.policy.ProbeInterval
}

// resumeAfterPause ends probes that were pending during a pause of this process, and extends suspicions by the pause: missing acks prove
// nothing about other members then. They may have declared this broker dead meanwhile, so it raises its incarnation.
func (d *Detector) resumeAfterPause(now time.Duration) {
	pause := now - d.lastTick
	d.probe = activeProbe{}
	d.relayedProbes = d.relayedProbes[:0]
	for _, entry := range d.entries {
		if entry.State == Suspect {
			entry.suspicion.startedAt += pause
		}
	}
	d.adjustLocalHealth(pauseHealthPenalty)
	d.self.Incarnation++
	d.announceSelf()
	d.nextProbe = now
	d.lastSync = now - d.policy.SyncInterval
}
