package connlease

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/decision/fairshare"
	"flaxfront/internal/decision/statemachine"
)

// goldenRun is one pseudo-random sequence of calls.
type goldenRun struct {
	rng *rand.Rand
	out io.Writer
	now time.Duration
}

func (g *goldenRun) upTo(greatest int) int { return g.rng.IntN(greatest + 1) }
func (g *goldenRun) oneIn(n int) bool      { return g.rng.IntN(n) == 0 }
func (g *goldenRun) record(values ...any)  { fmt.Fprintln(g.out, values...) }
func goldenNode(i int) decision.NodeID {
	return decision.NodeID{Addr: [4]byte{10, 0, byte(i % 2), byte(i)}, Port: uint16(80 + i)}
}
func (g *goldenRun) node() decision.NodeID { return goldenNode(g.upTo(goldenNodes - 1)) }
func (g *goldenRun) key() LeaseKey {
	return LeaseKey{Node: g.node(), Tenant: g.upTo(goldenTenants - 1)}
}

// advance moves time forward by a random number of whole steps below most, so that some events happen at the same time.
func (g *goldenRun) advance(most time.Duration) {
	g.now += time.Duration(g.rng.Int64N(int64(most))).Round(goldenTimeStep)
}

func (g *goldenRun) counts(greatest int) (rows []ConnectionCount) {
	for i := range goldenNodes {
		for t := range goldenTenants {
			if g.oneIn(2) {
				rows = append(rows, ConnectionCount{LeaseKey{goldenNode(i), t}, 1 + g.upTo(greatest)})
			}
		}
	}
	return rows
}

// holder calls a Holder at random and records the results.
func (g *goldenRun) holder() {
	h := NewHolder(time.Duration(1+g.upTo(3)) * 100 * time.Millisecond)
	number := uint64(1)
	for range goldenSteps {
		g.advance(150 * time.Millisecond)
		k := g.key()
		switch g.upTo(20) {
		case 0:
			of := map[decision.NodeID]int{}
			for i := range goldenNodes {
				if !g.oneIn(3) {
					of[goldenNode(i)] = g.upTo(3)
				}
			}
			h.SetReserved(of, g.upTo(2))
		case 1:
			if g.oneIn(6) {
				h.SetUnlimited()
			}
			if g.oneIn(4) {
				h.SetCloseDelay(time.Duration(1+g.upTo(3)) * 100 * time.Millisecond)
			}
		case 2, 3:
			number += uint64(g.upTo(3))
			asked := g.now - time.Duration(g.upTo(300))*time.Millisecond
			g.record(h.AcceptGrant(max(1, number)-uint64(g.upTo(1)), g.counts(4), HolderExpiry(asked, 2*time.Second)))
		case 4, 5, 6, 7, 8, 9, 10, 11:
			result := h.Open(k, g.now)
			g.record(result == OpenLeased, result != OpenDenied)
		case 12, 13, 14, 15:
			h.RecordClosed(k, g.oneIn(2), g.now)
		case 16:
			ack := h.PendingAck(g.now)
			if g.record(ack); g.oneIn(2) {
				h.RecordAcked(ack + uint64(g.upTo(8)/8))
			}
		case 17:
			if g.oneIn(10) {
				h.ResetGrantNumber()
			}
		}
		excess := h.ExcessConnections(g.now)
		g.record(excess.Counts, excess.Immediate, h.phase(g.now) == leaseUsable, h.MayOpen(k, g.now), h.OpenConnections(k), h.NextPhaseChange(g.now),
			h.WithinLease(g.now), withinReserved(h))
		if len(excess.Counts) > 0 && g.oneIn(2) {
			h.RecordClosed(excess.Counts[0].LeaseKey, false, g.now)
		}
	}
}

// withinReserved reports whether all connections that nodes may count are within the reserve alone.
func withinReserved(h *Holder) bool {
	for node := range h.tenantsAt {
		if h.aboveLease(node, leaseEnding) > h.reservedAt(node) {
			return false
		}
	}
	return true
}

// demand calls a DemandTracker at random and encodes and decodes its reports, some of them corrupted.
func (g *goldenRun) demand() {
	d := NewDemandTracker(time.Duration(1+g.upTo(3)) * time.Second)
	for range goldenSteps {
		g.advance(400 * time.Millisecond)
		switch g.upTo(5) {
		case 0:
			d.Decay(g.now)
		case 1:
			rows := d.AboveReserved(map[decision.NodeID]int{goldenNode(0): g.upTo(4), goldenNode(2): g.upTo(1)})
			if len(rows) > 0 && g.oneIn(10) {
				rows[0].Connections = 1<<20 + g.upTo(1)
			}
			data := EncodeDemand(uint64(g.upTo(300)), rows)
			g.record(rows, data)
			if g.oneIn(3) && len(data) > 0 {
				data = data[:g.rng.IntN(len(data))]
			}
			if g.oneIn(3) && len(data) > 0 {
				data[g.rng.IntN(len(data))] ^= byte(1 << g.upTo(7))
			}
			version, back, err := DecodeDemand(data)
			g.record(version, back, err == nil)
		default:
			d.Observe(g.key(), float64(g.upTo(80))/10)
		}
	}
}

