package peers

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
)

// Only peers are heard, and only what fits a datagram; a stranger's or a cut message would be false news.
func TestLink(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	other, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	at := other.LocalAddr().(*net.UDPAddr).AddrPort()
	type news struct {
		from int
		text string
	}
	heard := make(chan news, 9)
	l, err := Listen(local, []netip.AddrPort{local, at}, at, func(from int, text []byte) {
		heard <- news{from, string(text)}
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- l.Send(ctx) }()
	go func() { done <- l.Hear(ctx) }()
	l.Tell(strings.Repeat("x", 257))
	l.Tell("hello")
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
	if a, b := <-heard, <-heard; a != (news{1, "first"}) || b != (news{1, "second"}) {
		t.Errorf("heard %v and %v", a, b)
	}
	cancel()
	<-done
	<-done
	if c := &l.Counts; c.TooLong.Load() != 2 || c.Strangers.Load() != 1 || c.Heard.Load() != 2 {
		t.Errorf("%d too long, %d from strangers, %d heard", c.TooLong.Load(), c.Strangers.Load(), c.Heard.Load())
	}
}
