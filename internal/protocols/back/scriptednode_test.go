package back

// This file has a simulated Z39.50 node whose answers are scripted, and runs one attempt against it.

import (
	"bufio"
	"context"
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

// encodeResponse returns a message that answers the request m and has the members that write writes.
func encodeResponse(tag uint32, m z3950.Message, write func(*ber.Writer)) []byte {
	var w ber.Writer
	w.Constructed(ber.Context, tag, func(w *ber.Writer) {
		w.Text(2, string(commonOf(m).ReferenceID))
		write(w)
	})
	return w.Bytes()
}
