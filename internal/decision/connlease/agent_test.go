package connlease

import (
	"fmt"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/statemachine"
)

// agent is a broker.
type agent struct {
	w           *world
	slot        statemachine.Slot
	incarnation uint64
	rate        float64 // of its clock
	holder      *Holder
	needs       *DemandTracker
	stopped     bool // SIGSTOP
	cut         bool // from the tier
	want        map[LeaseKey]int
	conns       []*socket
	floors      uint64 // version of the policy whose floors it keeps to
}

// socket is a connection. Seen is whether its node counts it.
type socket struct {
	key        LeaseKey
	seen, gone bool
	last       time.Duration
}

// shift moves all that a broker wants; few says for how many of ten pairs of node and tenant it is nothing.
func (a *agent) shift(few int) {
	for _, id := range a.w.plans[0].Nodes {
		for t := range tenants {
			a.want[LeaseKey{id, t}] = 0
			if a.w.chance.IntN(10) >= few {
				a.want[LeaseKey{id, t}] = a.w.chance.IntN(7)
			}
		}
	}
}

func (a *agent) clock() time.Duration { return time.Duration(float64(a.w.now) * a.rate) }

// tick is a turn of the broker's loop.
func (a *agent) tick(born uint64) {
	w := a.w
	if a.incarnation != born {
		return
	}
	defer w.after(50*time.Millisecond, func() { a.tick(born) })
	if a.stopped {
		return
	}
	for i := 0; i < len(a.conns); i++ { // what nodes closed meanwhile
		if a.conns[i].gone {
			a.drop(i, true)
			i--
		}
	}
	now := a.clock()
	rows, hard := a.holder.ExcessConnections(now)
	for _, r := range rows {
		for i := 0; i < len(a.conns) && r.Connections > 0; i++ {
			if c := a.conns[i]; c.key == r.LeaseKey && (hard || w.chance.IntN(3) == 0) {
				w.after(w.upTo(closing/2), func() { w.close(c) })
				a.drop(i, false)
				i, r.Connections = i-1, r.Connections-1
			}
		}
	}
	a.needs.Decay(now)
	for _, c := range a.conns {
		c.last = w.now
	}
	for _, b := range w.plans[0].Nodes {
		for t := range tenants {
			k := LeaseKey{b, t}
			if a.needs.Observe(k, float64(a.want[k])); a.holder.open[k] < a.want[k] && a.opens(k, now) {
				c := &socket{key: k, last: w.now}
				a.conns = append(a.conns, c)
				w.after(w.upTo(20*time.Millisecond), func() { w.open(c) })
			}
		}
	}
}

func (a *agent) opens(k LeaseKey, now time.Duration) bool {
	_, ok := a.holder.Open(k, now)
	return ok
}

func (a *agent) drop(i int, byNode bool) {
	a.holder.RecordClosed(a.conns[i].key, byNode, a.clock())
	a.conns = append(a.conns[:i], a.conns[i+1:]...)
}

// open is a connection that reaches its node, which counts it and ends it when nothing passed for long.
func (w *world) open(c *socket) {
	if c.gone {
		return
	}
	c.seen = true
	w.served++
	w.count[c.key.Node]++
	p := w.state.Policies().InForce
	for _, b := range p.Budgets {
		if b.Node == c.key.Node && w.count[b.Node] > int(b.Connections) {
			w.fault = fmt.Sprintf("%v: node %v holds %d connections of %d", w.now, b.Node, w.count[b.Node], b.Connections)
		}
	}
	w.idle(c)
}

func (w *world) idle(c *socket) {
	if c.gone {
		return
	}
	if w.now-c.last >= w.linger-100*time.Millisecond {
		w.close(c)
		return
	}
	w.after(c.last+w.linger-100*time.Millisecond-w.now, func() { w.idle(c) })
}

func (w *world) close(c *socket) {
	if !c.gone && c.seen {
		w.count[c.key.Node]--
	}
	c.gone = true
}

// ask is one renewal: the lease of the answer counts from before the question.
func (a *agent) ask(born uint64) {
	w := a.w
	if a.incarnation != born {
		return
	}
	defer w.after(400*time.Millisecond, func() { a.ask(born) })
	if a.stopped || a.cut {
		return
	}
	asked, rows := a.clock(), a.needs.AboveReserved(a.holder.floors)
	ack := a.holder.PendingAck(asked)
	way, back := w.upTo(30*time.Millisecond), w.upTo(30*time.Millisecond)
	if w.chance.IntN(w.stalls) == 0 {
		back += w.upTo(5 * time.Second) // a stalled link
	}
	w.after(way, func() {
		if a.incarnation != born {
			return
		}
		if h, _ := w.state.Lease(a.slot); ack > 0 && h.Number == ack {
			w.apply(&statemachine.AcknowledgeLease{Slot: a.slot, Incarnation: born, Number: ack})
		}
		w.granter.RecordRenewal(a.slot, born, w.now)
		w.needs[a.slot] = rows
		h, _ := w.state.Lease(a.slot)
		policies := w.state.Policies()
		inForce, waiting := policies.InForce, policies.Waiting
		w.after(back, func() { a.answer(born, asked, ack, h, inForce, waiting) })
	})
}

func (a *agent) answer(born uint64, asked time.Duration, ack uint64, h statemachine.ConnectionLease, inForce, waiting *statemachine.ConnectionPolicy) {
	w := a.w
	if a.stopped { // it waits in the socket
		w.after(50*time.Millisecond, func() { a.answer(born, asked, ack, h, inForce, waiting) })
		return
	}
	if a.incarnation != born {
		return
	}
	a.holder.RecordAcked(ack)
	if w.wrong {
		asked = a.clock()
	}
	if h.Number > 0 && !h.Ended && h.Incarnation == born {
		var rows []ConnectionCount
		for _, r := range h.Granted {
			rows = append(rows, ConnectionCount{LeaseKey{r.Node, int(r.Tenant[0] - 'a')}, int(r.Connections)})
		}
		a.holder.AcceptGrant(h.Number, rows, HolderExpiry(asked, lease))
	}
	newest, floors := inForce, map[decision.NodeID]int{}
	for _, b := range inForce.Budgets {
		floors[b.Node] = int(b.ReservedPerBroker)
	}
	if waiting != nil {
		newest = waiting
		for _, b := range waiting.Budgets {
			floors[b.Node] = min(floors[b.Node], int(b.ReservedPerBroker))
		}
	}
	if newest.Version >= a.floors {
		a.holder.SetReserved(floors, 0)
		if newest.Version > a.floors && a.holder.WithinLease(a.clock(), true) {
			a.floors = newest.Version
			w.after(w.upTo(30*time.Millisecond), func() {
				w.apply(&statemachine.AcknowledgePolicy{Slot: a.slot, Incarnation: born, Version: newest.Version})
			})
		}
	}
}
