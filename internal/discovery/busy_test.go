package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

// serialService is a discovery that works through requests one after the other. One that has waited too long by its turn is rejected; one
// whose client has gone costs as much as any other.
type serialService struct {
	mu         sync.Mutex
	perRequest time.Duration
	freeAt     time.Time // when the calls so far are done
	calls      int
}

const rejectedAfter = 2 * time.Second

func (s *serialService) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		for in := httpwire.NewReader(far); ; {
			m, err := httpwire.ReadRequest(in)
			if err != nil {
				return
			}
			if m.Query != "" { // a watch, with nothing to tell
				time.Sleep(time.Hour)
				return
			}
			s.mu.Lock()
			s.calls++
			now := time.Now()
			if s.freeAt.Before(now) {
				s.freeAt = now
			}
			wait, status := s.freeAt.Sub(now)+s.perRequest, 200
			if wait > rejectedAfter {
				wait, status = rejectedAfter, 503
			} else {
				s.freeAt = s.freeAt.Add(s.perRequest)
			}
			s.mu.Unlock()
			time.Sleep(wait)
			far.Write(httpwire.AppendResponse(nil, status, false, []byte(listJSON(7, true))))
		}
	}()
	return near, nil
}

// Brokers that move together keep the new service busy for a while. Each has the list in time, as none gives up its place in the
// queue and comes again behind the others.
func TestListOfABusyServiceComesInTime(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			const brokers = 7
			s := &serialService{perRequest: 400 * time.Millisecond}
			var mu sync.Mutex
			notifiedAt := map[int]time.Duration{}
			ctx, cancel := context.WithCancel(t.Context())
			begun := time.Now()
			for i := range brokers {
				var c *Client
				backoff := 500 * time.Millisecond
				c = NewClient("old", testReader(), 10*time.Second, 0, false, func(l *List, err error) {
					mu.Lock()
					defer mu.Unlock()
					if err != nil { // the module asks again
						time.AfterFunc(backoff, c.Poll)
						backoff = min(2*backoff, time.Second)
					} else if _, before := notifiedAt[i]; !before {
						notifiedAt[i] = time.Since(begun)
					}
				})
				c.dial = s.dial
				c.ChangeAddress("new", nil)
				go c.Run(ctx)
			}
			time.Sleep(polling.MaxNotificationDelayAfterAddressChange)
			synctest.Wait()
			mu.Lock()
			if len(notifiedAt) < brokers {
				t.Errorf("%d of %d brokers had the list in time, by %d calls: %v", len(notifiedAt), brokers, s.calls, notifiedAt)
			}
			mu.Unlock()
			cancel()
			time.Sleep(3 * time.Hour)
		})
	}
}

// receive is what comes within a time that no test should need.
func receive(t *testing.T, from <-chan string) string {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("nothing came within 5 s")
		return ""
	}
}

// A watch that breaks is opened anew at once, and nobody is notified; if that fails too it is an outage, which is notified.
func TestBrokenWatchIsReopened(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	polled := make(chan string, 100)
	go func() {
		for n := 0; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			in := httpwire.NewReader(conn)
			for {
				m, err := httpwire.ReadRequest(in)
				if err != nil {
					break
				}
				polled <- m.Query
				if n < 2 && m.Query != "" { // the first watch breaks, and so does the call after it
					conn.(*net.TCPConn).SetLinger(0)
					break
				}
				conn.Write(httpwire.AppendResponse(nil, 200, n == 2, []byte(listJSON(41+n, true))))
			}
			conn.Close()
		}
	}()
	notified := make(chan string, 100)
	c := NewClient(ln.Addr().String(), testReader(), 3*time.Second, 0, false, sendVersions(notified))
	c.jitter = noJitter
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	c.Poll()
	for _, want := range []string{"", "index=41&wait=3000", "index=41&wait=0"} {
		if got := receive(t, polled); got != want {
			t.Errorf("polled %q, want %q", got, want)
		}
	}
	for _, want := range []string{"41", "failed"} { // the second connection broke as well
		if got := receive(t, notified); got != want {
			t.Errorf("notified %s, want %s", got, want)
		}
	}
	c.Poll()
	if got := receive(t, notified); got != "43" {
		t.Errorf("notified %s, want 43", got)
	}
	cancel()
	<-done
}

// A full list may have any version, also where it was a watch that brought it: it is applied.
func TestFullListOfAnOlderVersionIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notified []string
		c := NewClient("d", testReader(), 3*time.Second, 40, true, func(l *List, err error) {
			notified = append(notified, fmt.Sprint(err, l != nil && l.Full))
		})
		c.dial = func(context.Context, string, string) (net.Conn, error) { return serveAnswers(listJSON(3, true)), nil }
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Poll()
		synctest.Wait()
		if fmt.Sprint(notified) != "[<nil> true]" || c.currentVersion != 3 {
			t.Errorf("notified %q, version %d held", notified, c.currentVersion)
		}
		cancel()
		synctest.Wait()
	})
}

// sendVersions notes each notification as a version, or as a failure.
func sendVersions(notified chan<- string) func(*List, error) {
	return func(l *List, err error) {
		if err != nil {
			notified <- "failed"
			return
		}
		notified <- fmt.Sprint(l.Version)
	}
}
