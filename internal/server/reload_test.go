package server

// Tests of the configuration: errors at the start, and changes while the broker serves.

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// Errors of the configuration are reported before the broker listens.
func TestConfigurationErrorsAtStart(t *testing.T) {
	taken := listen(t)
	s, err := New(startConfiguration(t, taken.Addr().String(), 1024), operator.Default(), newRouter)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Open(); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("address in use: %v", err)
	}
	bad := startConfiguration(t, "127.0.0.1:0", 1024)
	bad.Known = []byte(`{"generation":1,"instances":[{"instanceId":"s"}]}`)
	if _, err := New(bad, operator.Default(), newRouter); err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("invalid endpoint list: %v", err)
	}
	bad.Known, bad.Terms.Module.QueryTypes[0].SecondPhaseRequests = nil, 2
	if _, err := New(bad, operator.Default(), newRouter); err == nil || !strings.Contains(err.Error(), "fetchParts") {
		t.Errorf("second phase: %v", err)
	}
}

const ringSettingsJSON = `{"azs":["c"],"balancers":9,"countedBy":"work",
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"thread"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"idempotency_key","name":"optout","windowNs":3000000000}],
 "domain":{"cells":2,"classFloor":[0.8,1],"partsACall":8,"slices":6,"width":2},
 "permissions":{"cancel":true,"connIdleNs":15000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":40,
  "multiplex":100,"probes":true,"secondCopies":true},"registryMode":"push",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.19,"drainGraceNs":500000000,"extraFloor":5,"furtherRatio":0.05,
  "lookBackNs":10000000000,"tipMultiple":4,"warmAfterNs":17000000000},"stepNs":5000000}`

