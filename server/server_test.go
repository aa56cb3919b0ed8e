package server

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/broker"
	"flaxfront/httpwire"
	"flaxfront/logic"
	"flaxfront/operator"
	"flaxfront/terms"
)

// standNode is a store node on loopback. It serves each part at once, but none whose text is "hang".
func standNode(t *testing.T) string {
	ln := listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					var head [4]byte
					if _, err := io.ReadFull(in, head[:]); err != nil {
						return
					}
					rest := make([]byte, binary.LittleEndian.Uint32(head[:]))
					if _, err := io.ReadFull(in, rest); err != nil || rest[0] != 'q' {
						continue
					}
					for text := string(rest[1:]); text != ""; {
						var id string
						var shard, wait, size int
						fmt.Sscanf(text, "%s %d d=%d %d\n", &id, &shard, &wait, &size)
						_, text, _ = strings.Cut(text, "\n")
						if text[:size] != "hang" {
							a := fmt.Sprintf("a%s served 7 -\n<%d>", id, shard)
							conn.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(a))), a...))
						}
						text = text[size:]
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func startAt(t *testing.T, listen string, sockets int) *terms.Start {
	none := netip.MustParseAddrPort("127.0.0.1:1") // where nobody listens
	known := `{"generation":1,"reset":true,"instances":[`
	for cell := range 2 {
		known += fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"in_service"},`,
			cell, standNode(t), cell)
	}
	return &terms.Start{Name: "n0", Listen: netip.MustParseAddrPort(listen), Discovery: none, Terms: decoded(t),
		Limits: terms.Limits{Cores: 1, MemoryMB: 192, Sockets: sockets}, Known: []byte(known[:len(known)-1] + "]}")}
}

func module(t broker.Terms) broker.Decider { return logic.New(t) }

// live runs a broker; end stops it as SIGTERM does and gives what Run returned.
func live(t *testing.T, sockets int) (s *Server, end func() error) {
	t.Helper()
	return running(t, startAt(t, "127.0.0.1:0", sockets), operator.Default())
}

// running is a broker of a configuration and an operators' file, until end or the test's.
func running(t *testing.T, start *terms.Start, file *operator.File) (s *Server, end func() error) {
	t.Helper()
	s, err := New(start, file, module)
	if err == nil {
		err = s.Open()
	}
	if err != nil {
		t.Fatal(err)
	}
	stop, done, ended := make(chan struct{}), make(chan error, 1), false
	go func() { done <- s.Run(stop) }()
	end = func() error {
		if ended {
			return nil
		}
		ended = true
		close(stop)
		err := <-done
		if err != nil {
			t.Error(err)
		}
		return err
	}
	t.Cleanup(func() { end() })
	return s, end
}

// planned reads what the laboratory wrote for a broker, and the text of an operators' file.
func planned(t *testing.T, path string, err error, operators string) (*terms.Start, *operator.File) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	start, err := terms.ReadStart(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := operator.Decode("f", []byte(operators))
	if err != nil {
		t.Fatal(err)
	}
	return start, file
}

type caller struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func dial(t *testing.T, s *Server) *caller {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &caller{conn, t, httpwire.NewReader(conn)}
}

// say writes and reads one response.
func (c *caller) say(text string) *httpwire.Message {
	c.t.Helper()
	io.WriteString(c, text)
	return c.hear()
}

func (c *caller) hear() *httpwire.Message {
	c.t.Helper()
	m, err := httpwire.ReadResponse(c.in)
	if err != nil {
		c.t.Fatal(err)
	}
	return m
}

const (
	head  = "POST /find HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 1900\r\n"
	body  = `{"tablets":[{"tablet":0,"fraction":0.5,"guess":9000},{"tablet":1,"fraction":0.5}],"statement":"c41e"}`
	whole = `{"full":true,"pieces":[{"tablet":0,"cell":"\u003c0\u003e"},{"tablet":1,"cell":"\u003c1\u003e"}]}`
)

func post(id, body string) string {
	return fmt.Sprintf(head+"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// hanging is a search that no node answers.
func hanging(id, ms string) string {
	return strings.Replace(post(id, strings.Replace(body, "c41e", "hang", 1)), "1900", ms, 1)
}

// until waits for a state that must come, however long it takes.
func until(s *Server, reached func(Counters) bool) {
	for !reached(s.Counters()) {
	}
}

func TestSearchesOverSockets(t *testing.T) {
	s, _ := live(t, 1024)
	c := dial(t, s)
	for i := range 3 {
		if m := c.say(post(fmt.Sprint("a", i), body)); m.Status != 200 || string(m.Body) != whole || m.Close {
			t.Fatalf("%d %s", m.Status, m.Body)
		}
	}
	chunked := fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", "b", len(body), body)
	for _, b := range []byte(chunked) { // byte by byte
		c.Write([]byte{b})
	}
	io.WriteString(c, post("c", body)+"GET /up HTTP/1.1\r\nHost: b\r\n\r\n") // and two more, unasked
	for range 2 {
		if m := c.hear(); m.Status != 200 || string(m.Body) != whole {
			t.Errorf("%d %s", m.Status, m.Body)
		}
	}
	if m := c.hear(); m.Status != 200 {
		t.Errorf("/up: %d", m.Status)
	}
	rounded := strings.Replace(body, "0.5", "0.497", 1)
	if m := c.say(post("d", rounded)); string(m.Body) != whole {
		t.Errorf("rounded fractions: %d %s", m.Status, m.Body)
	}
	var counters Counters
	m := c.say("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
	if err := json.Unmarshal(m.Body, &counters); err != nil || counters.Searches.Answered != 6 ||
		counters.Searches.Taken != 6 || counters.Searches.Store.Parts != 12 {
		t.Errorf("%v, %+v", err, counters)
	}
}

// Bad input is told so and ends the connection; no part of it is sent, nor what hides behind it.
func TestBadAsks(t *testing.T) {
	s, _ := live(t, 1024)
	for _, c := range []struct {
		old, new string
		status   int
		spoils   bool // its framing too
	}{
		{"POST /find", "POST /lost", 404, false},
		{"POST /find", "PUT /find", 405, false},
		{"POST /find", "POST find", 400, true},
		{"X-Request-ID: x\r\n", "", 400, false},
		{"X-Request-ID: x", "X-Request-ID: a b", 400, false},
		{"acme", "nobody", 400, false},
		{"X-Tenant-Id: acme\r\n", "", 400, false},
		{"X-Timeout-Ms: 1900\r\n", "", 400, false},
		{"1900", "0", 400, false},
		{"1900", "-5", 400, false},
		{"1900", "99999999999999999999", 400, false},
		{"1900", "86400000", 400, false},
		{"1900", "soon", 400, false},
		{"Content-Length", "Content-Length: 1\r\nContent-Length", 400, true},
		{"Content-Length", "Transfer-Encoding: chunked\r\nContent-Length", 400, true},
		{"Content-Length: ", "Content-Length: 99", 413, true},
		{`{"tablets"`, `["tablets"`, 400, false},
		{`"statement"`, `"statemend"`, 400, false},
		{`"tablet":1`, `"tablet":0`, 400, false},
		{`"tablet":1`, `"tablet":6`, 400, false},
		{`"tablet":1`, `"tablet":"`, 400, false},
		{`0.5}]`, `0.7}]`, 400, false},
		{`0.5}]`, `1.7}]`, 400, false},
		{`,{"tablet":1,"fraction":0.5}`, ``, 400, false},
		{`"tablets":[`, `"tablets":[],"other":[`, 400, false},
		{"c41e", "c41\xff", 400, false},
	} {
		text := strings.Replace(post("x", body), c.old, c.new, 1)
		if at := strings.Index(text, "{"); at > 0 && !c.spoils { // the length is right in any case
			start, rest := text[:strings.Index(text, "Content-Length")], text[strings.Index(text, "\r\n\r\n")+4:]
			text = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(rest), rest)
		}
		to := dial(t, s)
		if m := to.say(text + post("behind", body)); m.Status != c.status || !m.Close {
			t.Errorf("%q: %d, closed %v: %s", c.new, m.Status, m.Close, m.Body)
		}
		if b, err := to.in.ReadByte(); err != io.EOF {
			t.Errorf("after %q: %q, %v", c.new, b, err)
		}
	}
	if m := dial(t, s).say(post("good", body)); m.Status != 200 {
		t.Errorf("an ordinary search: %d %s", m.Status, m.Body)
	}
	slow, cut := dial(t, s), dial(t, s)
	io.WriteString(cut, post("x", body)[:100])
	cut.Close()
	if m := slow.say(post("x", body)[:100]); m.Status != 408 || !m.Close {
		t.Errorf("a request that does not come whole: %d", m.Status)
	}
	if n := s.Counters().Searches; n.Taken != n.Answered || n.Store.Parts != 2*n.Taken {
		t.Errorf("%+v", n)
	}
}

