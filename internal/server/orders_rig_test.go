package server

// Runs one broker with two nodes through a given order of events, and checks what must hold after each event.

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/decision"
	"flaxfront/internal/decision/routing"
	"flaxfront/internal/discovery"
	"flaxfront/internal/transport/store"
)

// orderEvent is one event that comes to the loop.
type orderEvent string

const (
	querySubmitted   orderEvent = "asked"
	clientLeaves     orderEvent = "left"       // the client departs
	nodeDrained      orderEvent = "drained"    // the list drains the connected node
	nodeUnlisted     orderEvent = "unlisted"   // a full list lacks the connected node
	nodeRestarted    orderEvent = "restarted"  // the list has a newer start of the connected node
	pollFails        orderEvent = "list fails" // a poll of discovery fails
	connectionsOpen  orderEvent = "rises"      // connections being opened are established
	attemptsAnswered orderEvent = "served"     // unanswered attempts are answered
	connectionsReset orderEvent = "resets"     // established connections are reset
	deadlinePasses   orderEvent = "passes"     // the query's deadline
)

// orderRun is one broker in one order of events, with two replicas of its only shard.
type orderRun struct {
	t         *testing.T
	core      *Core
	now       time.Duration
	deadline  time.Duration // of the query
	nodes     []discovery.Node
	conns     []*orderConn
	events    []store.Event // of connections, not yet handled
	pending   PendingQuery
	submitted bool
	departed  bool            // the client has departed, and the loop was told
	unusable  map[string]bool // nodes that the loop was told are drained or removed
	answers   int
	sent      int
	history   []string
}

// orderConn is a connection of an orderRun to a node.
type orderConn struct {
	run        *orderRun
	node       string
	handle     store.Handle
	up         bool
	down       bool
	unanswered []string // attempts sent and not answered
}

func (l *orderConn) Read([]byte) (int, error)          { return 0, nil }
func (l *orderConn) Close() error                      { return nil }
func (l *orderConn) SetReadDeadline(t time.Time) error { return nil }

// TryWrite receives one frame, and checks that it may be sent now.
func (l *orderConn) TryWrite(b []byte) (int, error) {
	if b[4] == 'q' {
		id, _, _ := strings.Cut(string(b[5:]), " ")
		l.unanswered = append(l.unanswered, id)
		l.run.sent++
		switch {
		case l.run.departed:
			l.run.fail("%s was sent after its client departed", id)
		case l.run.answers > 0:
			l.run.fail("%s was sent after the query's result", id)
		case l.run.unusable[l.node]:
			l.run.fail("%s was sent to %s, which is drained or removed", id, l.node)
		case l.run.now >= l.run.deadline:
			l.run.fail("%s was sent after the query's deadline", id)
		}
	}
	return len(b), nil
}

func (o *orderRun) fail(format string, args ...any) {
	o.t.Helper()
	o.t.Errorf("%s: %s", strings.Join(o.history, ", "), fmt.Sprintf(format, args...))
}

func newOrderRun(t *testing.T) *orderRun {
	run := &orderRun{t: t, unusable: map[string]bool{}}
	tm := testTerms(t)
	a := Environment{Now: func() time.Duration { return run.now }, Start: time.Unix(0, 0), Sockets: 64, PollDiscovery: func() {}, SendGossip: func(string) {},
		Log: func(string) {}}
	a.Carrier = func(node string, _ netip.AddrPort, h store.Handle) func() {
		l := &orderConn{run: run, node: node, handle: h}
		run.conns = append(run.conns, l)
		return func() {
			if !l.down {
				l.down = true
				run.events = append(run.events, h.Down(run.now, nil))
			}
		}
	}
	var err error
	if run.core, err = NewCore(&tm, operator.Default(), func(t decision.Settings) decision.Router { return routing.New(t) }, a); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		name := fmt.Sprint("s-", i)
		n := nodeAt(name, decision.Ready)
		n.Endpoint.StartedAt = decision.StartedLongAgo
		run.nodes = append(run.nodes, n)
	}
	run.core.HandleList(&discovery.List{Full: true, Nodes: slices.Clone(run.nodes)}, nil)
	run.core.Step()
	return run
}

