package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/lab"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// startAdmissionBroker starts a broker with admission and slow nodes.
func startAdmissionBroker(t *testing.T) (s *Server, end func() error) {
	k := newCachedListRig(t, 4)
	k.SetMeanWork(40 * time.Millisecond) // 200 attempts a second
	path, err := k.Config("n0", "127.0.0.1:0", k.Discovery.Addr(), true)
	start, file := readLabConfiguration(t, path, err, `{"door": {"on": true, "weights": ["acme=0.2", "quiet=0.8"]}}`)
	return runConfigured(t, start, file)
}

func runTenantLoad(s *Server, tenant string, rate float64, last time.Duration, seed uint64) *lab.LoadResult {
	return lab.Load{URL: "http://" + s.listener.Addr().String(), QueryType: "find", Tenant: tenant, Shards: 4, MaxShards: 2, Rate: rate,
		RunTime: last, Timeout: 1500 * time.Millisecond, Objective: time.Second, MinCompleteness: 1, Seed: seed}.Run()
}

// While one tenant sends far more queries than the nodes can answer, the other tenant is served, each query has one result, the counters
// add up, and a graceful shutdown with a full queue loses no query.
func TestFloodOfOneTenant(t *testing.T) {
	s, end := startAdmissionBroker(t)
	time.Sleep(200 * time.Millisecond)
	var flood, quiet *lab.LoadResult
	var both sync.WaitGroup
	both.Go(func() { flood = runTenantLoad(s, "acme", 800, 1500*time.Millisecond, 1) })
	both.Go(func() { quiet = runTenantLoad(s, "quiet", 20, 1500*time.Millisecond, 2) })
	both.Wait()
	if quiet.Answered < quiet.Asked*9/10 || len(quiet.Violations)+len(flood.Violations) > 0 || flood.Shed == 0 || flood.Answered == 0 {
		t.Errorf("load of tenant quiet: %v\nload of tenant acme: %v\nbroken rules: %v", quiet, flood, append(quiet.Violations, flood.Violations...))
	}
	c := s.Counters().Queries
	if c.Received != c.Answered+c.Shed+c.Failed+c.Abandoned+c.InFlight || c.InFlight != 0 || c.RejectedByAdmission == 0 || c.Admission.InFlight > 1e-6 {
		t.Errorf("unexpected counters: %+v, admission %+v", c, c.Admission)
	}
	var last *lab.LoadResult
	both.Go(func() { last = runTenantLoad(s, "acme", 400, 300*time.Millisecond, 3) })
	time.Sleep(310 * time.Millisecond)
	end()
	both.Wait()
	if len(last.Violations) > 0 {
		t.Errorf("rules broken during shutdown: load %v, %v", last, last.Violations)
	}
}

// Queries whose clients leave while they are queued are dropped completely.
func TestClientLeavesWhileQueued(t *testing.T) {
	s, _ := startAdmissionBroker(t)
	var conns []net.Conn
	body := `{"tablets":[{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.5}],"statement":"c4"}`
	for i := range 80 {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /find HTTP/1.1\r\nHost: b\r\nX-Request-ID: g%d\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 1900\r\nContent-Length: %d\r\n\r\n%s",
			i, len(body), body)
		conns = append(conns, c)
	}
	time.Sleep(20 * time.Millisecond)
	for _, c := range conns {
		c.Close()
	}
	(&cachedListRig{t: t}).waitFor("all queries of the departed clients are dropped", func() bool {
		c := s.Counters().Queries
		waiting := 0
		for _, n := range c.Admission.Tenants {
			waiting += n.Queued
		}
		return c.Received == 80 && c.InFlight == 0 && waiting == 0 && c.Admission.InFlight < 1e-6 &&
			c.Received == c.Answered+c.Shed+c.Failed+c.Abandoned
	})
}

func TestParseWeights(t *testing.T) {
	for text, want := range map[string]string{
		"acme=0.5 quiet=0.5": "", "acme=0 quiet=1": "", "acme=0.5": "1 of 2 tenants", "acme=0.5 quiet=0.6": "add up to 1.1",
		"acme=0.5 quite=0.5": "quite=0.5", "acme=0.5 acme=0.5": "named once", "acme=x quiet=1": "acme=x", "acme=-1 quiet=1": "acme=-1",
	} {
		err := parseWeights([]float64{0.3, 0.3}, []string{"acme", "quiet"}, strings.Fields(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("weights %q: error %v", text, err)
		}
	}
}

// firstAnswerRouter is a router that answers a query as soon as one of its attempts has ended.
type firstAnswerRouter struct{}

func (firstAnswerRouter) Step(_ time.Duration, events []decision.Event, out []decision.Action) []decision.Action {
	for i := range events {
		if e := &events[i]; e.Kind == decision.AttemptEnded {
			out = append(out, decision.Action{Kind: decision.AnswerQuery, ID: e.ID - 1, Complete: true})
		}
	}
	return out
}

// The time from admission to the router step, and from an answer's arrival to the next step, is not counted as the store's delay.
func TestStepDelayIsNotCountedAsStoreDelay(t *testing.T) {
	l := newLoop(time.Now(), firstAnswerRouter{}, &decision.Settings{MaxInFlight: 100, MaxBatch: 8})
	now := time.Duration(0)
	l.clock = func() time.Duration { return now }
	l.pool = store.NewPool(t.Context(), store.Limits{}, nil, l.since, nil, nil, l.attemptEnded)
	admission, err := newAdmissionControl(&operator.Default().Admission, &terms.Terms{})
	if err != nil {
		t.Fatal(err)
	}
	l.useAdmission(admission)
	q := &activeQuery{Request: &query.Request{ID: "a", Shards: []query.ShardRequest{{Name: "a.0", Weight: 1}}}, deadline: 5 * time.Second, result: make(chan query.Result, 1)}
	now = 1 * time.Second
	l.handle(queryReceived{q})
	now = 1300 * time.Millisecond
	l.advance()
	now = 1640 * time.Millisecond
	l.attemptEnded(&store.Subrequest{Subrequest: q.id + 1, Sent: 1300 * time.Millisecond}, decision.OK, 1340*time.Millisecond, "v")
	l.advance()
	now = 4 * time.Second
	l.advance()
	if d := l.admission.State(now); len(q.result) != 1 || d.Baseline != 40*time.Millisecond || d.DelayFactor < 2 || d.InFlight != 0 {
		t.Errorf("admission state: %+v", d)
	}
}