// Whatever a client sends or leaves out, and however slowly, it hears a word or a close within 3 s of connecting.
func TestOwedWithinThreeSeconds(t *testing.T) {
	start := startAt(t, "127.0.0.1:0", 64)
	for _, c := range []struct {
		sends string
		every time.Duration // a byte; 0: all at once
	}{
		{"", 0},
		{"POST /find HTTP/1.1\r\n", 0},
		{strings.Repeat("x", 9000), 0},
		{post("x", body), 100 * time.Millisecond},
		{"POST /find HTTP/1.1\r\n" + strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 60), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: 9", 1), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: 60000", 1), 0},
		{strings.Replace(post("x", body), "Content-Length: ", "Content-Length: -", 1), 0},
		{fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\nffff\r\nx", "x"), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, err := New(start, operator.Default(), module)
			if err != nil {
				t.Fatal(err)
			}
			s.clients.all, s.clients.moment = map[*client]bool{}, 250*time.Millisecond
			s.clients.most, s.clients.room = 4, make(chan struct{}, 1)
			here, there := net.Pipe()
			begun := time.Now()
			in := &client{Conn: there, in: httpwire.NewReader(there), opened: begun}
			s.clients.admit(in)
			go s.serve(t.Context(), in)
			go func() {
				for i := range c.sends {
					if c.every == 0 {
						io.WriteString(here, c.sends)
						return
					}
					if _, err := here.Write([]byte{c.sends[i]}); err != nil {
						return
					}
					time.Sleep(c.every)
				}
			}()
			m, err := httpwire.ReadResponse(httpwire.NewReader(here))
			if took := time.Since(begun); took >= 3*time.Second || err == nil && (m.Status < 400 || !m.Close) {
				t.Errorf("%.40q: %v, %v after %v", c.sends, m, err, took)
			}
			here.Close()
			time.Sleep(time.Second)
			if len(s.clients.all) != 0 {
				t.Errorf("%.40q: the connection is still on the books", c.sends)
			}
			s.cancel()
		})
	}
}