// connectedNode returns the first node to which a connection was opened, or the first node if there is none.
func (o *orderRun) connectedNode() *discovery.Node {
	at := 0
	if len(o.conns) > 0 {
		at = slices.IndexFunc(o.nodes, func(n discovery.Node) bool { return n.Name == o.conns[0].node })
	}
	return &o.nodes[at]
}

func (o *orderRun) apply(h orderEvent) {
	switch h {
	case querySubmitted:
		o.submitted, o.deadline = true, o.now+time.Second
		o.pending = o.core.Submit(&Query{ID: "a", Timeout: time.Second, Text: "x", Shards: []int{0}, Weights: []float64{1}},
			func(QueryResult) { o.answers++ })
	case clientLeaves:
		if o.submitted {
			o.core.Abandon(o.pending, false)
			o.departed = true
		}
	case nodeDrained, nodeUnlisted, nodeRestarted:
		o.applyListEvent(h)
	case pollFails:
		o.core.HandleList(nil, fmt.Errorf("no list"))
	case connectionsOpen:
		for _, l := range slices.Clone(o.conns) {
			if !l.up && !l.down {
				l.up = true
				o.core.HandleConnection(l.handle.Up(o.now, l))
			}
		}
	case attemptsAnswered:
		for _, l := range slices.Clone(o.conns) {
			for _, id := range l.unanswered {
				if !l.down {
					o.core.HandleConnection(l.handle.Answered(o.now, store.Answer{ID: id, Value: "v"}))
				}
			}
			l.unanswered = nil
		}
	case connectionsReset:
		for _, l := range slices.Clone(o.conns) {
			if l.up && !l.down {
				l.down = true
				o.core.HandleConnection(l.handle.Down(o.now, fmt.Errorf("reset")))
			}
		}
	case deadlinePasses:
		if o.now += time.Second; o.submitted {
			o.now = o.deadline
			o.core.Abandon(o.pending, true)
		}
	}
}

func (o *orderRun) applyListEvent(h orderEvent) {
	n := *o.connectedNode()
	switch h {
	case nodeDrained:
		n.Endpoint.State = decision.Draining
		o.unusable[n.Name] = true
		o.core.HandleList(&discovery.List{Nodes: []discovery.Node{n}}, nil)
	case nodeUnlisted:
		others := slices.DeleteFunc(slices.Clone(o.nodes), func(x discovery.Node) bool { return x.Name == n.Name })
		o.unusable = map[string]bool{n.Name: true} // the list has the other node as ready
		o.core.HandleList(&discovery.List{Full: true, Nodes: others}, nil)
	case nodeRestarted:
		n.Endpoint.StartedAt = max(1, o.now)
		delete(o.unusable, n.Name) // it is ready again
		o.core.HandleList(&discovery.List{Nodes: []discovery.Node{n}}, nil)
	}
}

// settle lets the loop handle all connection events, and step.
func (o *orderRun) settle() {
	for range 3 {
		for _, e := range o.events {
			o.core.HandleConnection(e)
		}
		o.events = nil
		o.core.Step()
	}
}

// finish advances time past all deadlines, and checks what must hold at the end of every order.
func (o *orderRun) finish() {
	for _, step := range []time.Duration{5 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		if o.now += step; o.now >= o.deadline && o.submitted {
			o.core.Abandon(o.pending, true)
		}
		o.settle()
	}
	switch n := o.core.Counters(); {
	case !o.submitted:
	case !o.pending.Done():
		o.fail("the query has not ended")
	case o.answers > 1:
		o.fail("the query got %d results", o.answers)
	case n.Received != n.Answered+n.Shed+n.Failed+n.Abandoned || n.InFlight != 0 || n.AttemptsInFlight != 0:
		o.fail("counters do not add up: %+v", n)
	case o.answers == 0 && n.Abandoned != 1:
		o.fail("the query has neither a result nor was it abandoned")
	}
}
