package store

import (
	"flaxfront/internal/decision"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// This file owns the tests of how parts and connections end.

func TestAnswers(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		b.send("a.1", "a.2")
		b.send("a.3") // no room for it on the first connection
		if len(b.fakeConns) != 2 || len(b.fakeConns[0].wrote) != 1 {
			t.Fatalf("%d connections", len(b.fakeConns))
		}
		b.fakeConns[0].incoming <- append(frame('a', "a.2 served 1 -\nv2"), frame('a', "a.1 broke - -\n")...)
		b.fakeConns[1].incoming <- frame('a', "a.3 skipped - -\n")
		b.handleEvents()
		b.expect("a.1 0", "a.2 1v2", "a.3 2")
		b.Cancel(b.send("a.4")[0])
		b.fakeConns[0].incoming <- frame('a', "a.4 served 1 -\nv4") // it crossed the cancel
		b.handleEvents()
		b.expect("a.4 6")
		if b.Counts.Late != 1 || b.Counts.Served != 1 || b.OpenConnections() != 2 {
			t.Errorf("%+v, %d open", b.Counts, b.OpenConnections())
		}
	})
}

// Whether a frame's last byte was written tells a part that may have run from one that never did (rule 2).
func TestOutcomesByWrittenState(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		b.dialErr = syscall.ECONNREFUSED
		b.send("a.1")
		b.expect("a.1 4")
		b.dialErr, b.dialDelay = nil, time.Second
		b.send("a.2")
		time.Sleep(testLimits.Dial)
		b.handleEvents()
		b.expect("a.2 4")
		b.dialDelay = 0
		b.send("a.3")
		b.fakeConns[0].end(syscall.ECONNRESET)
		b.handleEvents()
		b.expect("a.3 5")
	})
}

// A spoilt answer ends the connection and all that is out on it, at once, or where it never becomes whole after the
// time of a dial; what was good before it, or brings only a report that can't be read, is kept.
func TestBadFrames(t *testing.T) {
	good := frame('a', "b.1 served 1 -\nv")
	for _, c := range []struct {
		incoming string
		want     []string
		bad      uint64
	}{
		{string(frame('x', "")), []string{"b.1 5", "b.2 5"}, 1},
		{string(frame('a', "nonsense")), []string{"b.1 5", "b.2 5"}, 1},
		{string(frame('a', "b.1 done 1 -\nv")), []string{"b.1 5", "b.2 5"}, 1},
		{string(frame('e', "no such shard")), []string{"b.1 5", "b.2 5"}, 0},
		{"\x00\x00\x00\x00", []string{"b.1 5", "b.2 5"}, 1},
		{"\x00\x00\x00\xc0ab.1 served 1 -\nv", []string{"b.1 5", "b.2 5"}, 1},     // 3 GB
		{"\x00\x40\x00\x00ab.1 served 1 -\nvvvvv", []string{"b.1 5", "b.2 5"}, 1}, // never whole
		{string(frame('a', "b.9 served 1 -\nv")), []string{"b.1 5", "b.2 5"}, 1},
		{string(good) + "noise that is long", []string{"b.1 1v", "b.2 5"}, 1},
		{string(good) + string(good), []string{"b.1 1v", "b.2 5"}, 1},
		{string(frame('a', "b.1 served 1 load of nodes\nv")), []string{"b.1 1v"}, 0},
	} {
		runPoolTest(t, testLimits, func(b *poolTest) {
			b.send("b.1", "b.2")
			b.fakeConns[0].incoming <- []byte(c.incoming)
			b.handleEvents()
			time.Sleep(testLimits.Dial)
			b.handleEvents()
			b.expect(c.want...)
			if over := len(c.want) > 1; b.fakeConns[0].closed != over || b.Counts.Bad != c.bad {
				t.Errorf("%q: closed %v, %+v", c.incoming, b.fakeConns[0].closed, b.Counts)
			}
		})
	}
}

// Where the module wants it, a call shares a connection with no other while there are descriptors; retired ones carry on
// with what they have and get no more.
func TestExclusiveAndRetiredConnections(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		for _, id := range []string{"a.1", "a.2", "a.3", "a.4", "a.5"} {
			b.Send(testNode, []*Subrequest{{ID: id, Text: "x", Deadline: time.Hour, Node: testNode, Exclusive: true}})
			b.handleEvents()
		}
		if len(b.fakeConns) != testLimits.Conns {
			t.Fatalf("%d connections", len(b.fakeConns))
		}
		b.fakeConns[1].incoming <- frame('a', "a.2 served 1 -\nv")
		b.handleEvents()
		b.Retire(testNode)
		b.handleEvents()
		b.send("a.6")
		if len(b.fakeConns) != testLimits.Conns+1 || len(b.fakeConns[testLimits.Conns].wrote) != 1 || !b.fakeConns[1].closed || b.fakeConns[2].closed {
			t.Errorf("%d connections", len(b.fakeConns))
		}
		b.fakeConns[2].incoming <- frame('a', "a.3 served 1 -\nv")
		b.handleEvents()
		b.Sweep(b.since())
		b.handleEvents()
		b.expect("a.2 1v", "a.3 1v")
		if !b.fakeConns[2].closed || b.OpenConnections() != testLimits.Conns-1 {
			t.Errorf("%d open", b.OpenConnections())
		}
	})
}

// What a connection remembers of parts given up is bounded, and a node that the list ended is forgotten with its last
// connection.
func TestNodesAndIDsAreForgotten(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		for i := range 3 * maxAbandonedIDs {
			b.Cancel(b.send(fmt.Sprint("a.", i))[0])
		}
		b.fakeConns[0].incoming <- frame('a', fmt.Sprintf("a.%d served 1 -\nv", 3*maxAbandonedIDs-1))
		b.handleEvents()
		if c := b.nodes[testNode].conns[0]; len(c.abandonedIDs) > maxAbandonedIDs || b.Counts.Late != 1 || b.OpenConnections() != 1 {
			t.Errorf("%d ids kept, %+v", len(c.abandonedIDs), b.Counts)
		}
		b.outcomes = nil
		b.send("b.1")
		for i := range 100 {
			id := decision.NodeID{Port: uint16(100 + i)}
			b.SetNode(id, "s", netip.MustParseAddrPort("127.0.0.1:9"), decision.StartedLongAgo)
			b.RemoveNode(id)
			b.RemoveNode(testNode)
			b.Sweep(b.since())
		}
		if len(b.nodes) != 1 || len(b.nodeOrder) != 1 {
			t.Errorf("%d nodes kept while one has a part out", len(b.nodes))
		}
		b.fakeConns[0].incoming <- frame('a', "b.1 served 1 -\nv")
		b.handleEvents()
		b.expect("b.1 1v")
		b.Sweep(b.since())
		b.handleEvents()
		if len(b.nodes)+len(b.nodeOrder)+b.OpenConnections() != 0 || !b.fakeConns[0].closed {
			t.Errorf("%d nodes, %d connections kept", len(b.nodes), b.OpenConnections())
		}
	})
}
