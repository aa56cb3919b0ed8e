package connlease

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// simulatedBroker is a broker in virtual time, with a lease holder, a clock of its own and connections to nodes.
type simulatedBroker struct {
	tier            *simulatedTier
	slot            statemachine.Slot
	incarnation     uint64
	rate            float64 // of its clock, relative to virtual time
	holder          *Holder
	demand          *DemandTracker
	stopped         bool // suspended, as by SIGSTOP
	disconnected    bool // from the tier
	wanted          map[LeaseKey]int
	connections     []*simulatedConnection
	reservedVersion uint64 // version of the policy whose reserve the broker has acknowledged
}

// simulatedConnection is a connection of a broker to a node.
type simulatedConnection struct {
	key            LeaseKey
	counted, ended bool // its node counts it; it was closed
	lastUsed       time.Duration
}

// shiftDemand draws new demand for all pairs of node and tenant; zeroOfTen in ten of them get none.
func (a *simulatedBroker) shiftDemand(zeroOfTen int) {
	for _, id := range a.tier.plans[0].Nodes {
		for t := range tenants {
			a.wanted[LeaseKey{id, t}] = 0
			if a.tier.random.IntN(10) >= zeroOfTen {
				a.wanted[LeaseKey{id, t}] = a.tier.random.IntN(7)
			}
		}
	}
}

func (a *simulatedBroker) clock() time.Duration { return time.Duration(float64(a.tier.now) * a.rate) }

// runLoop runs one iteration of the broker's loop and schedules the next: it closes excess connections and opens wanted ones.
func (a *simulatedBroker) runLoop(ownIncarnation uint64) {
	w := a.tier
	if a.incarnation != ownIncarnation {
		return
	}
	defer w.schedule(50*time.Millisecond, func() { a.runLoop(ownIncarnation) })
	if a.stopped {
		return
	}
	for i := 0; i < len(a.connections); i++ { // connections that nodes have closed
		if a.connections[i].ended {
			a.dropConnection(i, true)
			i--
		}
	}
	now := a.clock()
	excess := a.holder.ExcessConnections(now)
	for _, r := range excess.Counts {
		for i := 0; i < len(a.connections) && r.Connections > 0; i++ {
			if c := a.connections[i]; c.key == r.LeaseKey && (excess.Immediate || w.random.IntN(3) == 0) {
				w.schedule(w.upTo(closeDelay/2), func() { w.close(c) })
				a.dropConnection(i, false)
				i, r.Connections = i-1, r.Connections-1
			}
		}
	}
	a.demand.Decay(now)
	for _, c := range a.connections {
		c.lastUsed = w.now
	}
	for _, b := range w.plans[0].Nodes {
		for t := range tenants {
			k := LeaseKey{b, t}
			if a.demand.Observe(k, float64(a.wanted[k])); a.holder.open[k] < a.wanted[k] && a.tryOpen(k, now) {
				c := &simulatedConnection{key: k, lastUsed: w.now}
				a.connections = append(a.connections, c)
				w.schedule(w.upTo(20*time.Millisecond), func() { w.open(c) })
			}
		}
	}
}

func (a *simulatedBroker) tryOpen(k LeaseKey, now time.Duration) bool {
	return a.holder.Open(k, now) != OpenDenied
}

func (a *simulatedBroker) dropConnection(i int, byNode bool) {
	a.holder.RecordClosed(a.connections[i].key, byNode, a.clock())
	a.connections = append(a.connections[:i], a.connections[i+1:]...)
}

// open has a connection reach its node, which counts it and closes it once it has been idle for long. It records a violation if the node
// now has more connections than the policy in force allows.
func (w *simulatedTier) open(c *simulatedConnection) {
	if c.ended {
		return
	}
	c.counted = true
	w.openedCount++
	w.countAt[c.key.Node]++
	p := w.machine.Policies().InForce
	for _, b := range p.Budgets {
		if b.Node == c.key.Node && w.countAt[b.Node] > int(b.Connections) {
			w.violation = fmt.Sprintf("%v: node %v holds %d connections of %d", w.now, b.Node, w.countAt[b.Node], b.Connections)
		}
	}
	w.idle(c)
}

