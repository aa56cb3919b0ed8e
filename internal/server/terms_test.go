package server

// Tests of what the protocol demands, with a broker on loopback sockets: docs/assumptions.md has the table.

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/transport/httpwire"
)

// The endpoint list in a broker's configuration may lack a drain. The broker polls discovery by itself, without a query of a client, and
// once the poll has returned the drain it sends the node no attempts.
func TestDrainIsLearnedAfterStart(t *testing.T) {
	discoveryListener := listen(t)
	start := startConfiguration(t, "127.0.0.1:0", 1024)
	start.Discovery = discoveryListener.Addr().(*net.TCPAddr).AddrPort()
	s, _ := runConfigured(t, start, operator.Default())
	discoveryListener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second)) // else discovery was not polled
	conn, err := discoveryListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	m, err := httpwire.ReadRequest(httpwire.NewReader(conn))
	if err != nil || !strings.HasPrefix(m.Query, "index=1&wait=") {
		t.Fatalf("poll of discovery: %+v, %v", m, err)
	}
	update := fmt.Sprintf(`{"generation":2,"reset":false,"instances":[{"instanceId":"s-0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"terminating"}]}`, "127.0.0.1:9")
	conn.Write(httpwire.AppendResponse(nil, 200, false, []byte(update)))
	waitUntil(s, func(c Counters) bool { return c.Queries.ListsReceived == 2 }) // the configuration's list and this update
	if m := dial(t, s).roundTrip(post("a", body)); strings.Contains(string(m.Body), `"tablet":0`) {
		t.Errorf("answer of a draining node: status %d, %s", m.Status, m.Body)
	}
}
