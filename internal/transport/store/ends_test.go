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
	run(t, usual, func(b *bench) {
		b.send("a.1", "a.2")
		b.send("a.3") // no room for it on the first connection
		if len(b.pipes) != 2 || len(b.pipes[0].wrote) != 1 {
			t.Fatalf("%d connections", len(b.pipes))
		}
		b.pipes[0].say <- append(frame('a', "a.2 served 1 -\nv2"), frame('a', "a.1 broke - -\n")...)
		b.pipes[1].say <- frame('a', "a.3 skipped - -\n")
		b.settle()
		b.expect("a.1 0", "a.2 1v2", "a.3 2")
		b.Cancel(b.send("a.4")[0])
		b.pipes[0].say <- frame('a', "a.4 served 1 -\nv4") // it crossed the cancel
		b.settle()
		b.expect("a.4 6")
		if b.Counts.Late != 1 || b.Counts.Served != 1 || b.Open() != 2 {
			t.Errorf("%+v, %d open", b.Counts, b.Open())
		}
	})
}

// Whether a frame's last byte was written tells a part that may have run from one that never did (rule 2).
func TestHowConnectionsEnd(t *testing.T) {
	run(t, usual, func(b *bench) {
		b.fail = syscall.ECONNREFUSED
		b.send("a.1")
		b.expect("a.1 4")
		b.fail, b.hold = nil, time.Second
		b.send("a.2")
		time.Sleep(usual.Dial)
		b.settle()
		b.expect("a.2 4")
		b.hold = 0
		b.send("a.3")
		b.pipes[0].end(syscall.ECONNRESET)
		b.settle()
		b.expect("a.3 5")
	})
}

// A spoilt answer ends the connection and all that is out on it, at once, or where it never becomes whole after the
// time of a dial; what was good before it, or brings only a report that can't be read, is kept.
func TestSpoiltAnswers(t *testing.T) {
	good := frame('a', "b.1 served 1 -\nv")
	for _, c := range []struct {
		say  string
		want []string
		bad  uint64
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
		run(t, usual, func(b *bench) {
			b.send("b.1", "b.2")
			b.pipes[0].say <- []byte(c.say)
			b.settle()
			time.Sleep(usual.Dial)
			b.settle()
			b.expect(c.want...)
			if over := len(c.want) > 1; b.pipes[0].closed != over || b.Counts.Bad != c.bad {
				t.Errorf("%q: closed %v, %+v", c.say, b.pipes[0].closed, b.Counts)
			}
		})
	}
}

// Where the module wants it, a call shares a connection with no other while there are descriptors; retired ones carry on
// with what they have and get no more.
func TestAloneAndRetired(t *testing.T) {
	run(t, usual, func(b *bench) {
		for _, id := range []string{"a.1", "a.2", "a.3", "a.4", "a.5"} {
			b.Send(at, []*Part{{ID: id, Text: "x", Deadline: time.Hour, Node: at, Alone: true}})
			b.settle()
		}
		if len(b.pipes) != usual.Conns {
			t.Fatalf("%d connections", len(b.pipes))
		}
		b.pipes[1].say <- frame('a', "a.2 served 1 -\nv")
		b.settle()
		b.Retire(at)
		b.settle()
		b.send("a.6")
		if len(b.pipes) != usual.Conns+1 || len(b.pipes[usual.Conns].wrote) != 1 || !b.pipes[1].closed || b.pipes[2].closed {
			t.Errorf("%d connections", len(b.pipes))
		}
		b.pipes[2].say <- frame('a', "a.3 served 1 -\nv")
		b.settle()
		b.Sweep(b.since())
		b.settle()
		b.expect("a.2 1v", "a.3 1v")
		if !b.pipes[2].closed || b.Open() != usual.Conns-1 {
			t.Errorf("%d open", b.Open())
		}
	})
}

// What a connection remembers of parts given up is bounded, and a node that the list ended is forgotten with its last
// connection.
func TestNodesAndIDsAreForgotten(t *testing.T) {
	run(t, usual, func(b *bench) {
		for i := range 3 * offMost {
			b.Cancel(b.send(fmt.Sprint("a.", i))[0])
		}
		b.pipes[0].say <- frame('a', fmt.Sprintf("a.%d served 1 -\nv", 3*offMost-1))
		b.settle()
		if c := b.nodes[at].conns[0]; len(c.off) > offMost || b.Counts.Late != 1 || b.Open() != 1 {
			t.Errorf("%d ids kept, %+v", len(c.off), b.Counts)
		}
		b.ends = nil
		b.send("b.1")
		for i := range 100 {
			id := decision.NodeID{Port: uint16(100 + i)}
			b.Point(id, "s", netip.MustParseAddrPort("127.0.0.1:9"), decision.StartedLongAgo)
			b.Drop(id)
			b.Drop(at)
			b.Sweep(b.since())
		}
		if len(b.nodes) != 1 || len(b.order) != 1 {
			t.Errorf("%d nodes kept while one has a part out", len(b.nodes))
		}
		b.pipes[0].say <- frame('a', "b.1 served 1 -\nv")
		b.settle()
		b.expect("b.1 1v")
		b.Sweep(b.since())
		b.settle()
		if len(b.nodes)+len(b.order)+b.Open() != 0 || !b.pipes[0].closed {
			t.Errorf("%d nodes, %d connections kept", len(b.nodes), b.Open())
		}
	})
}