// idle closes a connection that has reached the node's idle timeout, or else checks it again when it could.
func (w *simulatedTier) idle(c *simulatedConnection) {
	if c.ended {
		return
	}
	if w.now-c.lastUsed >= w.nodeIdleTimeout-100*time.Millisecond {
		w.close(c)
		return
	}
	w.schedule(c.lastUsed+w.nodeIdleTimeout-100*time.Millisecond-w.now, func() { w.idle(c) })
}

func (w *simulatedTier) close(c *simulatedConnection) {
	if !c.ended && c.counted {
		w.countAt[c.key.Node]--
	}
	c.ended = true
}

// renew sends one renewal and schedules the next. The lease in the answer counts from before the request was sent.
func (a *simulatedBroker) renew(ownIncarnation uint64) {
	w := a.tier
	if a.incarnation != ownIncarnation {
		return
	}
	defer w.schedule(400*time.Millisecond, func() { a.renew(ownIncarnation) })
	if a.stopped || a.disconnected {
		return
	}
	requestedAt, rows := a.clock(), a.demand.AboveReserved(a.holder.reserved)
	ack := a.holder.PendingAck(requestedAt)
	requestDelay, answerDelay := w.upTo(30*time.Millisecond), w.upTo(30*time.Millisecond)
	if w.random.IntN(w.stallEvery) == 0 {
		answerDelay += w.upTo(5 * time.Second) // a stalled link
	}
	w.schedule(requestDelay, func() {
		if a.incarnation != ownIncarnation {
			return
		}
		if h, _ := w.machine.Lease(a.slot); ack > 0 && h.Number == ack {
			w.apply(&statemachine.AcknowledgeLease{Slot: a.slot, Incarnation: ownIncarnation, Number: ack})
		}
		w.granter.RecordRenewal(a.slot, ownIncarnation, w.now)
		w.demands[a.slot] = rows
		h, _ := w.machine.Lease(a.slot)
		policies := w.machine.Policies()
		inForce, waiting := policies.InForce, policies.Waiting
		w.schedule(answerDelay, func() { a.handleAnswer(ownIncarnation, requestedAt, ack, h, inForce, waiting) })
	})
}

func (a *simulatedBroker) handleAnswer(
	ownIncarnation uint64, requestedAt time.Duration, ack uint64, h statemachine.ConnectionLease, inForce, waiting *statemachine.ConnectionPolicy,
) {
	w := a.tier
	if a.stopped { // the answer stays in the socket buffer
		w.schedule(50*time.Millisecond, func() { a.handleAnswer(ownIncarnation, requestedAt, ack, h, inForce, waiting) })
		return
	}
	if a.incarnation != ownIncarnation {
		return
	}
	a.holder.RecordAcked(ack)
	if w.leaseFromAnswer {
		requestedAt = a.clock()
	}
	if h.Number > 0 && !h.Ended && h.Incarnation == ownIncarnation {
		var rows []ConnectionCount
		for _, r := range h.Granted {
			rows = append(rows, ConnectionCount{LeaseKey{r.Node, int(r.Tenant[0] - 'a')}, int(r.Connections)})
		}
		a.holder.AcceptGrant(h.Number, rows, HolderExpiry(requestedAt, leaseDuration))
	}
	newest := inForce
	reserved := map[decision.NodeID]int{}
	for _, b := range inForce.Budgets {
		reserved[b.Node] = int(b.ReservedPerBroker)
	}
	if waiting != nil {
		newest = waiting
		for _, b := range waiting.Budgets {
			reserved[b.Node] = min(reserved[b.Node], int(b.ReservedPerBroker))
		}
	}
	if newest.Version >= a.reservedVersion {
		a.holder.SetReserved(reserved, 0)
		if newest.Version > a.reservedVersion && a.holder.WithinLease(a.clock()) {
			a.reservedVersion = newest.Version
			w.schedule(w.upTo(30*time.Millisecond), func() {
				w.apply(&statemachine.AcknowledgePolicy{Slot: a.slot, Incarnation: ownIncarnation, Version: newest.Version})
			})
		}
	}
}