// Clients that hold a connection for each request they ever made leave room for the next: those that idled longest are
// closed, well before the third of the descriptors that clients may hold (incident r9fe40b).
func TestKeptConnections(t *testing.T) {
	s, _ := live(t, 96)
	var held []*caller
	for i := range 80 {
		c := dial(t, s)
		if m := c.say(post(fmt.Sprint("a", i), body)); m.Status != 200 || m.Close {
			t.Fatalf("request %d: %d", i, m.Status)
		}
		held = append(held, c)
		s.clients.mu.Lock()
		n := 0
		for c := range s.clients.all {
			if c.used && c.ended == "" {
				n++
			}
		}
		s.clients.mu.Unlock()
		if n > 96/3*3/4 {
			t.Fatalf("%d kept after request %d", n, i)
		}
	}
	for _, c := range held[:20] {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("one of those that idled longest: %v", err)
		}
	}
	if m := held[79].say(post("z", body)); m.Status != 200 {
		t.Errorf("the last: %d", m.Status)
	}
}

// What is logged of useless connections is bounded, and what is left out is counted.
func TestUselessConnectionsLogLittle(t *testing.T) {
	var l lines
	at, logged, left := time.Unix(1000, 0), 0, 0
	for range 50 * linesASecond {
		ok, n := l.one(at)
		if left += n; ok {
			logged++
		}
		at = at.Add(10 * time.Second / (50 * linesASecond))
	}
	ok, n := l.one(at.Add(time.Second))
	if logged++; !ok || logged > 12*linesASecond || logged+left+n != 50*linesASecond+1 {
		t.Errorf("%d logged, %d left out", logged, left+n)
	}
}

