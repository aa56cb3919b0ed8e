package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	maxLocalHealth    = 3   // a higher one would make detection too slow for ownership, which waits for it
	maxRelayedProbes  = 64  // indirect probes made for other members at a time
	nackTimeoutFactor = 0.8 // of the probe timeout
)

// activeProbe is this broker's probe that waits for an ack. Its sequence is 0 if there is none.
type activeProbe struct {
	sequence          uint32
	target            ID
	indirectAt        time.Duration // without an ack by then, other members are asked to probe
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

// slowedByHealth lengthens a time while this broker finds itself slow: a broker that gets no processor time, or whose own link is bad,
// would otherwise declare all others dead.
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

// startProbe probes the next member of the round. The previous probe has ended by then, as a probe lasts as long as the interval between
// two probes.
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
	if target.State == Suspect { // so that it learns of the suspicion at once and can refute it
		items = d.appendStateUpdate(nil, itemSuspect, target)
	}
	d.send(target.Address, header{kind: kindProbe, sequence: d.probe.sequence, target: target.ID}, items)
}

// advanceProbe asks for indirect probes after the direct probe has timed out, and suspects the target when the time of the probe is over.
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

// failProbe suspects the target. A helper that could not reach it sends a nack, so missing nacks indicate that this broker itself is cut
// off. Their number, at least 1, is added to its local health multiplier.
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

// probeForRequester probes a member on behalf of another broker.
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
