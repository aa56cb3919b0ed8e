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

// side is one broker's links with what happened on them.
type side struct {
	*Links
	events chan Event
	held   []Event
	ln     net.Listener
	stop   context.CancelFunc
}

func (s *side) post(e Event) { s.events <- e }

// until reads events up to one that fits.
func (s *side) until(t testing.TB, what string, fits func(Event) bool) Event {
	t.Helper()
	for i, e := range s.held {
		if fits(e) {
			s.held = slices.Delete(s.held, i, i+1)
			return e
		}
	}
	late := time.After(15 * time.Second)
	for {
		select {
		case e := <-s.events:
			if fits(e) {
				return e
			}
			if e.Heard == nil {
				s.held = append(s.held, e)
			}
		case <-late:
			t.Fatalf("never: %s; held %+v", what, s.held)
		}
	}
}

func isUp(e Event) bool { return e.Up != nil }

func isDown(e Event) bool { return e.Down != nil }

// ring makes the keys of a broker.
func ring(t testing.TB, ca, site string) *keys.Keyring {
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

// far listens; near dials it, over a wire if one is given.
func sides(t testing.TB, nearVersion, farVersion [2]int) (near, far *side, wire *lab.Relay) {
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
	far.Links = New(Options{Keys: ring(t, ca, "site-b"), Epoch: 2, Credit: 9, Sites: []string{"site-a"}, MostIn: 2, Post: far.post,
		version: farVersion})
	near = &side{events: make(chan Event, 1000)}
	near.Links = New(Options{Keys: ring(t, ca, "site-a"), Epoch: 1, Credit: 9, Post: near.post, version: nearVersion,
		Targets: []Target{{"site-b", wire.Addr()}}})
	ctx, cancel := context.WithCancel(context.Background())
	nearCtx, stop := context.WithCancel(ctx)
	near.stop = stop
	done := make(chan struct{}, 2)
	go func() { far.Serve(ctx, ln); done <- struct{}{} }()
	go func() { near.Keep(nearCtx, 0); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		ln.Close()
		wire.Close()
		for range 2 {
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Error("links did not end")
			}
		}
	})
	return near, far, wire
}

var both = [2]int{MinVersion, MaxVersion}

func ask(id uint64) Ask {
	return Ask{ID: id, Left: 1e6, Type: "find", Tenant: "acme", Request: fmt.Sprintf("%016x", id), Text: "c41e",
		Parts: []Part{{Shard: 1, Weight: 0.5}, {Shard: 3, Weight: 0.5}}}
}

// A search goes there and its verdict comes back, between versions that have one in common.
func TestExchange(t *testing.T) {
	for _, versions := range [][2][2]int{{both, both}, {both, {1, 1}}, {{1, 1}, both}, {{1, 2}, {2, 7}}} {
		near, far, _ := sides(t, versions[0], versions[1])
		up := near.until(t, "near up", isUp)
		far.until(t, "far up", isUp)
		if want := min(versions[0][1], versions[1][1]); up.Conn.Version() != want || up.Up.Epoch != 2 || up.Up.Credit != 9 {
			t.Errorf("version %d, not %d; %+v", up.Conn.Version(), want, up.Up)
		}
		near.Say(Status{Room: 0.5, Lacking: []int{4}}, false)
		if !up.Conn.Ask(ask(7)) {
			t.Fatal("not sent")
		}
		in := far.until(t, "the ask", func(e Event) bool { return e.Ask != nil })
		if fmt.Sprint(*in.Ask) != fmt.Sprint(ask(7)) {
			t.Errorf("came as %+v", in.Ask)
		}
		in.Conn.Verdict(Verdict{ID: 7, Whole: true, Pieces: []Piece{{Shard: 1, Value: "v"}}})
		out := near.until(t, "the verdict", func(e Event) bool { return e.Verdict != nil })
		if out.Verdict.ID != 7 || out.Verdict.Pieces[0].Value != "v" {
			t.Errorf("came back as %+v", out.Verdict)
		}
		up.Conn.Cancel(7)
		far.until(t, "the cancel", func(e Event) bool { return e.Cancel != nil && *e.Cancel == 7 })
		far.until(t, "the status", func(e Event) bool { return e.Heard != nil && e.Heard.Room == 0.5 && e.Heard.Lacking[0] == 4 })
		near.stop()
	}
}

// Without a version in common, or without a place among those that may come, a link does not stand, and that is counted.
func TestRefused(t *testing.T) {
	near, far, _ := sides(t, [2]int{1, 1}, [2]int{2, 2})
	for far.Refused.Load() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	near.stop()
	stranger, err := tls.Dial("tcp", far.ln.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = stranger.Read(make([]byte, 1))
		stranger.Close()
	}
	if err == nil {
		t.Error("one without a certificate got in")
	}
	select {
	case e := <-near.events:
		t.Errorf("%+v", e)
	default:
	}
}

// A cut, one way or both, is noticed by both sides; the link stands again once it is mended.
func TestCuts(t *testing.T) {
	for what, cut := range map[string][2]bool{"both ways": {true, true}, "there": {true, false}, "back": {false, true}} {
		near, far, wire := sides(t, both, both)
		near.until(t, "near up", isUp)
		far.until(t, "far up", isUp)
		wire.Cut(cut[0], cut[1])
		at := time.Now()
		n := near.until(t, what+": near down", isDown)
		nearTook := time.Since(at)
		far.until(t, what+": far down", isDown)
		t.Logf("cut %s: near side after %v (%s), both after %v", what, nearTook.Round(time.Millisecond), n.Down.Reason,
			time.Since(at).Round(time.Millisecond))
		wire.Cut(false, false)
		wire.Reset()
		near.until(t, what+": near up again", isUp)
		near.stop()
	}
}
