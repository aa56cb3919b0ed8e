package release

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"flaxfront/internal/decision/statemachine"
)

// goldenBroker is a simulated broker of a golden run.
type goldenBroker struct {
	slot        statemachine.Slot
	incarnation uint64
	version     string
	classes     []Counts
	failureRate float64 // share of queries that it fails regardless of version
	returnsAt   time.Duration
}

// goldenRun is one pseudo-random run of releases over the real state machine.
type goldenRun struct {
	rng           *rand.Rand
	out           io.Writer
	state         *statemachine.State
	settings      Settings
	planner       *Planner
	brokers       []*goldenBroker
	now           time.Duration
	term          uint64
	sequence      uint64
	extraFailures float64 // additional share of queries that version 2 fails
	nodeList      NodeList
}

func (g *goldenRun) oneIn(n int) bool { return g.rng.IntN(n) == 0 }

func (g *goldenRun) apply(e statemachine.Entry) bool {
	g.sequence++
	id := statemachine.ProposalID{Slot: 4000, Incarnation: 1, Sequence: g.sequence}
	r := g.state.Apply(g.state.AppliedIndex()+1, statemachine.Encode(id, e))
	return r.Err == nil
}

func (g *goldenRun) elect() {
	g.term++
	g.apply(&statemachine.LeaderElected{Slot: 0, Term: g.term})
	g.planner = NewPlanner(g.settings, g.term, g.now)
}

func (g *goldenRun) join(b *goldenBroker) {
	b.incarnation++
	b.returnsAt = 0
	b.classes = make([]Counts, len(b.classes))
	g.apply(&statemachine.RegisterBroker{Slot: b.slot, Name: fmt.Sprint("b", b.slot), Incarnation: b.incarnation, Version: b.version,
		Zone: fmt.Sprint("z", b.slot%2), Protocol: 1})
	g.apply(&statemachine.ReturnToService{Slot: b.slot, Incarnation: b.incarnation})
}

func goldenNode(i int) statemachine.NodeID {
	return statemachine.NodeID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 80}
}

func (g *goldenRun) start() {
	g.settings = Defaults()
	g.settings.MinQueries = float64(g.rng.IntN(3) * 200)
	g.settings.MinControls = 1 + g.rng.IntN(3)
	g.settings.OverdueAfter = time.Duration(3+g.rng.IntN(20)) * time.Second
	g.settings.AutoRollback = g.oneIn(2)
	g.extraFailures = []float64{0, 0.02, 0.2}[g.rng.IntN(3)]
	classes := 1 + g.rng.IntN(2)
	for i := range 6 + g.rng.IntN(8) {
		b := &goldenBroker{slot: statemachine.Slot(i), version: "1", failureRate: 0.01 * g.rng.Float64(), classes: make([]Counts, classes)}
		g.brokers = append(g.brokers, b)
		g.join(b)
	}
	g.elect()
	nodes := &statemachine.SetNodeList{Epoch: 1}
	for i := range goldenNodes {
		nodes.Nodes = append(nodes.Nodes, statemachine.NodeInfo{Node: goldenNode(i), Zone: fmt.Sprint("z", i%2), Shards: []uint32{1}})
	}
	g.apply(nodes)
	g.plan()
}

func (g *goldenRun) plan() {
	p := &statemachine.ReleasePlan{Name: "r", From: "1", To: "2", MaxOut: uint32(1 + g.rng.IntN(3)), PauseMS: uint64(g.rng.IntN(3000))}
	if g.oneIn(4) {
		p.Gates = "off"
	}
	if g.oneIn(4) {
		for i := range goldenNodes {
			p.Nodes = append(p.Nodes, goldenNode(i))
		}
	} else {
		p.Slots = InterleaveZones(g.state.Brokers())
	}
	p.Batches = DefaultBatches(len(p.Slots) + len(p.Nodes))
	fmt.Fprintln(g.out, p.Slots, p.Batches, g.apply(p))
}

func (g *goldenRun) countQueries(b *goldenBroker) {
	for i := range b.classes {
		c := &b.classes[i]
		n := uint64(10 + g.rng.IntN(30))
		c.Queries += n
		share := b.failureRate
		if b.version == "2" {
			share += g.extraFailures
		}
		for range n {
			if g.rng.Float64() < share {
				c.Bad[MetricFailed]++
				c.Bad[MetricUnserved]++
			}
		}
		c.Bad[MetricLate] += uint64(g.rng.IntN(2))
		c.Bad[MetricSentToWarmingUp] += uint64(g.rng.IntN(2))
	}
	if !g.oneIn(12) {
		r := Report{Target: Target{Slot: b.slot}, Incarnation: b.incarnation, Zone: fmt.Sprint("z", b.slot%2)}
		r.Classes = append(r.Classes, b.classes...)
		g.planner.RecordReport(r, g.now)
	}
}

