package cachedlist

import (
	"cmp"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// ApplyList applies a list of discovery's, which binds: from here on nothing is unconfirmed, ejected or excluded but by it. What the list
// itself names the event loop tells the router; updates are for the endpoints that it leaves out. It returns how many entries in service a
// full list ended, of how many.
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

// resetEvidence forgets what endpoints have shown, as discovery has spoken.
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

// confirm puts an endpoint in use that discovery knows.
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

// Import takes entries from an operator while discovery can't be polled, and returns how many. They are as credible as their age says.
// While discovery can be polled its list binds, and nothing is taken.
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

// Forget drops entries that an operator names, and returns how many. While discovery can be polled only ended ones are dropped, as the
// others are discovery's.
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

// ApplyGossip takes over what another broker was notified of by discovery, on one endpoint. It binds for that one and says nothing of the
// others: unconfirmed entries stay so. The router knows it already.
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

// exclude takes an endpoint out of use for good.
func (v *Evaluator) exclude(ep *endpoint) {
	v.drop(ep, ep.id)
	ep.status = Excluded
	ep.inTrial = false
	v.update(ep)
}

// drop forgets an endpoint.
func (v *Evaluator) drop(ep *endpoint, id decision.NodeID) {
	if ep.inUse() {
		v.usableInCell[ep.cell]--
	}
	delete(v.endpoints, id)
	delete(v.recentlyTried, ep)
	delete(v.suspects, ep)
}
