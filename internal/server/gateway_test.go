package server

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"flaxfront/internal/lab"
	"flaxfront/internal/transport/keys"
)

// twoSites runs two sites on loopback, with a simulated wire from the first to the second.
type twoSites struct {
	t           *testing.T
	dir         string
	fleet       [2]*lab.Fleet
	listenAddrs [2]string // where each site listens for the other's links
	wire        *lab.Relay
	servers     [2]*Server
	stop        [2]func() error
	audit       *lab.Audit
	loads       uint64 // calls of runLoad; each uses another seed
	resume      string // how long a forwarded query waits for its lost link
}

func newTwoSites(t *testing.T, delay time.Duration) *twoSites {
	return newTwoSitesThatResume(t, delay, "300ms")
}

func newTwoSitesThatResume(t *testing.T, delay time.Duration, resume string) *twoSites {
	w := &twoSites{t: t, dir: t.TempDir(), resume: resume}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(keys.NewAuthority(filepath.Join(w.dir, "ca"), "test", time.Hour, time.Now()))
	for i, site := range []string{"site-a", "site-b"} {
		var err error
		w.listenAddrs[i], err = lab.FreeAddr()
		must(err)
		_, err = keys.Issue(filepath.Join(w.dir, "ca"), filepath.Join(w.dir, site), keys.ID{Site: site, Broker: "n0"}, time.Hour, time.Now())
		must(err)
		w.fleet[i], err = lab.NewFleet(t.TempDir(), 8, 4, uint64(i))
		must(err)
		must(w.fleet[i].Discovery.Up("127.0.0.1:0"))
		t.Cleanup(w.fleet[i].Close)
	}
	var err error
	w.wire, err = lab.NewRelay(w.listenAddrs[1], delay/2, 0, 1)
	must(err)
	t.Cleanup(w.wire.Close)
	w.audit = &lab.Audit{Fleet: w.fleet[:]}
	for i := range w.servers {
		w.start(i)
	}
	w.waitFor("the link is established", func() bool { return w.gatewayState(0).Links[0].StatusAge >= 0 })
	return w
}

func (w *twoSites) start(i int) {
	w.t.Helper()
	target := []string{"site-b=" + w.wire.Addr(), "site-a=" + w.listenAddrs[0]}[i]
	site, other := []string{"site-a", "site-b"}[i], []string{"site-b", "site-a"}[i]
	text := fmt.Sprintf(`{"sites": {"keys": %q, "listen": %q, "allow": [%q], "targets": [%q], "share": 1, "burst": 500, "accept": 0.5, "resume": %q}}`,
		filepath.Join(w.dir, site), w.listenAddrs[i], other, target, w.resume)
	path, err := w.fleet[i].Config("n0", "127.0.0.1:0", w.fleet[i].Discovery.Addr(), true)
	start, file := readLabConfiguration(w.t, path, err, text)
	w.servers[i], w.stop[i] = runConfigured(w.t, start, file)
}

func (w *twoSites) waitFor(what string, so func() bool) {
	w.t.Helper()
	(&cachedListRig{t: w.t}).waitFor(what, so)
}

func (w *twoSites) gatewayState(i int) *GatewayState { return w.servers[i].Counters().Queries.Gateway }

// killCell stops the nodes of one cell at a site.
func (w *twoSites) killCell(site, cell int) {
	for i, n := range w.fleet[site].Nodes {
		if i%4 == cell {
			n.SetMode(lab.Dead)
		}
	}
}

func (w *twoSites) runLoad(rate float64, last time.Duration) *lab.LoadResult {
	return w.run(lab.Load{QueryTypes: []string{"find", "sign", "book"}, MaxShards: 3, Rate: rate, RunTime: last})
}

// run runs a load against the first site and checks the rules.
func (w *twoSites) run(load lab.Load) *lab.LoadResult {
	w.loads++
	load.URL, load.Tenant, load.Shards, load.Seed = "http://"+w.servers[0].listener.Addr().String(), "acme", 8, w.loads
	load.Timeout, load.Objective, load.MinCompleteness = 1500*time.Millisecond, time.Second, 1
	load.RecordResult = w.audit.RecordResult
	o := load.Run()
	time.Sleep(100 * time.Millisecond)
	why, _ := w.audit.Check()
	for _, s := range append(o.Violations, why...) {
		w.t.Error(s)
	}
	return o
}

