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

// serialService is a fake discovery that works on one request at a time. A request that would wait too long is rejected; one whose client
// has disconnected takes as much time as any other.
type serialService struct {
	mu         sync.Mutex
	perRequest time.Duration
	freeAt     time.Time // when it has finished all requests so far
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
			if m.Query != "" { // a watch, without a change
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

// Brokers that change to a new service together keep it busy for a while. Each still has the list in time, as no client abandons its place
// in the service's queue and requests again behind the others.
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
					if err != nil { // the event loop polls again
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
				t.Errorf("%d of %d brokers had the list in time, with %d requests: %v", len(notifiedAt), brokers, s.calls, notifiedAt)
			}
			mu.Unlock()
			cancel()
			time.Sleep(3 * time.Hour)
		})
	}
}

// receive returns the next value from a channel; the test fails if none arrives within 5 s.
func receive(t *testing.T, from <-chan string) string {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("received nothing within 5 s")
		return ""
	}
}

// A watch whose connection breaks is reopened at once without a notification; if that fails too it is an outage, which is notified.
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
				if n < 2 && m.Query != "" { // the first watch breaks, and so does the request after it
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
	for _, want := range []string{"41", "failed"} { // the failure is that of the second connection
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

// A full list is applied whatever its version, even if a watch brought it.
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
			t.Errorf("notified %q, current version %d", notified, c.currentVersion)
		}
		cancel()
		synctest.Wait()
	})
}

// sendVersions returns a notify function that sends each list's version to notified, or "failed" for an error.
func sendVersions(notified chan<- string) func(*List, error) {
	return func(l *List, err error) {
		if err != nil {
			notified <- "failed"
			return
		}
		notified <- fmt.Sprint(l.Version)
	}
}
