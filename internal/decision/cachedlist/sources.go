package cachedlist

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// ApplyList applies a list from discovery, which is authoritative: all its entries become confirmed, and evidence is discarded. The event
// loop tells the router of the endpoints that the list names; the queued updates are for those that it leaves out. ApplyList returns how
// many entries a full list ended and how many had not ended before.
func (v *Evaluator) ApplyList(list List, id func(name string) decision.NodeID, now time.Duration) (ended, inService int) {
	ended, inService = v.table.ApplyList(list, v.timestamp(now))
	v.resetEvidence()
	for nodeID, ep := range v.endpoints {
		if e, known := v.table.Get(ep.name); !known || e.State == Ended {
			delete(v.endpoints, nodeID)
		}
	}
	for name, e := range v.table.entries {
		if e.State != Ended {
			v.confirm(id(name), e)
		}
	}
	slices.SortFunc(v.updates, func(x, y EndpointUpdate) int { return cmp.Compare(x.Entry.Name, y.Entry.Name) })
	return ended, inService
}

// resetEvidence discards all evidence, as discovery can be polled again.
func (v *Evaluator) resetEvidence() {
	v.discoveryUp = true
	v.localNetworkFault = false
	v.nextTick = never
	v.exposure = 0
	v.wrongEntries = 0
	clear(v.usableInCell)
	clear(v.recentlyTried)
	clear(v.suspects)
}

// confirm puts an endpoint that discovery knows into use.
func (v *Evaluator) confirm(id decision.NodeID, e *Entry) {
	ep := v.endpoints[id]
	if ep == nil {
		ep = &endpoint{}
		v.endpoints[id] = ep
	}
	restricted := !ep.inUse() || ep.slowStart
	*ep = endpoint{id: id, name: e.Name, cell: e.Cell, odds: 1}
	v.usableInCell[ep.cell]++
	if restricted {
		v.update(ep)
	}
}

// Import accepts entries from an operator while discovery can't be polled, and returns how many it accepted. Their credibility follows from
// their age. While discovery can be polled its list is authoritative, and nothing is accepted.
func (v *Evaluator) Import(entries []Entry, id func(name string) decision.NodeID, now time.Duration) (imported int) {
	if v.discoveryUp {
		return 0
	}
	for _, e := range entries {
		if v.table.Import([]Entry{e}) == 0 {
			continue
		}
		imported++
		v.applyImported(id(e.Name), &e, now)
	}
	return imported
}

func (v *Evaluator) applyImported(id decision.NodeID, e *Entry, now time.Duration) {
	ep := v.endpoints[id]
	if e.State == Ended {
		if ep != nil {
			v.exclude(ep)
		}
		return
	}
	if ep == nil {
		ep = &endpoint{id: id, name: e.Name, odds: 1, status: Excluded}
		v.endpoints[id] = ep
	}
	if ep.inUse() {
		v.usableInCell[ep.cell]--
	}
	ep.cell = e.Cell
	ep.slowStart = true
	ep.initialAge = v.age(e, now)
	ep.status = Excluded
	if e.State == Ready && ep.initialAge <= v.policy.MaxAge {
		ep.status = Unconfirmed
		v.usableInCell[ep.cell]++
	}
	v.update(ep)
}

// Forget drops entries that an operator names, and returns how many it dropped. While discovery can be polled it drops only ended ones, as
// discovery decides on the others.
func (v *Evaluator) Forget(names []string, id func(name string) decision.NodeID) (forgotten int) {
	for _, name := range names {
		e, known := v.table.Get(name)
		if !known || v.discoveryUp && e.State != Ended {
			continue
		}
		if ep := v.endpoints[id(name)]; ep != nil {
			v.exclude(ep)
		}
		forgotten += v.table.Forget([]string{name})
	}
	return forgotten
}

// ApplyGossip applies the state of one endpoint that discovery gave to another broker. It is authoritative for that endpoint and
// confirms no other entry. The router has already been told.
func (v *Evaluator) ApplyGossip(name string, id decision.NodeID, state State, startedAt Timestamp, now time.Duration) {
	e, known := v.table.Get(name)
	if !known {
		return
	}
	e.State = state
	e.StartedAt = max(e.StartedAt, startedAt)
	e.StateSince = v.timestamp(now)
	v.table.put(e)
	ep := v.endpoints[id]
	if ep == nil || state == Ready {
		return
	}
	v.drop(ep, id)
	v.updates = slices.DeleteFunc(v.updates, func(u EndpointUpdate) bool { return u.ID == id })
}

// exclude takes an endpoint out of use and tells the router.
func (v *Evaluator) exclude(ep *endpoint) {
	v.drop(ep, ep.id)
	ep.status = Excluded
	ep.inTrial = false
	v.update(ep)
}

// drop removes all state of an endpoint.
func (v *Evaluator) drop(ep *endpoint, id decision.NodeID) {
	if ep.inUse() {
		v.usableInCell[ep.cell]--
	}
	delete(v.endpoints, id)
	delete(v.recentlyTried, ep)
	delete(v.suspects, ep)
}