// Queries for which the first site has no replicas must be answered by the second, within their deadlines and with the second site's values.
func TestForwarding(t *testing.T) {
	w := newTwoSites(t, 40*time.Millisecond)
	if o := w.runLoad(100, 300*time.Millisecond); w.gatewayState(0).Outgoing.Forwarded > 0 || o.Answered < o.Asked*9/10 {
		t.Errorf("with all nodes up: %+v, %v", w.gatewayState(0).Outgoing, o)
	}
	w.killCell(0, 0)
	o := w.runLoad(100, 700*time.Millisecond)
	n := w.gatewayState(0).Outgoing
	if n.Forwarded == 0 || n.Answered == 0 || o.Answered < o.Asked*9/10 || w.gatewayState(1).Incoming.Admitted != n.Forwarded {
		t.Errorf("with a cell lost: %+v, %v", n, o)
	}
	// The second site drains a node while queries are being forwarded.
	w.fleet[1].List[0].Lifecycle = "terminating"
	w.fleet[1].Discovery.SetList(w.fleet[1].List)
	time.Sleep(500 * time.Millisecond)
	before := w.fleet[1].Nodes[0].ShardRequests.Load()
	w.runLoad(100, 500*time.Millisecond)
	if n := w.fleet[1].Nodes[0].ShardRequests.Load() - before; n > 0 {
		t.Errorf("%d attempts reached a node later than 500 ms after its broker was told that it drains", n)
	}
	// Neither site has replicas: queries must be shed at once, and not be forwarded back and forth.
	w.killCell(1, 0)
	w.runLoad(100, 500*time.Millisecond)
	w.waitFor("no remote query is in flight", func() bool { return w.gatewayState(1).Incoming.InFlight == 0 })
	time.Sleep(300 * time.Millisecond)
	forwarded := w.gatewayState(0).Outgoing.Forwarded
	w.runLoad(60, 300*time.Millisecond)
	if n := w.gatewayState(0).Outgoing.Forwarded - forwarded; n > 5 {
		t.Errorf("%d queries were forwarded to a site without replicas", n)
	}
	if w.gatewayState(1).Outgoing.Forwarded > 0 {
		t.Errorf("the second site forwarded queries: %+v", w.gatewayState(1).Outgoing)
	}
}

// While queries wait, the wire is cut in one direction and in both, and reset: each query must get one answer in time, and no query that is
// not idempotent may take effect twice.
func TestCutUnderLoad(t *testing.T) {
	w := newTwoSites(t, 80*time.Millisecond)
	w.killCell(0, 0)
	w.killCell(0, 1)
	go func() {
		for _, cut := range [][2]bool{{true, false}, {false, true}, {true, true}} {
			time.Sleep(300 * time.Millisecond)
			w.wire.Cut(cut[0], cut[1])
			time.Sleep(200 * time.Millisecond)
			w.wire.Reset()
			w.wire.Cut(false, false)
		}
	}()
	o := w.runLoad(150, 2*time.Second)
	n := w.gatewayState(0).Outgoing
	if o.Unanswered > 0 || n.Forwarded == 0 || n.InFlight != 0 {
		t.Errorf("after cuts of the wire: %v, %+v", o, n)
	}
}

// Guards against shedding queries that run at the other site, when those that wait for a lost link are more than 1 MiB. They are all sent again over
// the next link, and answered.
func TestResetUnderLargeQueries(t *testing.T) {
	w := newTwoSitesThatResume(t, 80*time.Millisecond, "600ms")
	for cell := range 4 {
		w.killCell(0, cell)
	}
	w.fleet[1].SetMeanWork(150 * time.Millisecond)
	time.AfterFunc(600*time.Millisecond, w.wire.Reset)
	o := w.run(lab.Load{QueryType: "sign", MaxShards: 1, StatementBytes: 56 << 10, Rate: 250, RunTime: time.Second})
	n := w.gatewayState(0).Outgoing
	if n.Retried < 20 || n.InFlight != 0 {
		t.Errorf("after a reset of the wire: %v, %+v", o, n)
	}
	if links := w.servers[0].Counters().Queries.Gateway.Links; !links[0].Up {
		t.Errorf("the next link has ended too: %+v", links)
	}
}

// The second site's broker shuts down gracefully, and another one takes its place. Nothing new may be sent there once the first site is
// told, queries in flight there must be finished, and the new broker must be used.
func TestOtherSiteStops(t *testing.T) {
	w := newTwoSites(t, 20*time.Millisecond)
	w.killCell(0, 0)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(300 * time.Millisecond)
		if err := w.stop[1](); err != nil {
			t.Error(err)
		}
	}()
	if o := w.runLoad(100, time.Second); o.Unanswered > 0 {
		t.Error(o)
	}
	<-ended
	if n := w.gatewayState(0).Outgoing; n.LinkLost > 0 {
		t.Errorf("queries were lost at a graceful shutdown: %+v", n)
	}
	w.start(1)
	w.waitFor("the link is established again", func() bool { return w.gatewayState(0).Links[0].Usable })
	answered := w.gatewayState(0).Outgoing.Answered
	w.runLoad(100, 300*time.Millisecond)
	if w.gatewayState(0).Outgoing.Answered == answered {
		t.Error("the new broker was not used")
	}
}
