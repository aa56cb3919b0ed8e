package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

func noJitter(time.Duration) time.Duration { return 0 }

// silentService is a fake discovery that accepts every request. While it is silent it answers none, and it never answers requests that were
// pending at such a time.
type silentService struct {
	mu      sync.Mutex
	version int // of the list that it answers with
	silent  bool
	changed *sync.Cond
	calls   []string
}

func newSilentService() *silentService {
	s := &silentService{version: 40}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *silentService) set(version int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.silent = version, silent
	s.changed.Broadcast()
}

func (s *silentService) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		for in := httpwire.NewReader(far); ; {
			m, err := httpwire.ReadRequest(in)
			if err != nil {
				return
			}
			s.mu.Lock()
			s.calls = append(s.calls, m.Query)
			unanswered := s.silent
			if held := fmt.Sprintf("index=%d", s.version); strings.HasPrefix(m.Query, held) && !strings.HasSuffix(m.Query, "wait=0") {
				var wait int
				fmt.Sscanf(strings.TrimPrefix(m.Query, held), "&wait=%d", &wait)
				over := false
				time.AfterFunc(time.Duration(wait)*time.Millisecond, func() {
					s.mu.Lock()
					over = true
					s.changed.Broadcast()
					s.mu.Unlock()
				})
				for !over && strings.HasPrefix(m.Query, fmt.Sprintf("index=%d", s.version)) {
					s.changed.Wait()
					unanswered = unanswered || s.silent
				}
			}
			answer := listJSON(s.version, false)
			s.mu.Unlock()
			if unanswered {
				io.Copy(io.Discard, far)
				return
			}
			far.Write(httpwire.AppendResponse(nil, 200, false, []byte(answer)))
		}
	}()
	return near, nil
}

// A change that a silent watch misses is notified at most 6 s after the watch fell silent. The list of a discovery that accepted requests
// but answered none, for however long, is notified at most 6 s after it answers again.
func TestListInTimeAfterSilence(t *testing.T) {
	for _, withBackoff := range []bool{false, true} {
		for _, silence := range []time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second, 31 * time.Second} {
			for _, versionKnown := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					s := newSilentService()
					var notifiedAt time.Time
					failures := 0
					c := NewClient("d:1", testReader(), 10*time.Second, 40, versionKnown, func(l *List, err error) {
						if err == nil && l.Version == 41 && notifiedAt.IsZero() {
							notifiedAt = time.Now()
						}
						if err != nil {
							if failures++; !errors.As(err, new(*SilentError)) {
								t.Errorf("notified %v", err)
							}
						}
					})
					c.dial = s.dial
					if withBackoff {
						c.UseBackoff(polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 200 * time.Millisecond, BrokerCount: 300}, 7), 40, versionKnown)
					}
					s.silent = !versionKnown // otherwise the first watch is held, and falls silent later
					ctx, cancel := context.WithCancel(t.Context())
					go c.Run(ctx)
					c.Poll() // once: the client must detect and end the silence by itself
					synctest.Wait()
					silentSince := time.Now()
					s.set(40, true)
					time.Sleep(silence)
					s.set(41, false)
					time.Sleep(10 * time.Second)
					synctest.Wait()
					if delay := notifiedAt.Sub(silentSince.Add(silence)); notifiedAt.IsZero() || delay > polling.MaxNotificationDelay {
						t.Errorf("with backoff %v, version known %v, answering after %v: list notified after %v; polled %q",
							withBackoff, versionKnown, silence, delay, s.calls)
					}
					if silence < 9*time.Second && versionKnown && failures > 1 {
						t.Errorf("%d failures notified", failures)
					}
					cancel()
					s.set(99, true) // releases the pending requests
					synctest.Wait()
				})
			}
		}
	}
}

// The delay is also bounded from the end of the watch time: a watch is abandoned early enough for another request, and lasts at most so
// long that the list is still notified within 6 s. Watches that began together do not end together.
func TestWatchEndsAreSpread(t *testing.T) {
	ends := map[time.Duration]bool{}
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			s := newSilentService()
			c := NewClient("d:1", testReader(), time.Minute, 40, true, func(*List, error) {})
			c.dial = s.dial
			s.silent = true
			ctx, cancel := context.WithCancel(t.Context())
			go c.Run(ctx)
			c.Poll()
			begun := time.Now()
			for n := 0; n < 2 && time.Since(begun) < time.Minute; {
				time.Sleep(10 * time.Millisecond)
				s.mu.Lock()
				n = len(s.calls)
				s.mu.Unlock()
			}
			synctest.Wait()
			if len(s.calls) < 2 {
				t.Fatalf("only polled %q within a minute", s.calls)
			}
			var wait time.Duration
			fmt.Sscanf(s.calls[0], "index=40&wait=%d", &wait)
			wait *= time.Millisecond
			again := time.Since(begun)
			if wait > polling.MaxWatchTime || again > wait+polling.MaxNotificationDelayAfterWatch-500*time.Millisecond ||
				again > polling.MaxNotificationDelay-500*time.Millisecond {
				t.Errorf("a watch of %v was replaced after %v", wait, again)
			}
			if s.calls[1] != "index=40&wait=0" {
				t.Errorf("the second request was %q", s.calls[1])
			}
			ends[again.Round(100*time.Millisecond)] = true
			cancel()
			s.set(99, true) // releases the pending requests
			synctest.Wait()
		})
	}
	if len(ends) < 5 {
		t.Errorf("20 watches ended in only %d different tenths of a second", len(ends))
	}
}
