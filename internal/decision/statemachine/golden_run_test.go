package statemachine

import (
	"fmt"
	"io"
	"math/rand/v2"
)

// goldenRun applies one pseudo-random sequence of entries to one state machine.
type goldenRun struct {
	rng       *rand.Rand
	state     *State
	sequences [3]uint64
	proposals [][]byte
	out       io.Writer
}

func (g *goldenRun) upTo(most int) uint64          { return uint64(g.rng.IntN(most + 1)) }
func (g *goldenRun) oneIn(n int) bool              { return g.rng.IntN(n) == 0 }
func (g *goldenRun) maybeOffByOne(v uint64) uint64 { return g.offByOneIn(v, 12) }
func (g *goldenRun) node() NodeID                  { return testNode(g.rng.IntN(5)) }
func (g *goldenRun) version() string               { return fmt.Sprint(1 + g.upTo(1)) }
func (g *goldenRun) rows() (all []LeaseRow)        { return g.rowsOf(int(g.upTo(4))) }
func (g *goldenRun) budgets() (all []NodeBudget)   { return g.budgetsOf(5) }

// offByOneIn returns v or, with probability 1/n, a value within one of it.
func (g *goldenRun) offByOneIn(v uint64, n int) uint64 {
	if g.oneIn(n) {
		return v + g.upTo(2) - 1
	}
	return v
}

func (g *goldenRun) rowsOf(n int) (all []LeaseRow) {
	for range n {
		all = append(all, LeaseRow{g.node(), string(rune('x' + g.upTo(1))), 1 + g.upTo(6)})
	}
	if !g.oneIn(15) {
		for i := 0; i < len(all); i++ {
			for k := i + 1; k < len(all); k++ {
				if CompareLeaseRows(all[k], all[i]) < 0 {
					all[i], all[k] = all[k], all[i]
				}
			}
			if i > 0 && CompareLeaseRows(all[i-1], all[i]) == 0 {
				all = append(all[:i], all[i+1:]...)
				i--
			}
		}
	}
	if g.oneIn(25) && n > 0 {
		all[0].Connections = []uint64{0, 1 << 32, 1<<32 + 1}[g.upTo(2)]
	}
	return all
}

func (g *goldenRun) budgetsOf(n int) (all []NodeBudget) {
	for i := range n {
		if !g.oneIn(12) {
			all = append(all, NodeBudget{testNode(i), g.upTo(45), g.upTo(3)})
		}
	}
	if g.oneIn(25) && len(all) > 1 {
		all[0], all[1] = all[1], all[0]
	}
	if g.oneIn(25) && len(all) > 1 {
		all[0].Connections = 1<<32 + g.upTo(1)
	}
	return all
}

func (g *goldenRun) plan() *ReleasePlan {
	p := &ReleasePlan{
		Name: "plan", From: g.version(), To: g.version(),
		MaxOut: uint32(g.upTo(4)), MaxOutPerZone: uint32(g.upTo(2)), MinReadyReplicas: uint32(g.upTo(1)),
		PauseMS: g.upTo(9), Gates: "gates",
	}
	size := 1 + int(g.upTo(4))
	for i := range size {
		if g.oneIn(3) {
			i = int(g.upTo(5))
		}
		if g.rng.IntN(2) == 0 || len(p.Nodes) > 0 && !g.oneIn(20) {
			p.Nodes = append(p.Nodes, testNode(i%5))
		} else if len(p.Nodes) == 0 || g.oneIn(20) {
			p.Slots = append(p.Slots, Slot(i))
		}
	}
	if g.oneIn(2) {
		p.Batches = []uint32{uint32(g.upTo(2)), uint32(len(p.Slots) + len(p.Nodes))}
		if g.oneIn(3) {
			p.Batches = append(p.Batches[:1], uint32(g.upTo(3)), p.Batches[1])
		}
	}
	return p
}

func (g *goldenRun) nodeList() *SetNodeList {
	e := &SetNodeList{Epoch: g.offByOneIn(g.state.Epoch()+1, 8), MinReadyReplicas: uint32(g.upTo(1))}
	for i := range 5 {
		if g.oneIn(8) {
			continue
		}
		if g.oneIn(30) {
			i = 0
		}
		e.Nodes = append([]NodeInfo{{testNode(i), fmt.Sprint("z", i%2), []uint32{uint32(i % 2), 2 + uint32(g.upTo(1))}}}, e.Nodes...)
	}
	return e
}

