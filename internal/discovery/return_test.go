package discovery

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

// A watch falls silent as soon as it is open, and a node drains; from then on a busy discovery answers each request after 1.9 s. The drain
// that the watch missed is notified at most 6 s after the watch fell silent, whatever the jitter.
func TestSilentWatchOfABusyService(t *testing.T) {
	for round := range 40 {
		synctest.Test(t, func(t *testing.T) {
			var calls atomic.Int32
			c := NewClient("d", testReader(), 10*time.Second, 40, true, nil)
			if round == 0 {
				c.jitter = noJitter
			}
			notifiedAt := make(chan time.Duration, 100)
			begun := time.Now()
			c.notify = func(l *List, err error) {
				if err == nil {
					notifiedAt <- time.Since(begun)
				}
			}
			c.dial = func(context.Context, string, string) (net.Conn, error) {
				watch := calls.Add(1) == 1
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					in := httpwire.NewReader(far)
					if _, err := httpwire.ReadRequest(in); err != nil {
						return
					}
					if !watch {
						time.Sleep(1900 * time.Millisecond)
						far.Write(httpwire.AppendResponse(nil, 200, false, []byte(listJSON(41, false, instanceJSON("s-1", "10.0.0.1:80", "terminating", 0)))))
					}
					httpwire.ReadRequest(in) // blocks until the connection is closed
				}()
				return near, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			go c.Run(ctx)
			c.Poll()
			time.Sleep(30 * time.Second)
			select {
			case at := <-notifiedAt:
				if at > polling.MaxNotificationDelay {
					t.Errorf("the drain was notified %v after the watch fell silent, with %d requests", at, calls.Load())
				}
			default:
				t.Error("the drain was never notified")
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// A local agent that rejects requests or accepts no connection while discovery is down is polled again soon, and its outage is notified
// once, so that its list is known soon after the outage. A service that all brokers share is polled again only when the event loop says so.
func TestLocalAgentIsPolledSoonAfterAnOutage(t *testing.T) {
	for _, rejects := range []bool{true, false} {
		for _, localAgent := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				const down = 20 * time.Second
				var calls, failures atomic.Int32
				var notifiedAfter atomic.Int64
				begun := time.Now()
				c := NewClient("d", testReader(), 10*time.Second, 40, true, func(l *List, err error) {
					if err != nil {
						failures.Add(1)
					} else if notifiedAfter.Load() == 0 {
						notifiedAfter.Store(int64(time.Since(begun)))
					}
				})
				if localAgent {
					c.UseLocalAgent()
				}
				c.dial = func(context.Context, string, string) (net.Conn, error) {
					calls.Add(1)
					switch {
					case time.Since(begun) >= down:
						return serveAnswers(listJSON(41, true)), nil
					case rejects:
						return serveAnswers("overloaded"), nil
					default:
						return nil, io.ErrClosedPipe
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				c.Poll()
				time.Sleep(down + time.Second)
				synctest.Wait()
				delay := time.Duration(notifiedAfter.Load()) - down
				if localAgent && (delay < 0 || delay > polling.AgentRetryInterval || failures.Load() != 1 ||
					calls.Load() > int32(2*down/polling.AgentRetryInterval)) {
					t.Errorf("rejects %v: list notified %v after the outage, %d requests, %d failures notified", rejects, delay, calls.Load(), failures.Load())
				}
				if !localAgent && calls.Load() > 1 {
					t.Errorf("rejects %v: %d requests for one call of Poll", rejects, calls.Load())
				}
				cancel()
				synctest.Wait()
			})
		}
	}
}
