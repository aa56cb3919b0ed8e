package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// Every poll leads to a notification; a failure ends the watch, and after an unreadable or outdated list the full list is requested.
func TestWatch(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	replies := []string{listJSON(41, true), listJSON(43, false), "503", "reset", listJSON(42, false), "garbled", listJSON(44, true)}
	polled := make(chan string, 100)
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
				polled <- m.Query
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
	notified := make(chan string, 100)
	c := NewClient(ln.Addr().String(), testReader(), 3*time.Second, 40, true, sendVersions(notified))
	c.jitter = noJitter
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	for _, step := range [][2]string{{"index=40&wait=3000", "41"}, {"index=41&wait=3000", "43"},
		{"index=43&wait=3000", "failed"}, {"index=43&wait=3000", "failed"}, {"index=43&wait=3000", "failed"},
		{"", "failed"}, {"", "44"}} {
		c.Poll() // no additional request while a watch is held
		if got := <-polled; got != step[0] {
			t.Errorf("polled %q, want %q", got, step[0])
		}
		if got := <-notified; got != step[1] {
			t.Errorf("notified %s, want %s", got, step[1])
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A change of address ends the watch that is held and polls the new service at once, for the full list, whatever its version; the event
// loop decides whether a new service that fails is polled again.
func TestChangeAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []string
		c := NewClient("old", testReader(), 10*time.Second, 40, true, func(l *List, err error) {
			if err != nil {
				notified = append(notified, "failed")
			} else {
				notified = append(notified, fmt.Sprint(l.Version))
			}
		})
		c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			if addr == "dead" {
				return nil, io.ErrUnexpectedEOF
			}
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				for in := httpwire.NewReader(far); ; {
					m, err := httpwire.ReadRequest(in)
					if err != nil || m.Query != "" { // a watch is never answered
						io.Copy(io.Discard, far)
						return
					}
					far.Write(httpwire.AppendResponse(nil, 200, false, []byte(listJSON(len(addr), true))))
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Poll()
		begun := time.Now()
		for i, step := range []struct{ to, want string }{{"new", "[3]"}, {"newer", "[3 5]"}, {"dead", "[3 5 failed]"},
			{"back again", "[3 5 failed 10]"}} {
			synctest.Wait()
			c.ChangeAddress("nowhere", nil)
			c.ChangeAddress(step.to, nil)
			synctest.Wait()
			if got := fmt.Sprint(notified); got != step.want || time.Since(begun) > 0 {
				t.Errorf("change %d of address, to %s: notified %s after %v, want %s", i, step.to, got, time.Since(begun), step.want)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Changed settings apply from the next request on: a shorter watch time and another number of cells.
func TestChangeAddressAndSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []string
		c := NewClient("old", testReader(), 20*time.Second, 0, false, func(l *List, err error) {
			notified = append(notified, fmt.Sprint(l.CellCount, err))
		})
		polled := make(chan string, 9)
		c.jitter = noJitter
		c.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				for in := httpwire.NewReader(far); ; {
					m, err := httpwire.ReadRequest(in)
					if err != nil {
						return
					}
					if polled <- m.Query; m.Query != "" {
						io.Copy(io.Discard, far)
						return
					}
					far.Write(httpwire.AppendResponse(nil, 200, false, []byte(listJSON(3, true))))
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Poll()
		synctest.Wait()
		c.Poll()
		synctest.Wait()
		other := testReader()
		other.CellCount += 4
		c.ChangeAddress("old", &Settings{Reader: other, MaxWatchTime: 2 * time.Second})
		synctest.Wait()
		c.Poll()
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(polled)
		var queries []string
		for q := range polled {
			queries = append(queries, q)
		}
		first, then := fmt.Sprint(testReader().CellCount, nil), fmt.Sprint(other.CellCount, nil)
		if got := strings.Join(queries, " "); got != " index=3&wait=3000  index=3&wait=2000" {
			t.Errorf("polled %q", got)
		}
		if !slices.Equal(notified, []string{first, then}) {
			t.Errorf("notified %q", notified)
		}
	})
}
