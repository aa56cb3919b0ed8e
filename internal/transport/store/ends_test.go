package store

import (
	"flaxfront/internal/decision"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// This file tests how attempts and connections end.

func TestAnswers(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		b.send("a.1", "a.2")
		b.send("a.3") // the first connection has no free stream
		if len(b.fakeConns) != 2 || len(b.fakeConns[0].wrote) != 1 {
			t.Fatalf("%d connections", len(b.fakeConns))
		}
		b.fakeConns[0].incoming <- append(frame('a', "a.2 served 1 -\nv2"), frame('a', "a.1 broke - -\n")...)
		b.fakeConns[1].incoming <- frame('a', "a.3 skipped - -\n")
		b.handleEvents()
		b.expect("a.1 0", "a.2 1v2", "a.3 2")
		b.Cancel(b.send("a.4")[0])
		b.fakeConns[0].incoming <- frame('a', "a.4 served 1 -\nv4") // sent before the cancel arrived
		b.handleEvents()
		b.expect("a.4 6")
		if b.Counts.Late != 1 || b.Counts.Served != 1 || b.OpenConnections() != 2 {
			t.Errorf("%+v, %d open", b.Counts, b.OpenConnections())
		}
	})
}

// retry sends another attempt of a shard request.
func (b *poolTest) retry(earlier ...*Subrequest) *Subrequest {
	attempt := &Subrequest{ID: earlier[0].ID, Text: "x", Deadline: time.Hour, Node: testNode, Earlier: earlier}
	b.Send(testNode, []*Subrequest{attempt})
	b.handleEvents()
	return attempt
}

// Guards against an answer that comes twice or late being taken for that to the next attempt of the same shard request at the same node.
func TestAnswerBelongsToOneAttempt(t *testing.T) {
	skipped := frame('a', "a.1 skipped - -\n")
	runPoolTest(t, testLimits, func(b *poolTest) {
		first := b.send("a.1")[0]
		b.fakeConns[0].incoming <- skipped
		b.handleEvents()
		b.expect("a.1 2")
		second := b.retry(first)
		b.fakeConns[0].incoming <- skipped // the copy
		b.handleEvents()
		b.expect()
		if second.Ended() || len(b.fakeConns) != 2 {
			b.t.Fatalf("ended by the answer to the first attempt: %v; %d connections", second.Ended(), len(b.fakeConns))
		}
		b.fakeConns[1].incoming <- frame('a', "a.1 served 1 -\nv")
		b.handleEvents()
		b.expect("a.1 1v")
	})
	runPoolTest(t, testLimits, func(b *poolTest) {
		first := b.send("a.1")[0]
		b.Cancel(first)
		b.expect("a.1 6")
		second := b.retry(first)
		third := b.retry(first, second)
		b.fakeConns[0].incoming <- skipped // late: the first attempt was over when the node came to it
		b.handleEvents()
		b.expect()
		if second.Ended() || third.Ended() || len(b.fakeConns) != 3 {
			b.t.Errorf("attempts ended: %v, %v, over %d connections", second.Ended(), third.Ended(), len(b.fakeConns))
		}
	})
}

// Where every connection to a node carried an earlier attempt and none may be opened, the attempt is not sent.
func TestNoConnectionForAnotherAttempt(t *testing.T) {
	limits := testLimits
	limits.Conns = 1
	runPoolTest(t, limits, func(b *poolTest) {
		first := b.send("a.1")[0]
		b.retry(first)
		b.expect("a.1 4")
		b.fakeConns[0].incoming <- frame('a', "a.1 skipped - -\n")
		b.handleEvents()
		b.expect("a.1 2")
		b.retry(first) // the idle connection gives way
		if len(b.fakeConns) != 2 || len(b.fakeConns[1].wrote) != 1 {
			b.t.Errorf("%d connections", len(b.fakeConns))
		}
	})
}

// An attempt whose frame was written completely may have run and ends as reset; any other never ran and ends as failed to connect.
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

// A malformed frame ends the connection and its attempts at once, and a frame that never becomes complete after Limits.Dial. Valid answers
// before it are kept, and so are answers whose load report can't be parsed.
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
		{"\x00\x40\x00\x00ab.1 served 1 -\nvvvvv", []string{"b.1 5", "b.2 5"}, 1}, // never complete
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

// An exclusive call gets a connection of its own while the limit allows one. Retired connections keep their attempts in flight and get no new
// ones.
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

// A connection remembers a limited number of abandoned attempts, and a node that is no longer listed is deleted with its last connection.
func TestNodesAndIDsAreForgotten(t *testing.T) {
	runPoolTest(t, testLimits, func(b *poolTest) {
		for i := range 3 * maxAbandonedIDs {
			b.Cancel(b.send(fmt.Sprint("a.", i))[0])
		}
		b.fakeConns[0].incoming <- frame('a', fmt.Sprintf("a.%d served 1 -\nv", 3*maxAbandonedIDs-1))
		b.handleEvents()
		if c := b.nodes[testNode].conns[0]; len(c.abandonedIDs) > maxAbandonedIDs || b.Counts.Late != 1 || b.OpenConnections() != 1 {
			t.Errorf("%d ids of abandoned attempts kept, %+v", len(c.abandonedIDs), b.Counts)
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
			t.Errorf("%d nodes kept, want only the one with an attempt in flight", len(b.nodes))
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