// A client that goes away frees its place at once; its neighbours feel nothing.
func TestClientGone(t *testing.T) {
	s, _ := live(t, 1024)
	gone, stays := dial(t, s), dial(t, s)
	io.WriteString(gone, hanging("a", "1900"))
	until(s, func(c Counters) bool { return c.Searches.InHand == 1 })
	gone.Close()
	until(s, func(c Counters) bool { return c.Searches.Left == 1 && c.Searches.InHand == 0 })
	if m := stays.say(post("b", body)); m.Status != 200 {
		t.Errorf("%d", m.Status)
	}
}

// SIGTERM: what is in hand is answered, who still comes is served, and then it ends without a fault.
func TestStop(t *testing.T) {
	s, end := live(t, 1024)
	enough := make(chan time.Time)
	s.after = func(time.Duration) <-chan time.Time { return enough }
	busy, idle, again := dial(t, s), dial(t, s), dial(t, s)
	idle.say(post("a", body))
	again.say(post("a2", body))
	io.WriteString(busy, hanging("b", "900"))
	until(s, func(c Counters) bool { return c.Searches.InHand == 1 })
	done := make(chan error, 1)
	go func() { done <- end() }()
	for !s.draining.Load() {
	}
	if m := dial(t, s).say(post("c", body)); m.Status != 200 || !m.Close {
		t.Errorf("who comes late: %d, closed %v", m.Status, m.Close)
	}
	if m := dial(t, s).say("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); m.Status != 503 {
		t.Errorf("/up: %d", m.Status)
	}
	if m := again.say(post("d", body)); m.Status != 200 || !m.Close {
		t.Errorf("who asks again: %d, closed %v", m.Status, m.Close)
	}
	close(enough)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	if m := busy.hear(); m.Status != 504 || !m.Close {
		t.Errorf("in hand: %d, closed %v", m.Status, m.Close)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		conn.Close()
		t.Error("it still listens")
	}
}

// Where descriptors run short an idle connection gives way, or one whose request does not come, never one with a
// search in hand.
func TestIdleConnectionsGiveWay(t *testing.T) {
	s, _ := live(t, spareSockets+6) // two for nodes, four for clients
	busy := dial(t, s)
	io.WriteString(busy, hanging("a", "900"))
	until(s, func(c Counters) bool { return c.Searches.InHand == 1 })
	for range 3 { // requests that never come whole hold no place for ever
		io.WriteString(dial(t, s), post("x", body)[:50])
	}
	for n := 0; dial(t, s).say(post(fmt.Sprint("c", n), body)).Status != 200; n++ { // while they are given a moment
	}
	for i := range 9 {
		if m := dial(t, s).say(post(fmt.Sprint("b", i), body)); m.Status != 200 {
			t.Fatalf("%d: %d", i, m.Status)
		}
	}
	if m := busy.hear(); m.Status != 504 {
		t.Errorf("the busy one: %d", m.Status)
	}
}

