package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/broker"
	"flaxfront/decide/trust"
	"flaxfront/httpwire"
)

var start = time.UnixMilli(1_000_000)

func reader() Reader { return Reader{Zones: []string{"a", "b"}, Cells: 3, Start: start} }

func list(version int, whole bool, lines ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, whole, strings.Join(lines, ","))
}

func line(name, addr, state string, started int) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"b","machineType":"m","cell":2,"lifecycle":%q,`+
		`"weight":1.0,"startedAtMs":%d}`, name, addr, state, started)
}

func TestDecode(t *testing.T) {
	rd := reader()
	got, err := rd.Decode([]byte(list(41, true, line("s-1", "10.0.0.1:80", "in_service", 0),
		line("s-2", "10.0.0.2:80", "terminating", 1_002_500), line("s-3", "", "terminated", 0))))
	if err != nil || got.Version != 41 || !got.Whole || len(got.Nodes) != 3 {
		t.Fatalf("%v, %+v", err, got)
	}
	n := got.Nodes[0]
	want := broker.Entry{Node: ID("s-1"), Cell: 2, Zone: 1, State: broker.Ready, Boot: broker.NoBoot}
	if n.Entry != want || n.Addr != netip.MustParseAddrPort("10.0.0.1:80") {
		t.Errorf("read as %+v", n)
	}
	if e := got.Nodes[1].Entry; e.State != broker.Draining || e.Boot != 2500*time.Millisecond {
		t.Errorf("read as %+v", e)
	}
	// One bad line spoils the list: half a list may hide a drain.
	for _, bad := range []string{"", "[]", `{"instances":[]}`, list(1, true, line("s-1", "here", "in_service", 0)),
		list(1, true, line("", "10.0.0.1:80", "in_service", 0)), list(1, true, line("s-1", "10.0.0.1:80", "asleep", 0)),
		list(1, true, line("s-1", "10.0.0.1:80", "in_service", -1)), list(1, true, strings.Replace(
			line("s-1", "10.0.0.1:80", "in_service", 0), `"cell":2`, `"cell":3`, 1))} {
		if got, err := rd.Decode([]byte(bad)); err == nil {
			t.Errorf("%.60q read as %+v", bad, got)
		}
	}
}

// Brokers see a node at different addresses, yet must mean the same node when they speak of it.
func TestIDComesOfTheName(t *testing.T) {
	seen := map[broker.NodeID]string{}
	for _, name := range []string{"s-5be2a07c", "s-5be2a07d", "t-5be2a07c", "s", "node one", "node two"} {
		if other, twice := seen[ID(name)]; twice {
			t.Errorf("%s and %s share an id", name, other)
		}
		seen[ID(name)] = name
	}
	if text := ID("s-5be2a07c").String(); !strings.HasPrefix(text, "5be2a07c/") {
		t.Errorf("logged as %s", text)
	}
}

// Every ask gets one answer or more; a failure ends the watch, and an unreadable or older list leads to a whole one.
func TestWatch(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	replies := []string{list(41, true), list(43, false), "503", "reset", list(42, false), "garbled", list(44, true)}
	asked := make(chan string, 100)
	go func() {
		next := 0
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			in := httpwire.NewReader(conn)
			for {
				m, err := httpwire.ReadRequest(in)
				if err != nil || next == len(replies) {
					break
				}
				asked <- m.Query
				reply := replies[next]
				next++
				if reply == "reset" {
					break
				}
				status := 200
				if reply == "503" {
					status = 503
				}
				conn.Write(httpwire.AppendResponse(nil, status, false, []byte(reply)))
			}
			conn.Close()
		}
	}()
	told := make(chan string, 100)
	c := NewClient(ln.Addr().String(), reader(), 10*time.Second, 40, true, func(l *List, err error) {
		if err != nil {
			told <- "failed"
		} else {
			told <- fmt.Sprint(l.Version)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	for _, step := range [][2]string{{"index=40&wait=10000", "41"}, {"index=41&wait=10000", "43"},
		{"index=43&wait=10000", "failed"}, {"index=43&wait=10000", "failed"}, {"index=43&wait=10000", "failed"},
		{"", "failed"}, {"", "44"}} {
		c.Ask() // where a watch is held this asks for nothing more
		if got := <-asked; got != step[0] {
			t.Errorf("asked %q, want %q", got, step[0])
		}
		if got := <-told; got != step[1] {
			t.Errorf("told %s, want %s", got, step[1])
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Discovery that takes a call and says nothing must not leave the broker deaf for ever.
func TestSilentDiscovery(t *testing.T) {
	for known, limit := range map[bool]time.Duration{true: 12 * time.Second, false: 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			failed := make(chan time.Duration, 1)
			begin := time.Now()
			c := NewClient("", reader(), 10*time.Second, 40, known, func(l *List, err error) {
				if err != nil {
					failed <- time.Since(begin)
				}
			})
			c.dial = func(context.Context, string, string) (net.Conn, error) {
				here, there := net.Pipe()
				go io.Copy(io.Discard, there)
				return here, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			go c.Run(ctx)
			c.Ask()
			if after := <-failed; after != limit {
				t.Errorf("known %v: failed after %v, want %v", known, after, limit)
			}
			cancel()
			synctest.Wait()
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(list(41, true, line("s-1", "10.0.0.1:80", "in_service", 5))))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rd := reader()
		if l, err := rd.Decode(raw); err == nil {
			for _, n := range l.Nodes {
				if n.Name == "" || n.Entry.Cell >= 3 || !n.Addr.IsValid() && n.Entry.State != broker.Gone {
					t.Errorf("let through %+v", n)
				}
			}
		}
	})
}

// A move ends the watch that is held and asks the new service at once, for the whole list, whatever it counts from;
// a new one that fails is the module's to ask again.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []string
		c := NewClient("old", reader(), 10*time.Second, 40, true, func(l *List, err error) {
			if err != nil {
				told = append(told, "failed")
			} else {
				told = append(told, fmt.Sprint(l.Version))
			}
		})
		c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			if addr == "dead" {
				return nil, io.ErrUnexpectedEOF
			}
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				for in := httpwire.NewReader(there); ; {
					m, err := httpwire.ReadRequest(in)
					if err != nil || m.Query != "" { // a watch is held for ever
						io.Copy(io.Discard, there)
						return
					}
					there.Write(httpwire.AppendResponse(nil, 200, false, []byte(list(len(addr), true))))
				}
			}()
			return here, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.Ask()
		begun := time.Now()
		for i, step := range []struct{ to, want string }{{"new", "[3]"}, {"newer", "[3 5]"}, {"dead", "[3 5 failed]"},
			{"back again", "[3 5 failed 10]"}} {
			synctest.Wait()
			c.Move("nowhere", nil)
			c.Move(step.to, nil)
			synctest.Wait()
			if got := fmt.Sprint(told); got != step.want || time.Since(begun) > 0 {
				t.Errorf("move %d to %s: told %s after %v, want %s", i, step.to, got, time.Since(begun), step.want)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Other terms hold from the next call on: a shorter watch, another layout.
func TestMoveUnderOtherTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []string
		c := NewClient("old", reader(), 20*time.Second, 0, false, func(l *List, err error) {
			told = append(told, fmt.Sprint(l.Cells, err))
		})
		asked := make(chan string, 9)
		c.dial = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				for in := httpwire.NewReader(there); ; {
					m, err := httpwire.ReadRequest(in)
					if err != nil {
						return
					}
					if asked <- m.Query; m.Query != "" {
						io.Copy(io.Discard, there)
						return
					}
					there.Write(httpwire.AppendResponse(nil, 200, false, []byte(list(3, true))))
				}
			}()
			return here, nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		c.Ask()
		synctest.Wait()
		c.Ask()
		synctest.Wait()
		other := reader()
		other.Cells += 4
		c.Move("old", &Terms{other, 3 * time.Second})
		synctest.Wait()
		c.Ask()
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(asked)
		var queries []string
		for q := range asked {
			queries = append(queries, q)
		}
		first, then := fmt.Sprint(reader().Cells, nil), fmt.Sprint(other.Cells, nil)
		if got := strings.Join(queries, " "); got != " index=3&wait=20000  index=3&wait=3000" {
			t.Errorf("asked %q", got)
		}
		if !slices.Equal(told, []string{first, then}) {
			t.Errorf("told %q", told)
		}
	})
}

// paced is a client that asks again by itself, before stand-ins that are dialled by turns.
func paced(t *testing.T, dial func(n int) (net.Conn, error)) (got *[]string, stop func()) {
	c := NewClient("127.0.0.1:1", reader(), 20*time.Second, 0, false, nil)
	c.Pace(trust.NewPacer(trust.Pace{KnockEvery: 200 * time.Millisecond, PerCall: 2 * time.Millisecond,
		MostDelay: 500 * time.Millisecond, Brokers: 10}, 3), 0, false)
	got = &[]string{}
	c.tell = func(l *List, err error) {
		if err != nil {
			*got = append(*got, "failed")
		} else {
			*got = append(*got, fmt.Sprint(l.Version, l.Service))
		}
	}
	n := 0
	c.dial = func(context.Context, string, string) (net.Conn, error) {
		n++
		return dial(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	c.Ask()
	return got, cancel
}

// answers is a discovery that answers each call in turn by what it is given, then holds the next.
func answers(bodies ...string) net.Conn {
	near, far := net.Pipe()
	go func() {
		in := httpwire.NewReader(far)
		for _, body := range bodies {
			if _, err := httpwire.ReadRequest(in); err != nil {
				return
			}
			if body == "" { // says nothing
				io.Copy(io.Discard, far)
				return
			}
			status := 200
			if body == "jammed" {
				status = 503
			}
			far.Write(httpwire.AppendResponse(nil, status, false, []byte(body)))
		}
		io.Copy(io.Discard, far)
	}()
	return near
}

// Discovery that can't be reached is knocked at until it can; one that says nothing, or is jammed, is left alone in
// between; one failure of an outage is told, and then the list.
func TestPaced(t *testing.T) {
	whole := list(7, true, line("s-1", "10.0.0.1:80", "in_service", 0))
	for what, c := range map[string]struct {
		conns  func(n int) (net.Conn, error)
		within time.Duration
		told   string
	}{
		"down, then up": {func(n int) (net.Conn, error) {
			if n <= 20 {
				return nil, io.ErrClosedPipe
			}
			return answers(whole), nil
		}, 7 * time.Second, "[failed 7127.0.0.1:1]"},
		"silent, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return answers(""), nil
			}
			return answers(whole), nil
		}, 5 * time.Second, "[failed 7127.0.0.1:1]"},
		"jammed, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return answers("jammed"), nil
			}
			return answers(whole), nil
		}, 2 * time.Second, "[failed 7127.0.0.1:1]"},
		"nonsense, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return answers("{}"), nil
			}
			return answers(whole), nil
		}, 2 * time.Second, "[failed 7127.0.0.1:1]"},
		"well, then flapping to an older version": {func(n int) (net.Conn, error) {
			if n == 1 {
				return answers(whole, "jammed"), nil
			}
			if n == 2 {
				return answers(list(3, true)), nil
			}
			return answers(list(3, true)), nil
		}, 4 * time.Second, "[7127.0.0.1:1 failed 3127.0.0.1:1]"},
	} {
		synctest.Test(t, func(t *testing.T) {
			got, stop := paced(t, c.conns)
			time.Sleep(c.within)
			synctest.Wait()
			stop()
			synctest.Wait()
			if fmt.Sprint(*got) != c.told {
				t.Errorf("%s: told %v", what, *got)
			}
		})
	}
}

// A move, or the end, is not held up by the wait for a discovery that is down.
func TestMoveWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("127.0.0.1:1", reader(), 20*time.Second, 0, false, nil)
		c.Pace(trust.NewPacer(trust.Pace{KnockEvery: 10 * time.Second, Brokers: 1}, 3), 0, false)
		at := make(chan time.Duration, 4)
		begun := time.Now()
		c.tell = func(l *List, err error) {
			if err == nil {
				at <- time.Since(begun)
			}
		}
		c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			if addr == "127.0.0.1:1" {
				return nil, io.ErrClosedPipe
			}
			return answers(list(3, true)), nil
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		c.Ask()
		time.Sleep(time.Second)
		c.Move("127.0.0.1:2", nil)
		if took := <-at; took > 1100*time.Millisecond {
			t.Errorf("the move was made %v after the start", took)
		}
		cancel()
		<-done
	})
}
