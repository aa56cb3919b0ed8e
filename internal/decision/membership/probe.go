package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	maxLocalHealth    = 3   // a higher one would make detection slower than ownership can wait
	maxRelayedProbes  = 64  // indirect probes at a time for other members
	nackTimeoutFactor = 0.8 // of the probe timeout
)

// activeProbe is the probe that waits for an ack; sequence is 0 if there is none.
type activeProbe struct {
	sequence          uint32
	target            ID
	indirectAt        time.Duration // without an ack by then, others are asked to probe
	endsAt            time.Duration
	indirectRequested bool
	indirectCount     int
	nackCount         int
}

func (p *activeProbe) isActive() bool { return p.sequence != 0 }

func (p *activeProbe) nextStepAt() time.Duration {
	if p.indirectRequested {
		return p.endsAt
	}
	return min(p.indirectAt, p.endsAt)
}

// relayedProbe is an indirect probe that this broker makes for another member.
type relayedProbe struct {
	sequence          uint32
	requester         netip.AddrPort
	requesterSequence uint32
	nackAt            time.Duration
}

// slowedByHealth stretches a time while this broker finds itself slow: one that gets no processor, or whose own link is bad, would
// otherwise declare all others dead.
func (d *Detector) slowedByHealth(t time.Duration) time.Duration {
	if d.policy.WithoutLifeguard {
		return t
	}
	return t * time.Duration(1+d.localHealth)
}

func (d *Detector) adjustLocalHealth(change int) {
	d.localHealth = min(maxLocalHealth, max(0, d.localHealth+change))
	d.Counts.LocalHealthMultiplier = d.localHealth
}

func (d *Detector) nextSequence() uint32 {
	d.lastSequence++
	return d.lastSequence
}

// startProbe probes the next member of the round. The probe before has ended: its end is when this one is due.
func (d *Detector) startProbe(now time.Duration) {
	target := d.nextProbeTarget()
	if target == nil {
		return
	}
	d.Counts.Probes++
	d.probe = activeProbe{
		sequence:   d.nextSequence(),
		target:     target.ID,
		indirectAt: now + d.slowedByHealth(d.policy.ProbeTimeout),
		endsAt:     now + d.slowedByHealth(d.policy.ProbeInterval),
	}
	var items []byte
	if target.State == Suspect { // it learns of the suspicion at once and can refute it
		items = d.appendStateUpdate(nil, itemSuspect, target)
	}
	d.send(target.Address, header{kind: kindProbe, sequence: d.probe.sequence, target: target.ID}, items)
}

// advanceProbe asks for indirect probes when the direct one has timed out, and suspects the target when all have.
func (d *Detector) advanceProbe(now time.Duration) {
	if !d.probe.isActive() {
		return
	}
	target := d.entries[d.probe.target]
	if target == nil || !target.State.isLiving() {
		d.probe = activeProbe{}
		return
	}
	if !d.probe.indirectRequested && now >= d.probe.indirectAt {
		d.requestIndirectProbes(target)
	}
	if now >= d.probe.endsAt {
		d.failProbe(target, now)
	}
}

func (d *Detector) requestIndirectProbes(target *memberEntry) {
	d.probe.indirectRequested = true
	excluded := map[ID]bool{target.ID: true}
	for range d.policy.IndirectProbes {
		helper := d.randomMember(func(e *memberEntry) bool { return e.State == Alive && !excluded[e.ID] })
		if helper == nil {
			return
		}
		excluded[helper.ID] = true
		d.probe.indirectCount++
		d.send(helper.Address, header{kind: kindIndirectProbe, sequence: d.probe.sequence, target: target.ID}, nil)
	}
}

// failProbe suspects the target. A helper that could not reach it sends a nack: those missing say that this broker itself is cut off.
func (d *Detector) failProbe(target *memberEntry, now time.Duration) {
	d.Counts.FailedProbes++
	missingNacks := max(1, d.probe.indirectCount-d.probe.nackCount)
	d.adjustLocalHealth(missingNacks)
	d.probe = activeProbe{}
	d.applySuspect(target.ID, target.Incarnation, d.self.ID, now)
}

// handleAck ends this broker's probe, or passes the ack of a relayed probe to its requester.
func (d *Detector) handleAck(sequence uint32) {
	if d.probe.isActive() && d.probe.sequence == sequence {
		d.probe = activeProbe{}
		d.adjustLocalHealth(-1)
		return
	}
	for i, relayed := range d.relayedProbes {
		if relayed.sequence == sequence {
			d.send(relayed.requester, header{kind: kindAck, sequence: relayed.requesterSequence}, nil)
			d.relayedProbes = slices.Delete(d.relayedProbes, i, i+1)
			return
		}
	}
}

func (d *Detector) handleNack(sequence uint32) {
	if d.probe.sequence == sequence {
		d.probe.nackCount++
	}
}

// probeForRequester probes a member for another one.
func (d *Detector) probeForRequester(requester netip.AddrPort, request header, now time.Duration) {
	target := d.entries[request.target]
	if target == nil || len(d.relayedProbes) >= maxRelayedProbes {
		return
	}
	relayed := relayedProbe{
		sequence:          d.nextSequence(),
		requester:         requester,
		requesterSequence: request.sequence,
		nackAt:            now + time.Duration(nackTimeoutFactor*float64(d.policy.ProbeTimeout)),
	}
	d.relayedProbes = append(d.relayedProbes, relayed)
	d.send(target.Address, header{kind: kindProbe, sequence: relayed.sequence, target: request.target}, nil)
}

// expireRelayedProbes sends a nack for each relayed probe without an ack.
func (d *Detector) expireRelayedProbes(now time.Duration) {
	for _, relayed := range d.relayedProbes {
		if relayed.nackAt <= now {
			d.send(relayed.requester, header{kind: kindNack, sequence: relayed.requesterSequence}, nil)
		}
	}
	d.relayedProbes = slices.DeleteFunc(d.relayedProbes, func(r relayedProbe) bool { return r.nackAt <= now })
}
