package back

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/protocols/catalogue"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
	"flaxfront/internal/transport/store"
)

// startScriptedNode starts a simulated node that answers the n-th message with the bytes that answer returns; nil closes the connection.
func startScriptedNode(t *testing.T, answer func(n int, m z3950.Message) []byte) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					m, err := z3950.Read(in)
					if err != nil {
						return
					}
					b := answer(n, m)
					if b == nil {
						return
					}
					conn.Write(b)
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// runAttempt sends one attempt to a node through a pool and returns its outcome and value. It cancels the attempt after cancelAfter,
// unless that is 0.
func runAttempt(t *testing.T, addr netip.AddrPort, cancelAfter time.Duration) (how decision.Outcome, value string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := make(chan store.Event, 100)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	ended := make(chan struct{}, 1)
	p := store.NewPool(ctx, store.Limits{Streams: 1, Idle: time.Minute, Dial: 200 * time.Millisecond, Silent: time.Second, Conns: 4}, nil, now,
		func(f func() error) { go f() }, func(e store.Event) { events <- e }, func(_ *store.Subrequest, o decision.Outcome, _ time.Duration, v string) {
			how, value = o, v
			ended <- struct{}{}
		})
	p.SetCarrier(Carrier(ctx, Options{Protocol: "z3950", Database: "d", Dial: 200 * time.Millisecond, Now: now, Post: func(e store.Event) { events <- e }}))
	id := decision.NodeID{Port: 1}
	p.SetNode(id, "n", addr, decision.StartedLongAgo)
	_, rpn, _ := query.ParsePQF("cat")
	part := &store.Subrequest{ID: "s.0", Text: (&catalogue.Want{Depth: 3, Syntax: "marcxml", Query: rpn}).Statement(), Deadline: 600 * time.Millisecond, Node: id}
	p.Send(id, []*store.Subrequest{part})
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return how, value
		case e := <-events:
			p.HandleEvent(e)
		case <-tick.C:
			if p.Sweep(now()); cancelAfter > 0 && now() > cancelAfter {
				p.Cancel(part)
			}
		}
	}
}

func acceptInit(m z3950.Message) []byte {
	if _, is := m.(*z3950.InitRequest); is {
		return z3950.Encode(&z3950.InitResponse{InitRequest: z3950.InitRequest{Search: true, Present: true}, Accepted: true})
	}
	return nil
}

func commonOf(m z3950.Message) z3950.Common {
	switch m := m.(type) {
	case *z3950.SearchRequest:
		return m.Common
	case *z3950.PresentRequest:
		return m.Common
	}
	return z3950.Common{}
}

