package server

// This file owns one broker and two nodes to which things happen in a stated order, and what must hold after each of them.

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

// happening is one thing that comes to the loop.
type happening string

const (
	asked     happening = "asked"
	left      happening = "left"       // the client has gone
	drained   happening = "drained"    // the list drains the node that has the connection
	unlisted  happening = "unlisted"   // a whole list does not name it
	restarted happening = "restarted"  // the list tells a newer start of it
	failed    happening = "list fails" // a call to discovery
	rises     happening = "rises"      // the connections that are being opened come up
	served    happening = "served"     // what is out is answered
	resets    happening = "resets"     // the connections that are up break
	passes    happening = "passes"     // the query's time
)

// order is one broker in one order of events, with two nodes that hold the one shard.
type order struct {
	t       *testing.T
	core    *Core
	now     time.Duration
	due     time.Duration // when the client's time is up
	nodes   []discovery.Node
	open    []*orderLink
	events  []store.Event // that the wire brings
	held    PendingQuery
	put     bool
	gone    bool            // the client has left and the loop has heard of it
	barred  map[string]bool // nodes that the loop has been told to send nothing
	answers int
	sent    int
	course  []string
}

// orderLink is a connection of it.
type orderLink struct {
	o      *order
	node   string
	handle store.Handle
	up     bool
	down   bool
	out    []string // attempts written and not answered
}

func (l *orderLink) Read([]byte) (int, error)          { return 0, nil }
func (l *orderLink) Close() error                      { return nil }
func (l *orderLink) SetReadDeadline(t time.Time) error { return nil }

// TryWrite takes one frame, and checks that it may come now.
func (l *orderLink) TryWrite(b []byte) (int, error) {
	if b[4] == 'q' {
		id, _, _ := strings.Cut(string(b[5:]), " ")
		l.out = append(l.out, id)
		l.o.sent++
		switch {
		case l.o.gone:
			l.o.fail("%s was sent for a client that had gone", id)
		case l.o.answers > 0:
			l.o.fail("%s was sent after the answer", id)
		case l.o.barred[l.node]:
			l.o.fail("%s was sent to %s, which is drained or gone", id, l.node)
		case l.o.now >= l.o.due:
			l.o.fail("%s was sent when its client's time was up", id)
		}
	}
	return len(b), nil
}

func (o *order) fail(format string, args ...any) {
	o.t.Helper()
	o.t.Errorf("%s: %s", strings.Join(o.course, ", "), fmt.Sprintf(format, args...))
}

func newOrder(t *testing.T) *order {
	o := &order{t: t, barred: map[string]bool{}}
	tm := testTerms(t)
	a := Environment{Now: func() time.Duration { return o.now }, Start: time.Unix(0, 0), Sockets: 64, PollDiscovery: func() {}, SendGossip: func(string) {},
		Log: func(string) {}}
	a.Carrier = func(node string, _ netip.AddrPort, h store.Handle) func() {
		l := &orderLink{o: o, node: node, handle: h}
		o.open = append(o.open, l)
		return func() {
			if !l.down {
				l.down = true
				o.events = append(o.events, h.Down(o.now, nil))
			}
		}
	}
	var err error
	if o.core, err = NewCore(&tm, operator.Default(), func(t decision.Settings) decision.Router { return routing.New(t) }, a); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		name := fmt.Sprint("s-", i)
		n := nodeAt(name, decision.Ready)
		n.Endpoint.StartedAt = decision.StartedLongAgo
		o.nodes = append(o.nodes, n)
	}
	o.core.HandleList(&discovery.List{Full: true, Nodes: slices.Clone(o.nodes)}, nil)
	o.core.Step()
	return o
}

// busy is the first node to which a connection was opened.
func (o *order) busy() *discovery.Node {
	at := 0
	if len(o.open) > 0 {
		at = slices.IndexFunc(o.nodes, func(n discovery.Node) bool { return n.Name == o.open[0].node })
	}
	return &o.nodes[at]
}

func (o *order) happens(h happening) {
	switch h {
	case asked:
		o.put, o.due = true, o.now+time.Second
		o.held = o.core.Submit(&Query{ID: "a", Timeout: time.Second, Text: "x", Shards: []int{0}, Weights: []float64{1}},
			func(QueryResult) { o.answers++ })
	case left:
		if o.put {
			o.core.Abandon(o.held, false)
			o.gone = true
		}
	case drained, unlisted, restarted:
		o.lists(h)
	case failed:
		o.core.HandleList(nil, fmt.Errorf("no list"))
	case rises:
		for _, l := range slices.Clone(o.open) {
			if !l.up && !l.down {
				l.up = true
				o.core.HandleConnection(l.handle.Up(o.now, l))
			}
		}
	case served:
		for _, l := range slices.Clone(o.open) {
			for _, id := range l.out {
				if !l.down {
					o.core.HandleConnection(l.handle.Answered(o.now, store.Answer{ID: id, Value: "v"}))
				}
			}
			l.out = nil
		}
	case resets:
		for _, l := range slices.Clone(o.open) {
			if l.up && !l.down {
				l.down = true
				o.core.HandleConnection(l.handle.Down(o.now, fmt.Errorf("reset")))
			}
		}
	case passes:
		if o.now += time.Second; o.put {
			o.now = o.due
			o.core.Abandon(o.held, true)
		}
	}
}

func (o *order) lists(h happening) {
	n := *o.busy()
	switch h {
	case drained:
		n.Endpoint.State = decision.Draining
		o.barred[n.Name] = true
		o.core.HandleList(&discovery.List{Nodes: []discovery.Node{n}}, nil)
	case unlisted:
		others := slices.DeleteFunc(slices.Clone(o.nodes), func(x discovery.Node) bool { return x.Name == n.Name })
		o.barred = map[string]bool{n.Name: true} // the others are named as in service
		o.core.HandleList(&discovery.List{Full: true, Nodes: others}, nil)
	case restarted:
		n.Endpoint.StartedAt = max(1, o.now)
		delete(o.barred, n.Name) // it serves again
		o.core.HandleList(&discovery.List{Nodes: []discovery.Node{n}}, nil)
	}
}

// settle has the loop take all that the wire brings, and its steps.
func (o *order) settle() {
	for range 3 {
		for _, e := range o.events {
			o.core.HandleConnection(e)
		}
		o.events = nil
		o.core.Step()
	}
}

// ends lets time pass until nothing can be owed any more, and checks what every order ends in.
func (o *order) ends() {
	for _, step := range []time.Duration{5 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		if o.now += step; o.now >= o.due && o.put {
			o.core.Abandon(o.held, true)
		}
		o.settle()
	}
	switch n := o.core.Counters(); {
	case !o.put:
	case !o.held.Done():
		o.fail("the search has no end")
	case o.answers > 1:
		o.fail("%d answers", o.answers)
	case n.Received != n.Answered+n.Shed+n.Failed+n.Abandoned || n.InFlight != 0 || n.AttemptsInFlight != 0:
		o.fail("%+v", n)
	case o.answers == 0 && n.Abandoned != 1:
		o.fail("neither an answer nor a departure")
	}
}
