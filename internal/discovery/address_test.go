package discovery

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

// The list of a new service is notified within 4 s of the change of address, even if that service is silent, slow or rejects requests at
// first, and whatever the old service did before.
func TestChangeAddressInTime(t *testing.T) {
	for name, answer := range map[string]func(since time.Duration) (wait time.Duration, status int){
		"silent at first": func(since time.Duration) (time.Duration, int) {
			if since < 2900*time.Millisecond {
				return time.Hour, 200
			}
			return 0, 200
		},
		"slow": func(time.Duration) (time.Duration, int) { return 1500 * time.Millisecond, 200 },
		"full at first": func(since time.Duration) (time.Duration, int) {
			return 0, map[bool]int{true: 503, false: 200}[since < 2*time.Second]
		},
		"falls over once": func(since time.Duration) (time.Duration, int) {
			return 0, map[bool]int{true: 0, false: 200}[since == 0]
		},
	} {
		for _, old := range []string{"well", "down", "silent"} {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var notifiedAt, changedAt time.Time
				var c *Client
				backoff := 500 * time.Millisecond
				c = NewClient("old", testReader(), 10*time.Second, 40, true, func(l *List, err error) {
					mu.Lock()
					defer mu.Unlock()
					if err == nil && l.Version == 7 && notifiedAt.IsZero() {
						notifiedAt = time.Now()
					}
					if err != nil { // the event loop polls again, with a growing delay
						time.AfterFunc(backoff, c.Poll)
						backoff = min(2*backoff, 6*time.Second)
					}
				})
				c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
					if addr == "old" && old == "down" {
						return nil, io.ErrClosedPipe
					}
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						if _, err := httpwire.ReadRequest(httpwire.NewReader(far)); err != nil {
							return
						}
						mu.Lock()
						wait, status := time.Hour, 200
						if addr == "new" && notifiedAt.IsZero() {
							wait, status = answer(time.Since(changedAt))
						} else if old == "well" && addr == "old" {
							wait = time.Second
						}
						mu.Unlock()
						go func() {
							if time.Sleep(wait); status > 0 {
								far.Write(httpwire.AppendResponse(nil, status, true, []byte(listJSON(map[string]int{"old": 40, "new": 7}[addr], true))))
							}
							far.Close()
						}()
						io.Copy(io.Discard, far)
					}()
					return near, nil
				}
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				c.Poll()
				time.Sleep(20 * time.Second)
				mu.Lock()
				changedAt = time.Now()
				mu.Unlock()
				c.ChangeAddress("new", nil)
				time.Sleep(30 * time.Second)
				synctest.Wait()
				if delay := notifiedAt.Sub(changedAt); notifiedAt.IsZero() || delay > polling.MaxNotificationDelayAfterAddressChange {
					t.Errorf("%s, old service %s: list notified %v after the change of address", name, old, delay)
				}
				cancel()
				time.Sleep(2 * time.Hour) // until the fake services have ended
			})
		}
	}
}