// stepBroker simulates one step of a broker: it returns, serves, goes out with its permit, or is lost.
func (g *goldenRun) stepBroker(b *goldenBroker) {
	if b.returnsAt > 0 {
		if g.now >= b.returnsAt {
			g.join(b)
		}
		return
	}
	g.countQueries(b)
	if p, ok := g.state.BrokerPermit(b.slot); ok && !p.Used && !g.oneIn(4) {
		if g.apply(&statemachine.UsePermit{Permit: p.Number, Slot: b.slot, Incarnation: b.incarnation}) {
			if r, _ := g.state.Release(); !g.oneIn(40) {
				b.version = r.To
			}
			b.returnsAt = g.now + time.Duration(1+g.rng.IntN(6))*time.Second
		}
	}
	if g.oneIn(1500) {
		g.apply(&statemachine.MarkBrokerLost{Slot: b.slot, Incarnation: b.incarnation, Term: g.term})
		b.returnsAt = g.now + 4*time.Second
	}
}

func (g *goldenRun) stepNodes() {
	for i := range goldenNodes {
		id := goldenNode(i)
		p, ok := g.state.NodePermit(id)
		switch {
		case ok && p.Used && g.oneIn(6):
			g.apply(&statemachine.ReturnToService{ForNode: true, Node: id, Incarnation: p.Number})
		case ok && !p.Used && g.state.IsDrained(id):
			g.apply(&statemachine.UsePermit{Permit: p.Number, ForNode: true, Node: id})
		case ok && !p.Used:
			for _, slot := range g.state.MissingDrainAcks(id) {
				b, _ := g.state.Broker(slot)
				g.apply(&statemachine.AcknowledgeDrain{Slot: slot, Incarnation: b.Incarnation, Node: id, Number: p.Number})
			}
		}
		if r := (Report{Target: Target{ForNode: true, Node: id}, Incarnation: 1, Zone: "z"}); !g.oneIn(10) {
			r.Classes = []Counts{{Queries: uint64(g.now / time.Millisecond)}}
			g.planner.RecordReport(r, g.now)
		}
	}
}

// stepNodeList changes the node list occasionally, and proposes what follows from it.
func (g *goldenRun) stepNodeList() {
	before := g.nodeList
	if g.nodeList.Nodes == nil || g.oneIn(25) {
		g.nodeList = NodeList{StableSince: g.now, Confirmed: !g.oneIn(5), Ready: map[statemachine.NodeID]bool{}}
		for i := range goldenNodes {
			if g.oneIn(15) {
				continue
			}
			g.nodeList.Nodes = append(g.nodeList.Nodes, statemachine.NodeInfo{Node: goldenNode(i), Zone: fmt.Sprint("z", i%2), Shards: []uint32{1}})
			g.nodeList.Ready[goldenNode(i)] = !g.oneIn(6)
		}
	} else {
		g.nodeList.StableSince = g.now
	}
	g.nodeList.KeepStableSince(&before)
	g.propose(g.nodeList.NextEntries(g.state, g.now))
}

func (g *goldenRun) propose(entries []statemachine.Entry) {
	for _, e := range entries {
		g.out.Write(statemachine.Encode(statemachine.ProposalID{}, e))
		if !g.oneIn(8) {
			fmt.Fprintln(g.out, g.apply(e))
		}
	}
}

func (g *goldenRun) run() {
	g.start()
	for range goldenSteps {
		g.now += goldenStep
		for _, b := range g.brokers {
			g.stepBroker(b)
		}
		g.stepNodes()
		if g.oneIn(2) {
			g.stepNodeList()
		}
		all, next := g.planner.NextEntries(g.state, g.now)
		g.propose(all)
		fmt.Fprintln(g.out, next)
		if v := g.planner.FailedGate(); v != nil {
			fmt.Fprintln(g.out, v.Group, v.Metric, v)
		}
		r, _ := g.state.Release()
		switch {
		case g.oneIn(150):
			g.elect()
		case g.oneIn(120):
			g.apply(&statemachine.ResumeRelease{Release: r.Number})
		case g.oneIn(150):
			g.apply(&statemachine.RollBackRelease{Release: r.Number, Reason: "by hand"})
		case g.oneIn(60):
			g.plan()
		}
	}
}
