package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

// startClientWithBackoff runs a client with a backoff; dial opens its n-th connection, from 1. got collects the notifications.
func startClientWithBackoff(t *testing.T, dial func(n int) (net.Conn, error)) (got *[]string, stop func()) {
	c := NewClient("127.0.0.1:1", testReader(), 20*time.Second, 0, false, nil)
	c.UseBackoff(polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 200 * time.Millisecond, PollCost: 2 * time.Millisecond,
		MaxPollDelay: 500 * time.Millisecond, BrokerCount: 10}, 3), 0, false)
	c.jitter = noJitter
	got = &[]string{}
	c.notify = func(l *List, err error) {
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
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	c.Poll()
	return got, cancel
}

// serveAnswers returns a connection to a fake discovery that answers one request with each of bodies, in order, and never answers the request
// after them.
func serveAnswers(bodies ...string) net.Conn {
	near, far := net.Pipe()
	go func() {
		in := httpwire.NewReader(far)
		for _, body := range bodies {
			if _, err := httpwire.ReadRequest(in); err != nil {
				return
			}
			if body == "" { // never answers
				io.Copy(io.Discard, far)
				return
			}
			status := 200
			if body == "overloaded" {
				status = 503
			}
			far.Write(httpwire.AppendResponse(nil, status, false, []byte(body)))
		}
		io.Copy(io.Discard, far)
	}()
	return near
}

// The client tries to connect to a discovery that can't be reached until that succeeds, and polls a silent or overloaded one with a
// backoff; it notifies of one failure per outage, and then of the list.
func TestBackoffDuringOutage(t *testing.T) {
	fullList := listJSON(7, true, instanceJSON("s-1", "10.0.0.1:80", "in_service", 0))
	for name, c := range map[string]struct {
		conns    func(n int) (net.Conn, error)
		within   time.Duration
		notified string
	}{
		"down, then up": {func(n int) (net.Conn, error) {
			if n <= 20 {
				return nil, io.ErrClosedPipe
			}
			return serveAnswers(fullList), nil
		}, 7 * time.Second, "[failed 7127.0.0.1:1]"},
		"silent, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return serveAnswers(""), nil
			}
			return serveAnswers(fullList), nil
		}, 5 * time.Second, "[failed 7127.0.0.1:1]"},
		"overloaded, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return serveAnswers("overloaded"), nil
			}
			return serveAnswers(fullList), nil
		}, 2 * time.Second, "[failed 7127.0.0.1:1]"},
		"nonsense, then well": {func(n int) (net.Conn, error) {
			if n <= 2 {
				return serveAnswers("{}"), nil
			}
			return serveAnswers(fullList), nil
		}, 2 * time.Second, "[failed 7127.0.0.1:1]"},
		"well, then flapping to an older version": {func(n int) (net.Conn, error) {
			if n == 1 {
				return serveAnswers(fullList, "overloaded"), nil
			}
			if n == 2 {
				return serveAnswers(listJSON(3, true)), nil
			}
			return serveAnswers(listJSON(3, true)), nil
		}, 3500 * time.Millisecond, "[7127.0.0.1:1 failed 3127.0.0.1:1]"}, // the watch that follows times out later
	} {
		synctest.Test(t, func(t *testing.T) {
			got, stop := startClientWithBackoff(t, c.conns)
			time.Sleep(c.within)
			synctest.Wait()
			stop()
			synctest.Wait()
			if fmt.Sprint(*got) != c.notified {
				t.Errorf("%s: notified %v", name, *got)
			}
		})
	}
}

// Neither a change of address nor the end of ctx is delayed while the client waits for a discovery that is down.
func TestChangeAddressWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("127.0.0.1:1", testReader(), 20*time.Second, 0, false, nil)
		c.UseBackoff(polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 10 * time.Second, BrokerCount: 1}, 3), 0, false)
		at := make(chan time.Duration, 4)
		begun := time.Now()
		c.notify = func(l *List, err error) {
			if err == nil {
				at <- time.Since(begun)
			}
		}
		c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			if addr == "127.0.0.1:1" {
				return nil, io.ErrClosedPipe
			}
			return serveAnswers(listJSON(3, true)), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		c.Poll()
		time.Sleep(time.Second)
		c.ChangeAddress("127.0.0.1:2", nil)
		if delay := <-at; delay > 1100*time.Millisecond {
			t.Errorf("the list from the new address was notified %v after the start", delay)
		}
		cancel()
		<-done
	})
}
