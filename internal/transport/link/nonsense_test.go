package link

// This file tests sides that speak nonsense, do not read, or are cut off.

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

// raw is a connection to the far side that speaks for itself once the hello is over.
func raw(t *testing.T, far *side, near *side) (*tls.Conn, *bufio.Reader) {
	t.Helper()
	c, err := tls.Dial("tcp", far.ln.Addr().String(), near.opts.Keys.Client(func(keys.ID) error { return nil }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	b, _ := appendFrame(nil, letterHello, Hello{Min: 1, Max: 2, Site: "site-a", Broker: "n0", Epoch: 5, Window: 1000})
	c.Write(b)
	in := bufio.NewReader(c)
	if _, err := readFrame(in, new(bytes.Buffer), maxHello); err != nil {
		t.Fatal(err)
	}
	far.until(t, "up", isUp)
	return c, in
}

// Whatever nonsense comes ends that link with a reason, and nothing of it reaches the loop.
func TestNonsense(t *testing.T) {
	near, far, _ := sides(t, both, both)
	near.until(t, "near up", isUp)
	near.stop()
	far.until(t, "the other up", isUp)
	far.until(t, "the other down", isDown)
	bad, _ := appendFrame(nil, letterAsk, Ask{ID: 1})
	verdict, _ := appendFrame(nil, letterVerdict, Verdict{ID: 1})
	grants, _ := appendFrame(nil, letterGrant, grant{Bytes: -5})
	status, _ := appendFrame(nil, letterBeat, beat{Seq: 1, Status: &Status{Room: 7}})
	for what, c := range map[string]struct {
		bytes  []byte
		reason string
	}{
		"noise":                    {[]byte("GET / HTTP/1.1\r\n\r\n"), "bad_frame"},
		"an endless frame":         {append(binary.LittleEndian.AppendUint32(nil, maxFrame), 'a'), "not_heard"},
		"an ask of nothing":        {bad, "bad_frame"},
		"a verdict from the asker": {verdict, "bad_frame"},
		"a grant below nothing":    {grants, "bad_frame"},
		"a status out of range":    {status, "bad_frame"},
		"silence":                  {nil, "silent"},
	} {
		conn, _ := raw(t, far, near)
		conn.Write(c.bytes)
		if e := far.until(t, what, isDown); e.Down.Reason != c.reason {
			t.Errorf("%s: ended as %s", what, e.Down.Reason)
		}
		conn.Close()
	}
	for _, e := range far.held {
		if e.Ask != nil || e.Verdict != nil || e.Heard != nil {
			t.Errorf("%+v reached the loop", e)
		}
	}
}

// A side that asks and does not read takes a stated memory, and then the link ends.
func TestDoesNotRead(t *testing.T) {
	near, far, _ := sides(t, both, both)
	near.until(t, "near up", isUp)
	near.stop()
	far.until(t, "the other up", isUp)
	far.until(t, "the other down", isDown)
	conn, _ := raw(t, far, near)
	a, _ := appendFrame(nil, letterAsk, ask(1))
	conn.Write(a)
	in := far.until(t, "the ask", func(e Event) bool { return e.Ask != nil })
	most := 0
	for range 200 {
		in.Conn.Verdict(Verdict{ID: 1, Pieces: []Piece{{Shard: 1, Value: strings.Repeat("v", 20_000)}}})
		in.Conn.mu.Lock()
		most = max(most, in.Conn.bytes)
		in.Conn.mu.Unlock()
	}
	if e := far.until(t, "down", isDown); e.Down.Reason != "does_not_read" && e.Down.Reason != "stuck" {
		t.Errorf("ended as %s", e.Down.Reason)
	}
	if most > queueBytes {
		t.Errorf("%d bytes were held", most)
	}
}

// Asks that have not left when the link ends are told apart: they never ran.
func TestUnsent(t *testing.T) {
	c := &Conn{Peer: 0, wake: make(chan struct{}, 1), sent: map[uint64]time.Time{}, post: func(Event) {}}
	a, b := net.Pipe()
	defer b.Close()
	c.net = a
	for id := range uint64(3) {
		if !c.Ask(ask(id)) {
			t.Fatal("no room")
		}
	}
	c.Cancel(1)
	if _, isAsk, _ := c.next(); !isAsk {
		t.Fatal("nothing to write")
	}
	var unsent []uint64
	for _, q := range c.queue {
		unsent = append(unsent, q.ask)
	}
	if fmt.Sprint(unsent) != "[2]" {
		t.Errorf("unsent %v", unsent)
	}
	c.Close("test")
	if c.Ask(ask(9)) {
		t.Error("sent over a link that has ended")
	}
}

func FuzzFrames(f *testing.F) {
	for _, v := range []struct {
		letter byte
		body   any
	}{{letterAsk, ask(3)}, {letterVerdict, Verdict{ID: 3, Pieces: []Piece{{Shard: 1, Value: "v"}}}}, {letterBeat, beat{Seq: 1}},
		{letterHello, Hello{Min: 1, Max: 2}}, {letterGrant, grant{Bytes: 7}}} {
		b, _ := appendFrame(nil, v.letter, v.body)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var body bytes.Buffer
		letter, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), &body, maxFrame)
		if err != nil {
			return
		}
		for _, peer := range []int{0, -1} {
			c := &Conn{Peer: peer, version: 2, wake: make(chan struct{}, 1), sent: map[uint64]time.Time{}}
			c.net, _ = net.Pipe()
			c.post = func(e Event) {
				if e.Ask != nil && (len(e.Ask.Parts) == 0 || e.Ask.Left <= 0) || e.Verdict != nil && e.Verdict.Kind > Failed {
					t.Errorf("let through %+v", e)
				}
			}
			c.take(letter, bytes.Clone(body.Bytes()))
		}
	})
}