// Every search whose connection was taken gets its answer, however many come at once: a new connection was closed
// for the next before its request was read, and with all busy new ones waited until their clients gave up.
func TestCrowd(t *testing.T) {
	s, _ := live(t, spareSockets+6)
	statuses := make(chan int, 60)
	for i := range cap(statuses) {
		c := dial(t, s)
		go func() {
			io.WriteString(c, hanging(fmt.Sprint("a", i), "900"))
			m, err := httpwire.ReadResponse(c.in)
			if err != nil {
				m = &httpwire.Message{}
			}
			statuses <- m.Status
			c.Close()
		}()
	}
	count := map[int]int{}
	for range cap(statuses) {
		count[<-statuses]++
	}
	if count[503] == 0 || count[503]+count[504] != cap(statuses) {
		t.Errorf("answers by status: %v", count)
	}
}

// What can't work is told before anything listens.
func TestFaultsAtStart(t *testing.T) {
	taken := listen(t)
	s, err := New(startAt(t, taken.Addr().String(), 1024), operator.Default(), module)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Open(); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("address in use: %v", err)
	}
	bad := startAt(t, "127.0.0.1:0", 1024)
	bad.Known = []byte(`{"generation":1,"instances":[{"instanceId":"s"}]}`)
	if _, err := New(bad, operator.Default(), module); err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("bad list: %v", err)
	}
	bad.Known, bad.Terms.Module.Types[0].Fetch = nil, 2
	if _, err := New(bad, operator.Default(), module); err == nil || !strings.Contains(err.Error(), "fetchParts") {
		t.Errorf("second step: %v", err)
	}
}

const ringSettings = `{"azs":["c"],"balancers":9,"countedBy":"work",
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"thread"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"idempotency_key","name":"optout","windowNs":3000000000}],
 "domain":{"cells":2,"classFloor":[0.8,1],"partsACall":8,"slices":6,"width":2},
 "permissions":{"cancel":true,"connIdleNs":15000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":40,
  "multiplex":100,"probes":true,"secondCopies":true},"registryMode":"push",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.19,"drainGraceNs":500000000,"extraFloor":5,"furtherRatio":0.05,
  "lookBackNs":10000000000,"tipMultiple":4,"warmAfterNs":17000000000},"stepNs":5000000}`

