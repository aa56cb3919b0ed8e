package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"flaxfront/internal/lab"
	"flaxfront/internal/transport/keys"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// side is one broker's links and their events.
type side struct {
	*Links
	events  chan Event
	pending []Event
	ln      net.Listener
	stop    context.CancelFunc
}

func (s *side) post(e Event) { s.events <- e }

// waitFor returns the first event that matches. Earlier ones, except for heartbeats, stay pending for later calls.
func (s *side) waitFor(t testing.TB, what string, matches func(Event) bool) Event {
	t.Helper()
	for i, e := range s.pending {
		if matches(e) {
			s.pending = slices.Delete(s.pending, i, i+1)
			return e
		}
	}
	timeout := time.After(15 * time.Second)
	for {
		select {
		case e := <-s.events:
			if matches(e) {
				return e
			}
			if e.Heartbeat == nil {
				s.pending = append(s.pending, e)
			}
		case <-timeout:
			t.Fatalf("no event within 15 s: %s; pending %+v", what, s.pending)
		}
	}
}

func isUp(e Event) bool { return e.Up != nil }

func isDown(e Event) bool { return e.Down != nil }

// newKeyring issues the keys of a broker.
func newKeyring(t testing.TB, ca, site string) *keys.Keyring {
	t.Helper()
	dir := filepath.Join(t.TempDir(), site)
	if _, err := os.Stat(ca); err != nil {
		if err := keys.NewAuthority(ca, "test", time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := keys.Issue(ca, dir, keys.ID{Site: site, Broker: "n0"}, time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	k, err := keys.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// connectedSides starts two sides: far listens, and near dials it through a relay that can cut the network.
func connectedSides(t testing.TB, nearVersion, farVersion [2]int) (near, far *side, wire *lab.Relay) {
	t.Helper()
	ca := filepath.Join(t.TempDir(), "ca")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if wire, err = lab.NewRelay(ln.Addr().String(), 0, 0, 1); err != nil {
		t.Fatal(err)
	}
	far = &side{events: make(chan Event, 1000), ln: ln}
	far.Links = New(Options{Keys: newKeyring(t, ca, "site-b"), Epoch: 2, Credit: 9, Sites: []string{"site-a"}, MaxAccepted: 2, Post: far.post,
		versions: farVersion})
	near = &side{events: make(chan Event, 1000)}
	near.Links = New(Options{Keys: newKeyring(t, ca, "site-a"), Epoch: 1, Credit: 9, Post: near.post, versions: nearVersion,
		Targets: []Target{{"site-b", wire.Addr()}}})
	ctx, cancel := context.WithCancel(context.Background())
	nearCtx, stop := context.WithCancel(ctx)
	near.stop = stop
	done := make(chan struct{}, 2)
	go func() { far.Serve(ctx, ln); done <- struct{}{} }()
	go func() { near.Maintain(nearCtx, 0); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		ln.Close()
		wire.Close()
		for range 2 {
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Error("links did not end within 10 s")
			}
		}
	})
	return near, far, wire
}

var allVersions = [2]int{MinVersion, MaxVersion}

func query(id uint64) Query {
	return Query{ID: id, RemainingMicros: 1e6, Type: "find", Tenant: "acme", Request: fmt.Sprintf("%016x", id), Text: "c41e",
		ShardRequests: []ShardRequest{{Shard: 1, Weight: 0.5}, {Shard: 3, Weight: 0.5}}}
}

// TestExchange forwards a query and returns its reply, between sides that have a protocol version in common.
func TestExchange(t *testing.T) {
	for _, versions := range [][2][2]int{{allVersions, allVersions}, {allVersions, {1, 1}}, {{1, 1}, allVersions}, {{1, 2}, {2, 7}}} {
		near, far, _ := connectedSides(t, versions[0], versions[1])
		up := near.waitFor(t, "near up", isUp)
		far.waitFor(t, "far up", isUp)
		if want := min(versions[0][1], versions[1][1]); up.Conn.Version() != want || up.Up.Epoch != 2 || up.Up.Credit != 9 {
			t.Errorf("version %d, want %d; hello %+v", up.Conn.Version(), want, up.Up)
		}
		near.SetStatus(Status{FreeCapacity: 0.5, MissingShards: []int{4}}, false)
		queuedAt := time.Now()
		if !up.Conn.Query(query(7)) {
			t.Fatal("query not queued")
		}
		in := far.waitFor(t, "the query", func(e Event) bool { return e.Query != nil })
		want := query(7)
		if left := in.Query.RemainingMicros; left > want.RemainingMicros || left < want.RemainingMicros-time.Since(queuedAt).Microseconds() {
			t.Errorf("received query with %d us left, sent with %d", left, want.RemainingMicros)
		}
		want.RemainingMicros = in.Query.RemainingMicros
		if fmt.Sprint(*in.Query) != fmt.Sprint(want) {
			t.Errorf("received query %+v", in.Query)
		}
		in.Conn.Reply(Reply{ID: 7, IsComplete: true, ShardAnswers: []ShardAnswer{{Shard: 1, Value: "v"}}})
		out := near.waitFor(t, "the reply", func(e Event) bool { return e.Reply != nil })
		if out.Reply.ID != 7 || out.Reply.ShardAnswers[0].Value != "v" {
			t.Errorf("received reply %+v", out.Reply)
		}
		up.Conn.Cancel(7)
		far.waitFor(t, "the cancel", func(e Event) bool { return e.Cancel != nil && *e.Cancel == 7 })
		far.waitFor(t, "the status", func(e Event) bool {
			return e.Heartbeat != nil && e.Heartbeat.FreeCapacity == 0.5 && e.Heartbeat.MissingShards[0] == 4
		})
		near.stop()
	}
}

// Without a common protocol version, or without a certificate, no link is established; rejected handshakes are counted.
func TestRejectedHandshakes(t *testing.T) {
	near, far, _ := connectedSides(t, [2]int{1, 1}, [2]int{2, 2})
	for far.RejectedHandshakes.Load() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	near.stop()
	anonymous, err := tls.Dial("tcp", far.ln.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = anonymous.Read(make([]byte, 1))
		anonymous.Close()
	}
	if err == nil {
		t.Error("a client without a certificate was accepted")
	}
	select {
	case e := <-near.events:
		t.Errorf("unexpected event %+v", e)
	default:
	}
}

// Both sides notice when the network is cut in one or both directions. The link is established again once the network works.
func TestNetworkCuts(t *testing.T) {
	for what, cut := range map[string][2]bool{"both ways": {true, true}, "there": {true, false}, "back": {false, true}} {
		near, far, wire := connectedSides(t, allVersions, allVersions)
		near.waitFor(t, "near up", isUp)
		far.waitFor(t, "far up", isUp)
		wire.Cut(cut[0], cut[1])
		at := time.Now()
		n := near.waitFor(t, what+": near down", isDown)
		nearTook := time.Since(at)
		far.waitFor(t, what+": far down", isDown)
		t.Logf("cut %s: near side noticed after %v (%s), both after %v", what, nearTook.Round(time.Millisecond), n.Down.Reason,
			time.Since(at).Round(time.Millisecond))
		wire.Cut(false, false)
		wire.Reset()
		near.waitFor(t, what+": near up again", isUp)
		near.stop()
	}
}