// entry returns a random entry about a few brokers and nodes, mostly one that the state machine accepts.
func (g *goldenRun) entry() Entry {
	slot, node := Slot(g.upTo(5)), g.node()
	if g.oneIn(60) {
		slot = Slot(4095 + g.upTo(1))
	}
	broker, _ := g.state.Broker(slot)
	current, _ := g.state.Release()
	_, term := g.state.Leader()
	nodeStatus, _ := g.state.Node(node)
	lease, _ := g.state.Lease(slot)
	nodePermit, _ := g.state.NodePermit(node)
	term, release, incarnation, number := g.maybeOffByOne(term), g.maybeOffByOne(current.Number), g.maybeOffByOne(broker.Incarnation), g.maybeOffByOne(lease.Number)
	forNode, permit := current.ForNodes, broker.Permit
	if g.oneIn(10) {
		forNode = !forNode
	}
	if forNode {
		permit = nodePermit.Number
	}
	permit = g.maybeOffByOne(permit)
	newest := uint64(0)
	policies := g.state.Policies()
	if policies.Waiting != nil {
		newest = policies.Waiting.Version
	} else if policies.InForce != nil {
		newest = policies.InForce.Version
	}
	switch g.rng.IntN(52) {
	case 0:
		return &LeaderElected{slot, g.offByOneIn(term+1, 6)}
	case 1, 2, 3, 4, 5:
		name := fmt.Sprint("b", slot)
		if g.oneIn(30) {
			name = []string{"", "b0", "b1"}[g.upTo(2)]
		}
		return &RegisterBroker{slot, name, g.offByOneIn(broker.Incarnation+1, 8), g.version(), fmt.Sprint("z", slot%2), g.offByOneIn(1, 30)}
	case 6, 7, 8, 9, 10:
		return &ReturnToService{slot, incarnation, false, node}
	case 11, 12, 13:
		return &ReturnToService{slot, g.maybeOffByOne(max(nodePermit.Number, nodeStatus.DownIndex)), true, node}
	case 14, 15:
		return &MarkBrokerLost{slot, incarnation, term}
	case 16:
		return &RemoveBroker{slot}
	case 17, 18:
		return g.plan()
	case 19, 20, 21, 22, 23:
		return &IssuePermit{release, term, slot, incarnation, forNode, node}
	case 24, 25, 26, 27:
		return &UsePermit{permit, slot, incarnation, forNode, node}
	case 28:
		return &OpenNextBatch{release, term, uint32(g.maybeOffByOne(uint64(current.OpenBatch + 1)))}
	case 29:
		if g.oneIn(2) {
			return &HaltRelease{release, "halted"}
		}
		return &RollBackRelease{release, "reverted"}
	case 30:
		return &ResumeRelease{release}
	case 31:
		return &DrainNode{node, "drained"}
	case 32, 33, 34:
		return &AcknowledgeDrain{slot, incarnation, node, g.maybeOffByOne(nodeStatus.DrainNumber)}
	case 35:
		if g.oneIn(2) {
			return &UndrainNode{node}
		}
		return &MarkNodeDown{node, "down"}
	case 36:
		return &ConnectionPolicy{g.offByOneIn(newest+1, 8), "text", uint32(g.offByOneIn(6, 10)), g.budgets()}
	case 37:
		return &AcknowledgePolicy{slot, incarnation, newest - g.upTo(1)}
	case 38, 39:
		return &GrantLease{slot, incarnation, g.offByOneIn(lease.Number+1, 8), g.rows()}
	case 40:
		return &AcknowledgeLease{slot, incarnation, number}
	case 41:
		return &RelinquishLease{slot, incarnation, number}
	case 42:
		return &ExpireLease{slot, number, term}
	}
	switch {
	case g.oneIn(6):
		return &RaiseProtocol{g.offByOneIn(1, 40)}
	case g.oneIn(3):
		return g.nodeList()
	}
	return g.forNode(term, release)
}

// forNode returns the next entry for a node that has a permit or a drain, or issues a permit to a node.
func (g *goldenRun) forNode(term, release uint64) Entry {
	for _, d := range g.state.Drains() {
		p, ok := g.state.NodePermit(d.Node)
		missing := g.state.MissingDrainAcks(d.Node)
		switch {
		case ok && p.Used:
			return &ReturnToService{Incarnation: p.Number, ForNode: true, Node: d.Node}
		case len(missing) > 0 && !g.oneIn(12):
			b, _ := g.state.Broker(missing[0])
			return &AcknowledgeDrain{b.Slot, b.Incarnation, d.Node, d.Number}
		case ok:
			return &UsePermit{Permit: p.Number, ForNode: true, Node: d.Node}
		case g.oneIn(3):
			return &UndrainNode{d.Node}
		}
	}
	return &IssuePermit{release, term, 0, 0, true, g.node()}
}
