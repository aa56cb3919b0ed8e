package link

// This file tests sides that send invalid frames, or do not read, and queries that are not sent before a link ends.

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/transport/keys"
)

// dialRaw returns a connection to the far side over which the test writes bytes itself once the hellos are exchanged.
func dialRaw(t *testing.T, far *side, near *side) (*tls.Conn, *bufio.Reader) {
	t.Helper()
	c, err := tls.Dial("tcp", far.ln.Addr().String(), near.opts.Keys.Client(func(keys.ID) error { return nil }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	b, _ := appendFrame(nil, frameHello, Hello{MinVersion: 1, MaxVersion: 2, Site: "site-a", Broker: "n0", Epoch: 5, Window: 1000})
	c.Write(b)
	in := bufio.NewReader(c)
	if _, err := readFrame(in, new(bytes.Buffer), maxHelloFrame); err != nil {
		t.Fatal(err)
	}
	far.waitFor(t, "up", isUp)
	return c, in
}

// TestInvalidFrames: an invalid frame ends the link with a reason code, and no event of it reaches the loop.
func TestInvalidFrames(t *testing.T) {
	near, far, _ := connectedSides(t, allVersions, allVersions)
	near.waitFor(t, "near up", isUp)
	near.stop()
	far.waitFor(t, "the other up", isUp)
	far.waitFor(t, "the other down", isDown)
	empty, _ := appendFrame(nil, frameQuery, Query{ID: 1})
	reply, _ := appendFrame(nil, frameReply, Reply{ID: 1})
	update, _ := appendFrame(nil, frameWindowUpdate, windowUpdate{Bytes: -5})
	status, _ := appendFrame(nil, frameHeartbeat, heartbeat{Seq: 1, Status: &Status{FreeCapacity: 7}})
	for what, c := range map[string]struct {
		bytes  []byte
		reason string
	}{
		"an HTTP request":                {[]byte("GET / HTTP/1.1\r\n\r\n"), "bad_frame"},
		"an incomplete frame":            {append(binary.LittleEndian.AppendUint32(nil, maxFrame), 'a'), "not_heard"},
		"a query without shards":         {empty, "bad_frame"},
		"a reply from the dialling side": {reply, "bad_frame"},
		"a negative window update":       {update, "bad_frame"},
		"a status out of range":          {status, "bad_frame"},
		"silence":                        {nil, "silent"},
	} {
		conn, _ := dialRaw(t, far, near)
		conn.Write(c.bytes)
		if e := far.waitFor(t, what, isDown); e.Down.Reason != c.reason {
			t.Errorf("%s: ended with reason %s", what, e.Down.Reason)
		}
		conn.Close()
	}
	for _, e := range far.pending {
		if e.Query != nil || e.Reply != nil || e.Heartbeat != nil {
			t.Errorf("%+v reached the loop", e)
		}
	}
}

// A side that sends a query and does not read the replies may use only maxQueuedBytes; then the link ends.
func TestSideThatDoesNotRead(t *testing.T) {
	near, far, _ := connectedSides(t, allVersions, allVersions)
	near.waitFor(t, "near up", isUp)
	near.stop()
	far.waitFor(t, "the other up", isUp)
	far.waitFor(t, "the other down", isDown)
	conn, _ := dialRaw(t, far, near)
	a, _ := appendFrame(nil, frameQuery, query(1))
	conn.Write(a)
	in := far.waitFor(t, "the query", func(e Event) bool { return e.Query != nil })
	maxQueued := 0
	for range 200 {
		in.Conn.Reply(Reply{ID: 1, ShardAnswers: []ShardAnswer{{Shard: 1, Value: strings.Repeat("v", 20_000)}}})
		in.Conn.mu.Lock()
		maxQueued = max(maxQueued, in.Conn.queuedBytes)
		in.Conn.mu.Unlock()
	}
	if e := far.waitFor(t, "down", isDown); e.Down.Reason != "does_not_read" && e.Down.Reason != "stuck" {
		t.Errorf("ended with reason %s", e.Down.Reason)
	}
	if maxQueued > maxQueuedBytes {
		t.Errorf("%d bytes were queued, more than the limit", maxQueued)
	}
}

// Queries that were not written before the link ended are reported as unsent: they never ran.
func TestUnsentQueries(t *testing.T) {
	c := &Conn{Peer: 0, wake: make(chan struct{}, 1), unacked: map[uint64]time.Time{}, post: func(Event) {}}
	a, b := net.Pipe()
	defer b.Close()
	c.net = a
	for id := range uint64(3) {
		if !c.Query(query(id)) {
			t.Fatal("query not queued")
		}
	}
	c.Cancel(1)
	if b, _ := c.nextFrame(); len(b) < 5 || b[4] != frameQuery {
		t.Fatal("no query to write")
	}
	var unsent []uint64
	for _, m := range c.queue {
		unsent = append(unsent, m.query.ID)
	}
	if fmt.Sprint(unsent) != "[2]" {
		t.Errorf("unsent %v", unsent)
	}
	c.Close("test")
	if c.Query(query(9)) {
		t.Error("a query was queued on a link that has ended")
	}
}

func FuzzFrames(f *testing.F) {
	for _, v := range []struct {
		frameType byte
		body      any
	}{{frameQuery, query(3)}, {frameReply, Reply{ID: 3, ShardAnswers: []ShardAnswer{{Shard: 1, Value: "v"}}}}, {frameHeartbeat, heartbeat{Seq: 1}},
		{frameHello, Hello{MinVersion: 1, MaxVersion: 2}}, {frameWindowUpdate, windowUpdate{Bytes: 7}}} {
		b, _ := appendFrame(nil, v.frameType, v.body)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var body bytes.Buffer
		frameType, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), &body, maxFrame)
		if err != nil {
			return
		}
		for _, peer := range []int{0, -1} {
			c := &Conn{Peer: peer, version: 2, wake: make(chan struct{}, 1), unacked: map[uint64]time.Time{}}
			c.net, _ = net.Pipe()
			c.post = func(e Event) {
				if e.Query != nil && (len(e.Query.ShardRequests) == 0 || e.Query.RemainingMicros <= 0) || e.Reply != nil && e.Reply.Kind > Failed {
					t.Errorf("invalid event posted: %+v", e)
				}
			}
			c.handleFrame(frameType, bytes.Clone(body.Bytes()))
		}
	})
}