// granter calls a Granter at random, over the real state machine, to which most of the proposed entries are applied.
func (g *goldenRun) granter() {
	s := statemachine.New()
	sequence := uint64(0)
	apply := func(e statemachine.Entry) {
		sequence++
		data := statemachine.Encode(statemachine.ProposalID{Slot: 9, Incarnation: 1, Sequence: sequence}, e)
		r := s.Apply(s.AppliedIndex()+1, data)
		g.record(data, r.Number, r.Err == nil)
	}
	for i := range statemachine.Slot(goldenBrokers) {
		apply(&statemachine.RegisterBroker{Slot: i, Name: fmt.Sprint("b", i), Incarnation: 1, Version: "1", Zone: "z", Protocol: 1})
		apply(&statemachine.ReturnToService{Slot: i, Incarnation: 1})
	}
	apply(&statemachine.LeaderElected{Slot: 0, Term: 1})
	term, version := uint64(1), uint64(0)
	plan := &BudgetPlan{Tenants: []string{"x", "y", "z"}}
	policy := func() {
		version++
		p := &statemachine.ConnectionPolicy{Version: version, MaxBrokers: goldenBrokers + 1}
		plan.Nodes, plan.Budgets, plan.Pool = nil, nil, nil
		for i := range goldenNodes {
			if g.oneIn(10) {
				continue
			}
			b := statemachine.NodeBudget{Node: goldenNode(i), Connections: uint64(10 + g.upTo(30)), ReservedPerBroker: uint64(g.upTo(2))}
			p.Budgets = append(p.Budgets, b)
		}
		slices.SortFunc(p.Budgets, func(a, b statemachine.NodeBudget) int { return statemachine.CompareNodes(a.Node, b.Node) })
		for _, b := range p.Budgets {
			plan.Nodes = append(plan.Nodes, b.Node)
			budget := fairshare.Budget{Units: int(b.Connections) - (goldenBrokers+1)*int(b.ReservedPerBroker)}
			for range goldenTenants {
				budget.Allowances = append(budget.Allowances, fairshare.Allowance{
					Guarantee: g.upTo(3),
					Weight:    1 + g.upTo(2),
					Max:       4 + g.upTo(20),
					Burst:     g.upTo(9),
				})
			}
			plan.Budgets = append(plan.Budgets, budget)
		}
		if len(plan.Budgets) > 0 && g.oneIn(2) {
			pool := plan.Budgets[0]
			pool.Units += g.upTo(60)
			plan.Pool = &pool
		}
		apply(p)
	}
	list := &statemachine.SetNodeList{Epoch: 1}
	for i := range goldenNodes {
		list.Nodes = append(list.Nodes, statemachine.NodeInfo{Node: goldenNode(i), Zone: "z", Shards: []uint32{1}})
	}
	apply(list)
	policy()
	leader := NewGranter(2*time.Second, time.Duration(g.upTo(2))*time.Second, 0)
	demands := map[statemachine.Slot][]ConnectionCount{}
	for range goldenSteps / 4 {
		g.advance(900 * time.Millisecond)
		slot := statemachine.Slot(g.upTo(goldenBrokers - 1))
		b, _ := s.Broker(slot)
		lease, _ := s.Lease(slot)
		switch g.upTo(16) {
		case 0:
			apply(&statemachine.MarkBrokerLost{Slot: slot, Incarnation: b.Incarnation, Term: term})
		case 1, 2:
			apply(&statemachine.RegisterBroker{Slot: slot, Name: b.Name, Incarnation: b.Incarnation + 1, Version: "1", Zone: "z", Protocol: 1})
		case 3, 4:
			apply(&statemachine.ReturnToService{Slot: slot, Incarnation: b.Incarnation})
		case 5:
			if g.oneIn(3) {
				policy()
			}
		case 6:
			apply(&statemachine.AcknowledgePolicy{Slot: slot, Incarnation: b.Incarnation, Version: version})
		case 7:
			if g.oneIn(3) {
				term++
				apply(&statemachine.LeaderElected{Slot: 0, Term: term})
				leader = NewGranter(2*time.Second, time.Second, g.now)
			}
		case 8:
			apply(&statemachine.RelinquishLease{Slot: slot, Incarnation: lease.Incarnation, Number: lease.Number})
		case 9:
			delete(demands, slot)
		case 10, 11:
			demands[slot] = append(g.counts(7), ConnectionCount{LeaseKey{g.node(), 1 - 4*g.upTo(1)}, 3})
		default:
			leader.RecordRenewal(slot, b.Incarnation-uint64(g.upTo(5)/5), g.now)
		}
		for i := range statemachine.Slot(goldenBrokers) {
			if l, _ := s.Lease(i); l.Number > 0 && !g.oneIn(3) {
				apply(&statemachine.AcknowledgeLease{Slot: i, Incarnation: l.Incarnation, Number: l.Number})
			}
		}
		for _, e := range leader.NextEntries(s, plan, demands, term, g.now) {
			if g.oneIn(12) {
				g.record(statemachine.Encode(statemachine.ProposalID{}, e)) // the proposal is lost
				continue
			}
			apply(e)
		}
		g.record(leader.Expiry(slot, b.Incarnation), GranterExpiry(g.now, time.Second))
	}
}
