package back

// This file has a simulated Z39.50 node whose answers are scripted, and runs one attempt against it.

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/protocols/ber"
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

// testPool is a pool with a carrier to one node, whose events the test handles.
type testPool struct {
	*store.Pool
	events   chan store.Event
	now      func() time.Duration
	outcomes map[string]decision.Outcome // of the attempts that have ended, by id
	values   map[string]string
}

var testNode = decision.NodeID{Port: 1}

func startPool(t *testing.T, addr netip.AddrPort) *testPool {
	t.Helper()
	start := time.Now()
	p := &testPool{events: make(chan store.Event, 100), outcomes: map[string]decision.Outcome{}, values: map[string]string{}}
	p.now = func() time.Duration { return time.Since(start) }
	post := func(e store.Event) { p.events <- e }
	limits := store.Limits{Streams: 1, Idle: time.Minute, Dial: 200 * time.Millisecond, Silent: time.Second, Conns: 4}
	p.Pool = store.NewPool(t.Context(), limits, nil, p.now, func(f func() error) { go f() }, post,
		func(a *store.Subrequest, o decision.Outcome, _ time.Duration, v string) {
			p.outcomes[a.ID], p.values[a.ID] = o, v
		})
	p.SetCarrier(Carrier(t.Context(), Options{Protocol: "z3950", Database: "d", Dial: limits.Dial, Now: p.now, Post: post}))
	p.SetNode(testNode, "n", addr, decision.StartedLongAgo)
	return p
}

// attempt returns an attempt of the shard request with an id.
func (p *testPool) attempt(id string) *store.Subrequest {
	_, rpn, _ := query.ParsePQF("cat")
	want := catalogue.Want{Depth: 3, Syntax: "marcxml", Query: rpn}
	return &store.Subrequest{ID: id, Text: want.Statement(), Deadline: p.now() + 600*time.Millisecond, Node: testNode}
}

// run handles events until done returns true.
func (p *testPool) run(t *testing.T, done func() bool) {
	t.Helper()
	end := time.After(5 * time.Second)
	for !done() {
		select {
		case e := <-p.events:
			p.HandleEvent(e)
		case <-time.After(5 * time.Millisecond):
			p.Sweep(p.now())
		case <-end:
			t.Fatal("not done within 5 s")
		}
	}
}

// runAttempt sends one attempt to a node through a pool and returns its outcome and value. It cancels the attempt after cancelAfter,
// unless that is 0.
func runAttempt(t *testing.T, addr netip.AddrPort, cancelAfter time.Duration) (how decision.Outcome, value string) {
	t.Helper()
	p := startPool(t, addr)
	a := p.attempt("s.0")
	p.Send(testNode, []*store.Subrequest{a})
	p.run(t, func() bool {
		if cancelAfter > 0 && p.now() > cancelAfter {
			p.Cancel(a)
		}
		return a.Ended()
	})
	return p.outcomes[a.ID], p.values[a.ID]
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

// encodeResponse returns a message that answers the request m and has the members that write writes.
func encodeResponse(tag uint32, m z3950.Message, write func(*ber.Writer)) []byte {
	var w ber.Writer
	w.Constructed(ber.Context, tag, func(w *ber.Writer) {
		w.Text(2, string(commonOf(m).ReferenceID))
		write(w)
	})
	return w.Bytes()
}
