package peers

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
)

// Only datagrams of peers are delivered, and only those that fit: a forged or truncated message could carry wrong information.
func TestSocket(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	other, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	at := other.LocalAddr().(*net.UDPAddr).AddrPort()
	type message struct {
		from int
		text string
	}
	received := make(chan message, 9)
	l, err := Listen(local, []netip.AddrPort{local, at}, at, func(from int, text []byte) {
		received <- message{from, string(text)}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- l.Send(ctx) }()
	go func() { done <- l.Receive(ctx) }()
	l.Broadcast(strings.Repeat("x", 257))
	l.Broadcast("hello")
	buf := make([]byte, 300)
	if n, err := other.Read(buf); err != nil || string(buf[:n]) != "hello" {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	stranger, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("lies"))
	other.WriteToUDPAddrPort([]byte(strings.Repeat("y", 257)), l.Addr())
	other.WriteToUDPAddrPort([]byte("first"), l.Addr())
	other.WriteToUDPAddrPort([]byte("second"), l.Addr())
	if a, b := <-received, <-received; a != (message{1, "first"}) || b != (message{1, "second"}) {
		t.Errorf("received %v and %v", a, b)
	}
	cancel()
	<-done
	<-done
	if c := &l.Counts; c.TooLong.Load() != 2 || c.UnknownSenders.Load() != 1 || c.Delivered.Load() != 2 {
		t.Errorf("%d too long, %d from unknown senders, %d delivered", c.TooLong.Load(), c.UnknownSenders.Load(), c.Delivered.Load())
	}
}
