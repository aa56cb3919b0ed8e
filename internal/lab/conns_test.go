package lab

import (
	"net"
	"testing"
	"time"
)

// Connections that were open at the same time are counted together, and still are in the peak once closed; consecutive ones are
// not.
func TestConnsCounted(t *testing.T) {
	n, err := StartNode("127.0.0.1:0", NewNodeModel("n", 0, 1, time.Millisecond, WarmUpParams{}, 1), 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer n.SetMode(Dead)
	open := func() net.Conn {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	counted := func(want int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			if now, _ := n.Conns(); now == want {
				return
			} else if time.Now().After(end) {
				t.Fatalf("%d connections are open; want %d", now, want)
			}
		}
	}
	for range 50 {
		c := open()
		counted(1)
		c.Write([]byte("x")) // unread bytes before the close
		c.Close()
	}
	if counted(0); n.peakConns != 1 {
		t.Errorf("peak of %d connections; want 1, as each was closed before the next opened", n.peakConns)
	}
	a, _ := open(), open()
	counted(2)
	a.Close()
	counted(1)
	if _, peakConns := n.Conns(); peakConns != 2 {
		t.Errorf("peak of %d connections; want 2", peakConns)
	}
}
