package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/config/operator"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/discovery/nodelist"
	"flaxfront/internal/filesystem"
	"flaxfront/internal/lab"
	"flaxfront/internal/transport/store"
)

// cachedListRig is a site on loopback whose brokers cache their endpoint list in dir.
type cachedListRig struct {
	*lab.Fleet
	t      *testing.T
	dir    string
	listen string
}

func newCachedListRig(t *testing.T, nodes int) *cachedListRig {
	f, err := lab.NewFleet(t.TempDir(), nodes, 2, 1)
	if err == nil {
		err = f.Discovery.Up("127.0.0.1:0")
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &cachedListRig{f, t, filepath.Join(f.Dir, "list"), "127.0.0.1:0"}
}

// start runs a broker; known says whether its configuration contains the endpoint list. end stops it as SIGTERM does.
func (k *cachedListRig) start(known bool) (s *Server, end func() error) {
	k.t.Helper()
	path, err := k.Config("n0", k.listen, k.Discovery.Addr(), known)
	start, file := readLabConfiguration(k.t, path, err, fmt.Sprintf(`{"start": {"node_list": {"directory": %q, "save_every": "10ms"}}}`, k.dir))
	return runConfigured(k.t, start, file)
}

func (k *cachedListRig) load(s *Server, last time.Duration) *lab.LoadResult {
	return lab.Load{URL: "http://" + s.listener.Addr().String(), QueryType: "find", Tenant: "acme", Shards: 4, MaxShards: 3, Rate: 60,
		RunTime: last, Timeout: 2 * time.Second, Objective: time.Second, MinCompleteness: 1, Seed: 5}.Run()
}

// waitFor waits until a state is reached, and fails the test after 1000 checks 10 ms apart.
func (k *cachedListRig) waitFor(what string, reached func() bool) {
	k.t.Helper()
	for range 1000 {
		if reached() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	k.t.Fatal("not reached in time: " + what)
}

// A broker that restarts while discovery is down serves from its cached list. A drain from before the restart stays in force, later changes
// of nodes are detected by the outcomes of attempts, and once discovery is back its list replaces the cached one.
func TestStartWithoutDiscovery(t *testing.T) {
	k := newCachedListRig(t, 8)
	k.List[0].Lifecycle = "terminating"
	k.Discovery.SetList(k.List)
	s, end := k.start(false)
	k.waitFor("the list is stored", func() bool { return s.Counters().CachedList.Snapshots > 0 && s.Counters().Queries.ListsReceived > 0 })
	k.Discovery.Down()
	end()
	drained := k.Nodes[0].ShardRequests.Load()

	k.Nodes[1].SetMode(lab.Dead)
	k.Nodes[2].SetMode(lab.Hanging)
	k.Nodes[3].SetMode(lab.Draining)
	// Another node, of the other cell, has taken over the address of a node.
	k.Nodes[5].SetMode(lab.Dead)
	other, err := lab.StartNode(k.Nodes[5].Addr(), lab.NewNodeModel("other", 0, 2, 5*time.Millisecond, lab.WarmUpParams{}, 9), 2, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer other.SetMode(lab.Dead)
	s, end = k.start(true) // the configuration still lists the drained node as in service
	o := k.load(s, 1500*time.Millisecond)
	if len(o.Violations) > 0 || o.Answered < o.Asked*9/10 {
		t.Errorf("load without discovery: %v, broken rules %v", o, o.Violations)
	}
	if n := k.Nodes[0].ShardRequests.Load(); n != drained {
		t.Errorf("%d attempts were sent to a node that was draining before the restart", n-drained)
	}
	c := s.Counters().Queries.CachedList
	if other.Misdirected.Load() == 0 || other.Misdirected.Load() > 10 {
		t.Errorf("%d attempts were sent to the node that took over the address of another, want 1 to 10", other.Misdirected.Load())
	}
	if c.Confirmed < 3 || c.Excluded != 1 || c.Confirmed+c.Unconfirmed+c.Ejected+c.Excluded != 8 {
		t.Errorf("cached list without discovery: %+v", c)
	}
	k.List[0].Lifecycle, k.List[4].Lifecycle = "in_service", "terminating"
	k.Discovery.SetList(k.List)
	if err := k.Discovery.Up(""); err != nil {
		t.Fatal(err)
	}
	k.waitFor("the list of discovery is applied", func() bool { return s.Counters().Queries.ListsReceived > 0 })
	after := k.Nodes[4].ShardRequests.Load()
	if o := k.load(s, 700*time.Millisecond); len(o.Violations) > 0 {
		t.Error(o.Violations)
	}
	if c := s.Counters().Queries.CachedList; c.Confirmed != 8 || k.Nodes[4].ShardRequests.Load() != after || k.Nodes[0].ShardRequests.Load() == drained {
		t.Errorf("after discovery is back: cached list %+v; %d attempts at the draining node, %d at the one back in service", c, k.Nodes[4].ShardRequests.Load()-after, k.Nodes[0].ShardRequests.Load()-drained)
	}
	// A list of discovery that lacks most nodes is applied, as the protocol says.
	k.Discovery.SetList(k.List[:1])
	k.waitFor("the short list is applied", func() bool { return s.Counters().Queries.Nodes <= 4 })
	end()
	if c, err := nodelist.Read(filesystem.Local{}, k.dir, ""); err != nil || !c.Found || len(c.Entries) != 8 {
		t.Errorf("stored list: %v, %+v", err, c)
	}
}

// With neither a stored nor a configured list every query is shed at once until discovery answers, and the broker can be reloaded and
// stopped meanwhile.
func TestStartWithoutAnyList(t *testing.T) {
	k := newCachedListRig(t, 2)
	k.Discovery.Down()
	s, end := k.start(false)
	if o := k.load(s, 200*time.Millisecond); o.Shed != o.Asked || len(o.Violations) > 0 {
		t.Errorf("load without any list: %v, broken rules %v", o, o.Violations)
	}
	s.Reload(s.start, s.operator, nil)
	end()
}

// Operators may drop entries of a running broker's list, and import others.
func TestOperatorRequestToARunningBroker(t *testing.T) {
	k := newCachedListRig(t, 4)
	s, end := k.start(false)
	k.waitFor("the list is stored", func() bool { return s.Counters().CachedList.Snapshots > 0 && s.Counters().Queries.ListsReceived > 0 })
	k.Discovery.Down()
	end()
	s, _ = k.start(false)
	c, err := nodelist.Read(filesystem.Local{}, k.dir, "")
	if err != nil {
		t.Fatal(err)
	}
	moved := c.Entries["node-00000001"]
	moved.Name, moved.StateSince = "node-new", moved.StateSince+1
	request := nodelist.OperatorRequest{Forget: []string{"node-00000001"}, Import: c.SortedByName()[:0:0]}
	request.Import = append(request.Import, moved)
	if err := nodelist.SubmitRequest(filesystem.Local{}, k.dir, c.Head.Deployment, request, time.Now()); err != nil {
		t.Fatal(err)
	}
	k.waitFor("the request is carried out", func() bool {
		c, _ := nodelist.Read(filesystem.Local{}, k.dir, "")
		_, old := c.Entries["node-00000001"]
		_, fresh := c.Entries["node-new"]
		return !old && fresh
	})
	if o := k.load(s, 300*time.Millisecond); len(o.Violations) > 0 || o.Answered < o.Asked*9/10 {
		t.Errorf("load after the request: %v, broken rules %v", o, o.Violations)
	}
	if c := s.Counters().Queries.CachedList; c.Confirmed+c.Unconfirmed != 4 {
		t.Errorf("cached list after the request: %+v", c)
	}
}

// The broker serves whatever is wrong with the list's directory.
func TestServesDespiteUnusableListDirectory(t *testing.T) {
	k := newCachedListRig(t, 2)
	for _, c := range []struct {
		what  string
		spoil func() error
	}{
		{"a file in its place", func() error { return os.WriteFile(k.dir, nil, 0o600) }},
		{"no list at all", func() error { return os.Remove(k.dir) }},
		{"a damaged list", func() error {
			return os.WriteFile(filepath.Join(k.dir, "list-00000001.snap"), []byte(strings.Repeat("x", 1000)), 0o600)
		}},
	} {
		if err := c.spoil(); err != nil {
			t.Fatal(err)
		}
		s, end := k.start(true)
		if o := k.load(s, 100*time.Millisecond); o.Answered != o.Asked || len(o.Violations) > 0 {
			t.Errorf("%s: %v, %v", c.what, o, o.Violations)
		}
		end()
	}
}

// BenchmarkStartOf100000 measures a start with a cached list of 100000 entries, from reading the directory to the router's first step.
func BenchmarkStartOf100000(b *testing.B) {
	dir := b.TempDir()
	f, err := lab.NewFleet(b.TempDir(), 0, 100, 1)
	if err != nil {
		b.Fatal(err)
	}
	path, _ := f.Config("n0", "127.0.0.1:0", "127.0.0.1:1", false)
	start, err := terms.ReadConfig(path)
	if err != nil {
		b.Fatal(err)
	}
	var entries []cachedlist.Entry
	for i := range 100_000 {
		entries = append(entries, cachedlist.Entry{Name: fmt.Sprintf("node-%08x", i), Address: start.Discovery, Zone: "a", Cell: i % 100,
			ConfirmedAt: cachedlist.TimestampOf(time.Now())})
	}
	kept, _ := nodelist.Open(nodelist.Options{Directory: dir, Deployment: start.Terms.Fingerprint()})
	kept.Enqueue(cachedlist.Changes{Put: entries})
	if err := kept.Flush(); err != nil {
		b.Fatal(err)
	}
	kept.Close()
	file, _ := operator.Decode("f", fmt.Appendf(nil, `{"start": {"node_list": {"directory": %q}}}`, dir))
	for b.Loop() {
		s, err := New(start, file, newRouter)
		if err == nil {
			err = s.Open()
		}
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		s.loop.pool = newPoolFor(s)
		b.StartTimer()
		s.loop.applyList(s.initialList)
		s.loop.stepRouter(s.loop.since())
		b.StopTimer()
		s.listener.Close()
		s.listStore.Close()
		b.StartTimer()
	}
}

func newPoolFor(s *Server) *store.Pool {
	return store.NewPool(s.ctx, store.Limits{Conns: 1, Streams: 1}, store.DialTCP, s.loop.since, s.group.Go,
		func(store.Event) {}, s.loop.attemptEnded)
}
