package server

// Tests of read hints over sockets: which replicas are asked, what responses say, and which queries are shed.

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/operator"
	"flaxfront/internal/server/query"
)

// replicaNode runs a store node that adds the given report to its answers and counts its attempts.
func replicaNode(t *testing.T, report *atomic.Pointer[string], asked *atomic.Int64) string {
	return answeringNode(t, func(id string, _ int, _ string) string {
		asked.Add(1)
		return fmt.Sprintf("a%s served 7 %s\nv", id, *report.Load())
	})
}

// runPinnedServer runs a broker with read pins in front of two replicas of each shard.
func runPinnedServer(t *testing.T) (*Server, [2]*atomic.Pointer[string], [2]*atomic.Int64) {
	start := startConfiguration(t, "127.0.0.1:0", 1024)
	var reports [2]*atomic.Pointer[string]
	var asked [2]*atomic.Int64
	known := `{"generation":1,"reset":true,"instances":[`
	for i := range 2 {
		reports[i], asked[i] = &atomic.Pointer[string]{}, &atomic.Int64{}
		addr := replicaNode(t, reports[i], asked[i])
		for cell := range 2 {
			known += fmt.Sprintf(`{"instanceId":"s-%d-%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":"in_service"},`, i, cell, addr, cell)
		}
	}
	start.Known = []byte(known[:len(known)-1] + "]}")
	start.Terms.Module.HedgingAllowed = false // a hedge goes to any replica, and is sent here only if the machine stalls
	file := operator.Default()
	file.ControlPlaneSettings.Pins, file.ControlPlaneSettings.ClockError = true, 0
	s, _ := runConfigured(t, start, file)
	return s, reports, asked
}

func postWithHint(id, text string) string {
	return strings.Replace(post(id, body), "\r\n\r\n", "\r\n"+text+"\r\n\r\n", 1)
}

func TestHintsOverSockets(t *testing.T) {
	s, reports, asked := runPinnedServer(t)
	setReport := func(i int, text string) { reports[i].Store(&text) }
	setReport(0, "p=70;h=0")
	setReport(1, "p=70;h=0")
	c := dial(t, s)
	m := c.roundTrip(postWithHint("a", "X-Read-Hint: pin=session:abc; max-stale=5s; not-before=0:0,1:0"))
	seen, _ := m.Get("x-read-position")
	stale, _ := m.Get("x-read-staleness")
	if m.Status != 200 || seen != "0:70,1:70" || !strings.HasSuffix(stale, "ms") {
		t.Fatalf("status %d, position %q, staleness %q", m.Status, seen, stale)
	}
	first := [2]int64{asked[0].Load(), asked[1].Load()}
	for i := range 20 {
		c.roundTrip(postWithHint(fmt.Sprint("s", i), "X-Read-Hint: pin=session:abc"))
	}
	for i := range 2 { // each shard is read at the same replica
		if now := asked[i].Load(); now != 21*first[i] {
			t.Errorf("node %d got %d attempts for the first query, then %d in all", i, first[i], now)
		}
	}
	// Answers behind a position that the client has seen never count as fresh: the query is shed, or the response says so.
	setReport(0, "p=40;h=3000")
	setReport(1, "p=40;h=3000")
	m = c.roundTrip(postWithHint("b", "X-Read-Hint: not-before="+seen))
	after, _ := m.Get("retry-after")
	if d, err := time.ParseDuration(after + "s"); m.Status != 503 || err != nil || d <= 0 || d > time.Second {
		t.Errorf("status %d, retry after %q", m.Status, after)
	}
	m = c.roundTrip(postWithHint("c", "X-Read-Hint: not-before="+seen+"; max-stale=100ms; or-stale=yes"))
	stale, _ = m.Get("x-read-staleness")
	behind, _ := m.Get("x-read-behind")
	if d, err := time.ParseDuration(stale); m.Status != 200 || err != nil || d < 3*time.Second || behind != "0,1" {
		t.Errorf("status %d, staleness %q, behind %q", m.Status, stale, behind)
	}
	setReport(0, "-")
	setReport(1, "-")
	m = c.roundTrip(postWithHint("d", "X-Read-Hint: max-stale=100ms; or-stale=yes"))
	if stale, _ = m.Get("x-read-staleness"); m.Status != 200 || stale != "unknown" {
		t.Errorf("status %d, staleness %q", m.Status, stale)
	}
}

// A malformed hint must be reported in the response, and its query answered as one without a hint.
func TestWrongHintsOverSockets(t *testing.T) {
	s, reports, _ := runPinnedServer(t)
	for i := range 2 {
		text := "p=1;h=900000"
		reports[i].Store(&text)
	}
	c := dial(t, s)
	for i, text := range []string{"max-stale=1ms; pin=who:am-i", "max-stale=1ms; max-stale=1ms", "max-stale=1ms\r\nX-Read-Hint: max-stale=1ms"} {
		m := c.roundTrip(postWithHint(fmt.Sprint("a", i), readhint.Header+": "+text))
		why, _ := m.Get("x-read-hint-ignored")
		if _, there := m.Get("x-read-staleness"); m.Status != 200 || why == "" || there > 0 {
			t.Errorf("hint %q: status %d, ignored for %q", text, m.Status, why)
		}
	}
	if p := s.Counters().Queries.ReadPins; p.IgnoredHints != 3 || p.Chosen+p.Refused > 0 {
		t.Errorf("read pin counters: %+v", p)
	}
	plain, _ := runServer(t, 1024) // without read pins the hint is not parsed
	m := dial(t, plain).roundTrip(postWithHint("a", "X-Read-Hint: nonsense"))
	if _, there := m.Get("x-read-hint-ignored"); m.Status != 200 || there > 0 || plain.Counters().Queries.ReadPins != nil {
		t.Errorf("without read pins: status %d", m.Status)
	}
}

// A broker must use the positions that another one collected, aged by the time that they were on the way.
func TestPositionsBetweenBrokers(t *testing.T) {
	one, reports, _ := runPinnedServer(t)
	other, theirs, _ := runPinnedServer(t)
	text := "p=70;h=9000"
	for i := range 2 {
		reports[i].Store(&text)
		theirs[i].Store(&text)
	}
	for i := range 12 {
		dial(t, one).roundTrip(postWithHint(fmt.Sprint("a", i), "X-Read-Hint: max-stale=1ms; or-stale=yes"))
	}
	other.MergePositions([]byte("spoilt"), 0)
	other.MergePositions(one.CollectPositions(), time.Millisecond)
	other.AgreeEpoch(3, nil)
	m := dial(t, other).roundTrip(postWithHint("b", "X-Read-Hint: max-stale=100ms"))
	p := other.Counters().Queries.ReadPins
	if m.Status != 503 || p.Merged == 0 || p.Malformed != 1 || p.Epoch != 3 {
		t.Errorf("status %d, read pin counters %+v", m.Status, p)
	}
}

// A query with a hint must not be forwarded: the other site does not receive the hint.
func TestPinnedQueriesAreNotForwarded(t *testing.T) {
	l := &loop{gateway: &siteGateway{}}
	if l.gateway.offer(&activeQuery{Request: &query.Request{}, pin: &pinnedQuery{}}) {
		t.Error("a query with read pins was forwarded")
	}
}
