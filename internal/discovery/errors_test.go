package discovery

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision/polling"
)

// Nothing of an answer that is no valid list is applied; its error is one line with a remedy, and the full list is requested next.
func TestWrongAnswersChangeNothing(t *testing.T) {
	good := instanceJSON("s-1", "10.0.0.1:80", "in_service", 0)
	for name, answer := range map[string]string{
		"no JSON":           "{",
		"no version":        `{"reset":true,"instances":[]}`,
		"an unknown state":  listJSON(41, true, good, instanceJSON("s-2", "10.0.0.2:80", "resting", 0)),
		"an address amiss":  listJSON(41, true, good, instanceJSON("s-2", "10.0.0.2", "in_service", 0)),
		"changes to an old": listJSON(39, false, good),
	} {
		synctest.Test(t, func(t *testing.T) {
			var failures []error
			c := NewClient("d:1", testReader(), 3*time.Second, 40, true, func(l *List, err error) {
				if failures = append(failures, err); l != nil {
					t.Errorf("%s: notified of a list", name)
				}
			})
			c.dial = func(context.Context, string, string) (net.Conn, error) { return serveAnswers(answer), nil }
			ctx, cancel := context.WithCancel(t.Context())
			go c.Run(ctx)
			c.Poll()
			synctest.Wait()
			if len(failures) != 1 || strings.Contains(failures[0].Error(), "\n") || remedy.Of(failures[0]) == "" ||
				c.versionKnown || c.currentVersion != 40 {
				t.Errorf("%s: notified %v, remedy %q", name, failures, remedy.Of(failures[0]))
			}
			cancel()
			synctest.Wait()
		})
	}
}

// An answer that arrives byte by byte and never ends does not keep hedges from being sent: it ends with its attempt's timeout.
func TestEndlessAnswerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("d:1", testReader(), 3*time.Second, 40, true, func(l *List, err error) {})
		var dials atomic.Int32
		c.dial = func(context.Context, string, string) (net.Conn, error) {
			dials.Add(1)
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				far.Read(make([]byte, 4096))
				io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{")
				for {
					if _, err := io.WriteString(far, " "); err != nil {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Poll()
		time.Sleep(polling.MaxNotificationDelay)
		synctest.Wait()
		if dials.Load() < 2 {
			t.Error("no hedge was sent during an answer that never ends")
		}
		cancel()
		time.Sleep(time.Second)
	})
}