// The outcome of an attempt for each way in which a node can fail: it did not run, it may have run, or the node rejected it. The
// architecture page has the same table.
func TestAttemptOutcomes(t *testing.T) {
	record := z3950.Record{Syntax: z3950.XML, Body: []byte("<r/>")}
	good := func(m z3950.Message) []byte {
		if _, is := m.(*z3950.SearchRequest); is {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Count: 5, OK: true})
		}
		p := m.(*z3950.PresentRequest)
		return z3950.Encode(&z3950.PresentResponse{Common: p.Common, Returned: 2, Records: z3950.Records{All: []z3950.Record{record, record}[:min(2, p.Want)]}})
	}
	for name, c := range map[string]struct {
		want   decision.Outcome
		answer func(n int, m z3950.Message) []byte
	}{
		"served": {decision.OK, func(n int, m z3950.Message) []byte { return good(m) }},
		"busy": {decision.Rejected, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Records: z3950.Records{Fault: &z3950.Fault{Code: 2}}})
		}},
		"a diagnostic": {decision.Errored, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Records: z3950.Records{Fault: &z3950.Fault{Code: 114}}})
		}},
		"a subset": {decision.Errored, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: commonOf(m), Count: 3, ResultSetStatus: z3950.Subset, Records: z3950.Records{Fault: &z3950.Fault{Code: 2}}})
		}},
		"another reference": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			return z3950.Encode(&z3950.SearchResponse{Common: z3950.Common{ReferenceID: []byte("99")}, Count: 3, OK: true})
		}},
		"another message": {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return z3950.Encode(&z3950.DeleteResponse{}) }},
		"noise":           {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return []byte("noise noise noise") }},
		"a close":         {decision.ConnectionReset, func(n int, m z3950.Message) []byte { return z3950.Encode(&z3950.Close{Reason: 1}) }},
		"dead between search and present": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			if n == 2 {
				return nil
			}
			return good(m)
		}},
		"more records than asked": {decision.ConnectionReset, func(n int, m z3950.Message) []byte {
			if n == 1 {
				return good(m)
			}
			return z3950.Encode(&z3950.PresentResponse{Common: commonOf(m), Records: z3950.Records{All: []z3950.Record{record, record, record, record}}})
		}},
		"an empty page": {decision.Errored, func(n int, m z3950.Message) []byte {
			if n == 1 {
				return good(m)
			}
			return z3950.Encode(&z3950.PresentResponse{Common: commonOf(m)})
		}},
		"silence": {decision.TimedOut, func(n int, m z3950.Message) []byte {
			time.Sleep(2 * time.Second)
			return nil
		}},
		"not accepted": {decision.ConnectFailed, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startScriptedNode(t, func(n int, m z3950.Message) []byte {
				if n == 0 && c.answer == nil {
					return z3950.Encode(&z3950.InitResponse{})
				}
				if n == 0 {
					return acceptInit(m)
				}
				return c.answer(n, m)
			})
			how, value := runAttempt(t, addr, 0)
			if how != c.want {
				t.Errorf("outcome %v, want %v", how, c.want)
			}
			if hits, records, err := catalogue.ParseValue(value); c.want == decision.OK && (err != nil || hits != 5 || len(records) != 3) {
				t.Errorf("%q", value)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		if how, _ := runAttempt(t, netip.MustParseAddrPort("127.0.0.1:1"), 0); how != decision.ConnectFailed {
			t.Errorf("%v", how)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		addr := startScriptedNode(t, func(n int, m z3950.Message) []byte {
			if n == 0 {
				return acceptInit(m)
			}
			time.Sleep(time.Second)
			return nil
		})
		if how, _ := runAttempt(t, addr, 50*time.Millisecond); how != decision.Cancelled {
			t.Errorf("%v", how)
		}
	})
}

// TryWrite decodes the frames that the pool writes, returns 0 when the queue is full, and fails on bytes that are not a frame.
func TestTryWrite(t *testing.T) {
	c := &conn{attempts: make(chan attempt, 2), cancelled: map[string]bool{}}
	frame := func(text string) []byte {
		return append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	if n, err := c.TryWrite(frame("qa.1 1 d=50 3\nabca.2 2 d=60 0\n")); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	if p := <-c.attempts; p != (attempt{"a.1", 1, 50 * time.Millisecond, "abc"}) {
		t.Errorf("%+v", p)
	}
	if p := <-c.attempts; p != (attempt{"a.2", 2, 60 * time.Millisecond, ""}) {
		t.Errorf("%+v", p)
	}
	c.TryWrite(frame("qa.1 1 d=50 0\na.2 1 d=50 0\n"))
	if n, err := c.TryWrite(frame("qa.3 1 d=50 0\n")); n != 0 || err != nil {
		t.Errorf("a full queue accepted %d bytes, error %v", n, err)
	}
	c.TryWrite(frame("ca.1"))
	if !c.cancelled["a.1"] {
		t.Error("a cancelled attempt is not recorded as cancelled")
	}
	for _, bad := range [][]byte{nil, {1, 2, 3}, frame("qx\n"), frame("qa 1 d=5 99\nx"), frame("qa b d=5 0\n")} {
		if _, err := c.TryWrite(bad); !errors.Is(err, errProtocol) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