// The settings of a running broker change to those of another deployment, the ring, and back: other nodes behind another discovery, other
// query types, limits on extra attempts, health checks, counting by work. A query in flight gets its one result and no node of the other
// deployment gets an attempt of it. A configuration with an invalid value changes nothing.
func TestSettingsChangeWhileServing(t *testing.T) {
	s, end := runServer(t, 64)
	first := s.start
	ring := *first
	var err error
	if ring.Terms, err = terms.FromJSON([]byte(ringSettingsJSON), 11); err != nil {
		t.Fatal(err)
	}
	ring.Discovery = netip.MustParseAddrPort("127.0.0.2:1")
	ring.Known = bytes.ReplaceAll(startConfiguration(t, "127.0.0.1:0", 64).Known, []byte("s-"), []byte("r-")) // with other names: nodes of the ring
	inRing := func(id, body string) string {
		return strings.NewReplacer("/find", "/thread", "X-Tenant-Id: acme\r\n", "").Replace(post(id, body))
	}
	c, held := dial(t, s), dial(t, s)
	for round, text := range []string{"hang", "hang again"} {
		ask := strings.NewReplacer("c41e", "hang", "1900", "900").Replace(post(fmt.Sprint("held", round), body))
		io.WriteString(held, ask)
		waitUntil(s, func(n Counters) bool { return n.Queries.InFlight == 1 && n.Queries.AttemptsInFlight >= 2 })
		sent := s.Counters().Queries.Attempts
		if _, err := terms.FromJSON([]byte(strings.Replace(ringSettingsJSON, `"work"`, `"hour"`, 1)), 1); err == nil {
			t.Fatal(text, "an invalid value was accepted")
		} else if s.Reload(nil, s.operator, err); s.Settings().Types[0] != "find" {
			t.Fatalf("%s: an invalid configuration changed the settings", text)
		}
		s.Reload(&ring, s.operator, nil)
		if m := c.roundTrip(post(fmt.Sprint("gone", round), body)); m.Status != 404 || !m.Close {
			t.Errorf("%s: a query type of the old settings: status %d", text, m.Status)
		}
		c = dial(t, s)
		m, want := c.roundTrip(inRing(fmt.Sprint("r", round), body)), []int{200, 503}[round] // the second time no node of the ring is known
		if m.Status != want || want == 200 && string(m.Body) != completeBody {
			t.Errorf("%s: a query in the ring: status %d, %s", text, m.Status, m.Body)
		}
		if m := held.readResponse(); m.Status != 503 && m.Status != 504 {
			t.Errorf("%s: the query in flight: status %d", text, m.Status)
		}
		if n := s.Counters().Queries.Attempts; n != sent+[]uint64{2, 0}[round] {
			t.Errorf("%s: %d attempts in the ring", text, n-sent)
		}
		ring.Known = nil
		s.Reload(first, s.operator, nil)
		if m := c.roundTrip(post(fmt.Sprint("back", round), body)); m.Status != 200 || string(m.Body) != completeBody {
			t.Errorf("%s: after the change back: status %d, %s", text, m.Status, m.Body)
		}
		if got := s.Counters().Queries; got.InFlight != 0 || got.Received != got.Answered+got.Shed+got.Failed {
			t.Errorf("%s: unexpected counters: %+v", text, got)
		}
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}

// A query that was read under the old settings reaches the loop after they changed: it is translated, or rejected.
func TestQueryReadBeforeSettingsChange(t *testing.T) {
	was, now := testTerms(t), testTerms(t)
	now.Types, now.Tenants = append([]string{"new"}, was.Types...), append([]string{"new"}, was.Tenants...)
	l := &loop{settings: &now}
	if a := (&query.Request{Settings: &was}); !l.adaptToSettings(a) || a.Type != 1 || a.Tenant != 1 || !l.adaptToSettings(a) {
		t.Errorf("translated to %+v", a)
	}
	for _, change := range []func(*terms.Terms){
		func(o *terms.Terms) { o.Types = []string{"other"} },
		func(o *terms.Terms) { o.Tenants = []string{"other"} },
		func(o *terms.Terms) { o.Shards++ },
	} {
		other := testTerms(t)
		change(&other)
		l.settings = &other
		if a := (&query.Request{Settings: &was}); l.adaptToSettings(a) {
			t.Errorf("accepted under settings that can't serve it: %+v", other)
		}
	}
}

// A reload changes the address of discovery and the settings and leaves queries in flight alone. An invalid configuration changes nothing.
func TestReload(t *testing.T) {
	s, end := runServer(t, 64)
	c := dial(t, s)
	io.WriteString(c, postUnanswered("r1", "300"))
	discoveryListener := listen(t)
	next := *s.start
	next.Discovery = discoveryListener.Addr().(*net.TCPAddr).AddrPort()
	next.Limits.Sockets = 1
	next.Terms.Module.MaxRetryAfter, next.Known = 5*time.Second, nil
	bad := next
	bad.Known = []byte("{}")
	s.Reload(&bad, s.operator, nil)
	s.Reload(nil, nil, io.ErrUnexpectedEOF)
	if s.discoveryAddress != s.start.Discovery {
		t.Errorf("an invalid configuration changed the address of discovery to %v", s.discoveryAddress)
	}
	s.Reload(&next, s.operator, nil)
	conn, err := discoveryListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if m, err := httpwire.ReadRequest(httpwire.NewReader(conn)); err != nil || m.Path != "/discovery/hosts" || m.Query != "" {
		t.Errorf("request at the new discovery service: %+v, %v", m, err)
	}
	if m := dial(t, s).roundTrip(post("r3", body)); m.Status != 200 || s.Settings().Module.MaxRetryAfter != 5*time.Second {
		t.Errorf("with another retry-after limit and the list of before: status %d", m.Status)
	}
	if got := strings.Join(s.start.ChangedFields(&next), " "); got != "limits settings" {
		t.Errorf("differences from the running configuration: %q", got)
	}
	s.Reload(s.start, s.operator, nil)
	if m := c.readResponse(); m.Status != 503 && m.Status != 504 {
		t.Errorf("the query in flight: status %d", m.Status)
	}
	if m := c.roundTrip(post("r2", body)); m.Status != 200 {
		t.Errorf("a query after the reload: status %d", m.Status)
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}