// Settings change under a running broker and back again: a ring of other nodes behind another discovery, other query types, a
// budget, probes, worth by work. What is in hand gets its one answer and no node of the other deployment is sent a part of it; a
// configuration with a bad value changes nothing.
func TestSettingsSwitchWhileServing(t *testing.T) {
	s, end := live(t, 64)
	first := s.start
	ring := *first
	var err error
	if ring.Terms, err = terms.FromJSON([]byte(ringSettings), 11); err != nil {
		t.Fatal(err)
	}
	ring.Discovery = netip.MustParseAddrPort("127.0.0.2:1")
	ring.Known = bytes.ReplaceAll(startAt(t, "127.0.0.1:0", 64).Known, []byte("s-"), []byte("r-")) // nodes of its own
	inRing := func(id, body string) string {
		return strings.NewReplacer("/find", "/thread", "X-Tenant-Id: acme\r\n", "").Replace(post(id, body))
	}
	c, held := dial(t, s), dial(t, s)
	for round, text := range []string{"hang", "hang again"} {
		ask := strings.NewReplacer("c41e", "hang", "1900", "900").Replace(post(fmt.Sprint("held", round), body))
		io.WriteString(held, ask)
		until(s, func(n Counters) bool { return n.Searches.InHand == 1 })
		sent := s.Counters().Searches.Subrequests
		if _, err := terms.FromJSON([]byte(strings.Replace(ringSettings, `"work"`, `"hour"`, 1)), 1); err == nil {
			t.Fatal(text, "a bad value passed")
		} else if s.Reload(nil, s.operator, err); s.Terms().Types[0] != "find" {
			t.Fatalf("%s: a bad configuration changed the settings", text)
		}
		s.Reload(&ring, s.operator, nil)
		if m := c.say(post(fmt.Sprint("gone", round), body)); m.Status != 404 || !m.Close {
			t.Errorf("%s: a query type of before: %d", text, m.Status)
		}
		c = dial(t, s)
		m, want := c.say(inRing(fmt.Sprint("r", round), body)), []int{200, 503}[round] // the second time no node is known there
		if m.Status != want || want == 200 && string(m.Body) != whole {
			t.Errorf("%s: in the ring: %d %s", text, m.Status, m.Body)
		}
		if m := held.hear(); m.Status != 503 && m.Status != 504 {
			t.Errorf("%s: the search in hand: %d", text, m.Status)
		}
		if n := s.Counters().Searches.Subrequests; n != sent+[]uint64{2, 0}[round] {
			t.Errorf("%s: %d sub-requests", text, n-sent)
		}
		ring.Known = nil
		s.Reload(first, s.operator, nil)
		if m := c.say(post(fmt.Sprint("back", round), body)); m.Status != 200 || string(m.Body) != whole {
			t.Errorf("%s: back again: %d %s", text, m.Status, m.Body)
		}
		if got := s.Counters().Searches; got.InHand != 0 || got.Taken != got.Answered+got.Shed+got.Errored {
			t.Errorf("%s: %+v", text, got)
		}
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}

// A search that was read under the settings of before comes to the loop after they changed.
func TestSearchReadBeforeASwitch(t *testing.T) {
	was, now := decoded(t), decoded(t)
	now.Types, now.Tenants = append([]string{"new"}, was.Types...), append([]string{"new"}, was.Tenants...)
	l := &loop{under: &now}
	if a := (&ask{under: &was}); !l.fits(a) || a.typ != 1 || a.tenant != 1 || !l.fits(a) {
		t.Errorf("taken as %+v", a)
	}
	for _, change := range []func(*terms.Terms){
		func(o *terms.Terms) { o.Types = []string{"other"} },
		func(o *terms.Terms) { o.Tenants = []string{"other"} },
		func(o *terms.Terms) { o.Shards++ },
	} {
		other := decoded(t)
		change(&other)
		l.under = &other
		if a := (&ask{under: &was}); l.fits(a) {
			t.Errorf("taken under %+v", other)
		}
	}
}

// A reload moves discovery and leaves all else, a search in hand included; a bad one changes nothing.
func TestReload(t *testing.T) {
	s, end := live(t, 64)
	c := dial(t, s)
	io.WriteString(c, hanging("r1", "300"))
	asks := listen(t)
	next := *s.start
	next.Discovery = asks.Addr().(*net.TCPAddr).AddrPort()
	next.Limits.Sockets = 1
	next.Terms.Module.MaxRetryAfter, next.Known = 5*time.Second, nil
	bad := next
	bad.Known = []byte("{}")
	s.Reload(&bad, s.operator, nil)
	s.Reload(nil, nil, io.ErrUnexpectedEOF)
	if s.asked != s.start.Discovery {
		t.Errorf("a bad configuration moved discovery to %v", s.asked)
	}
	s.Reload(&next, s.operator, nil)
	conn, err := asks.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if m, err := httpwire.ReadRequest(httpwire.NewReader(conn)); err != nil || m.Path != "/discovery/hosts" || m.Query != "" {
		t.Errorf("the new service was asked %+v, %v", m, err)
	}
	if m := dial(t, s).say(post("r3", body)); m.Status != 200 || s.Terms().Module.MaxRetryAfter != 5*time.Second {
		t.Errorf("with another time to come back, on the list held: %d", m.Status)
	}
	if got := strings.Join(s.start.Differs(&next), " "); got != "limits settings" {
		t.Errorf("only a restart takes over %q", got)
	}
	s.Reload(s.start, s.operator, nil)
	if m := c.hear(); m.Status != 503 && m.Status != 504 {
		t.Errorf("the search in hand: %d", m.Status)
	}
	if m := c.say(post("r2", body)); m.Status != 200 {
		t.Errorf("after the reload: %d", m.Status)
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}
