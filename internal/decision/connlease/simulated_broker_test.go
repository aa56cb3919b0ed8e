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
func (broker *simulatedBroker) shiftDemand(zeroOfTen int) {
	for _, id := range broker.tier.plans[0].Nodes {
		for t := range tenants {
			broker.wanted[LeaseKey{id, t}] = 0
			if broker.tier.random.IntN(10) >= zeroOfTen {
				broker.wanted[LeaseKey{id, t}] = broker.tier.random.IntN(7)
			}
		}
	}
}

func (broker *simulatedBroker) clock() time.Duration {
	return time.Duration(float64(broker.tier.now) * broker.rate)
}

// runLoop runs one iteration of the broker's loop and schedules the next: it closes excess connections and opens wanted ones.
func (broker *simulatedBroker) runLoop(ownIncarnation uint64) {
	sim := broker.tier
	if broker.incarnation != ownIncarnation {
		return
	}
	defer sim.schedule(50*time.Millisecond, func() { broker.runLoop(ownIncarnation) })
	if broker.stopped {
		return
	}
	for i := 0; i < len(broker.connections); i++ { // connections that nodes have closed
		if broker.connections[i].ended {
			broker.dropConnection(i, true)
			i--
		}
	}
	now := broker.clock()
	excess := broker.holder.ExcessConnections(now)
	for _, r := range excess.Counts {
		for i := 0; i < len(broker.connections) && r.Connections > 0; i++ {
			if c := broker.connections[i]; c.key == r.LeaseKey && (excess.Immediate || sim.random.IntN(3) == 0) {
				sim.schedule(sim.upTo(closeDelay/2), func() { sim.close(c) })
				broker.dropConnection(i, false)
				i, r.Connections = i-1, r.Connections-1
			}
		}
	}
	broker.demand.Decay(now)
	for _, c := range broker.connections {
		c.lastUsed = sim.now
	}
	for _, b := range sim.plans[0].Nodes {
		for t := range tenants {
			k := LeaseKey{b, t}
			if broker.demand.Observe(k, float64(broker.wanted[k])); broker.holder.open[k] < broker.wanted[k] && broker.tryOpen(k, now) {
				c := &simulatedConnection{key: k, lastUsed: sim.now}
				broker.connections = append(broker.connections, c)
				sim.schedule(sim.upTo(20*time.Millisecond), func() { sim.open(c) })
			}
		}
	}
}

func (broker *simulatedBroker) tryOpen(k LeaseKey, now time.Duration) bool {
	return broker.holder.Open(k, now) != OpenDenied
}

func (broker *simulatedBroker) dropConnection(i int, byNode bool) {
	broker.holder.RecordClosed(broker.connections[i].key, byNode, broker.clock())
	broker.connections = append(broker.connections[:i], broker.connections[i+1:]...)
}

// open has a connection reach its node, which counts it and closes it once it has been idle for long. It records a violation if the node
// now has more connections than the policy in force allows.
func (sim *simulatedTier) open(c *simulatedConnection) {
	if c.ended {
		return
	}
	c.counted = true
	sim.openedCount++
	sim.countAt[c.key.Node]++
	p := sim.machine.Policies().InForce
	for _, b := range p.Budgets {
		if b.Node == c.key.Node && sim.countAt[b.Node] > int(b.Connections) {
			sim.violation = fmt.Sprintf("%v: node %v holds %d connections of %d", sim.now, b.Node, sim.countAt[b.Node], b.Connections)
		}
	}
	sim.idle(c)
}

// idle closes a connection that has reached the node's idle timeout, or else checks it again when it could.
func (sim *simulatedTier) idle(c *simulatedConnection) {
	if c.ended {
		return
	}
	if sim.now-c.lastUsed >= sim.nodeIdleTimeout-100*time.Millisecond {
		sim.close(c)
		return
	}
	sim.schedule(c.lastUsed+sim.nodeIdleTimeout-100*time.Millisecond-sim.now, func() { sim.idle(c) })
}

func (sim *simulatedTier) close(c *simulatedConnection) {
	if !c.ended && c.counted {
		sim.countAt[c.key.Node]--
	}
	c.ended = true
}

// renew sends one renewal and schedules the next. The lease in the answer counts from before the request was sent.
func (broker *simulatedBroker) renew(ownIncarnation uint64) {
	sim := broker.tier
	if broker.incarnation != ownIncarnation {
		return
	}
	defer sim.schedule(400*time.Millisecond, func() { broker.renew(ownIncarnation) })
	if broker.stopped || broker.disconnected {
		return
	}
	requestedAt, rows := broker.clock(), broker.demand.AboveReserved(broker.holder.reserved)
	ack := broker.holder.PendingAck(requestedAt)
	requestDelay, answerDelay := sim.upTo(30*time.Millisecond), sim.upTo(30*time.Millisecond)
	if sim.random.IntN(sim.stallEvery) == 0 {
		answerDelay += sim.upTo(5 * time.Second) // a stalled link
	}
	sim.schedule(requestDelay, func() {
		if broker.incarnation != ownIncarnation {
			return
		}
		if h, _ := sim.machine.Lease(broker.slot); ack > 0 && h.Number == ack {
			sim.apply(&statemachine.AcknowledgeLease{Slot: broker.slot, Incarnation: ownIncarnation, Number: ack})
		}
		sim.granter.RecordRenewal(broker.slot, ownIncarnation, sim.now)
		sim.demands[broker.slot] = rows
		h, _ := sim.machine.Lease(broker.slot)
		policies := sim.machine.Policies()
		inForce, waiting := policies.InForce, policies.Waiting
		sim.schedule(answerDelay, func() { broker.handleAnswer(ownIncarnation, requestedAt, ack, h, inForce, waiting) })
	})
}

func (broker *simulatedBroker) handleAnswer(
	ownIncarnation uint64, requestedAt time.Duration, ack uint64, h statemachine.ConnectionLease, inForce, waiting *statemachine.ConnectionPolicy,
) {
	sim := broker.tier
	if broker.stopped { // the answer stays in the socket buffer
		sim.schedule(50*time.Millisecond, func() { broker.handleAnswer(ownIncarnation, requestedAt, ack, h, inForce, waiting) })
		return
	}
	if broker.incarnation != ownIncarnation {
		return
	}
	broker.holder.RecordAcked(ack)
	if sim.leaseFromAnswer {
		requestedAt = broker.clock()
	}
	if h.Number > 0 && !h.Ended && h.Incarnation == ownIncarnation {
		var rows []ConnectionCount
		for _, r := range h.Granted {
			rows = append(rows, ConnectionCount{LeaseKey{r.Node, int(r.Tenant[0] - 'a')}, int(r.Connections)})
		}
		broker.holder.AcceptGrant(h.Number, rows, HolderExpiry(requestedAt, leaseDuration))
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
	if newest.Version >= broker.reservedVersion {
		broker.holder.SetReserved(reserved, 0)
		if newest.Version > broker.reservedVersion && broker.holder.WithinLease(broker.clock()) {
			broker.reservedVersion = newest.Version
			sim.schedule(sim.upTo(30*time.Millisecond), func() {
				sim.apply(&statemachine.AcknowledgePolicy{Slot: broker.slot, Incarnation: ownIncarnation, Version: newest.Version})
			})
		}
	}
}
