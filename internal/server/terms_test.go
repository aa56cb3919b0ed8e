package server

// This file holds the standing test's terms against the broker on loopback sockets: docs/assumptions.md has the table.

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/transport/httpwire"
)

// A broker that starts on a listed configuration may owe a drain: it asks for what is new with no client's help, and once told
// sends the node nothing.
func TestDrainIsLearnedAfterStart(t *testing.T) {
	discoveryListener := listen(t)
	start := startConfiguration(t, "127.0.0.1:0", 1024)
	start.Discovery = discoveryListener.Addr().(*net.TCPAddr).AddrPort()
	s, _ := runConfigured(t, start, operator.Default())
	discoveryListener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)) // else it is never asked
	conn, err := discoveryListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	m, err := httpwire.ReadRequest(httpwire.NewReader(conn))
	if err != nil || !strings.HasPrefix(m.Query, "index=1&wait=") {
		t.Fatalf("asked %+v, %v", m, err)
	}
	update := fmt.Sprintf(`{"generation":2,"reset":false,"instances":[{"instanceId":"s-0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"terminating"}]}`, "127.0.0.1:9")
	conn.Write(httpwire.AppendResponse(nil, 200, false, []byte(update)))
	waitUntil(s, func(c Counters) bool { return c.Queries.ListsReceived == 2 }) // the configuration's, and this
	if m := dial(t, s).roundTrip(post("a", body)); strings.Contains(string(m.Body), `"tablet":0`) {
		t.Errorf("served through a draining node: %d %s", m.Status, m.Body)
	}
}
