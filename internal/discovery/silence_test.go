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

// silentService is a discovery that accepts every request. While it is silent it answers none, nor those that it had then.
type silentService struct {
	mu      sync.Mutex
	version int // that it tells
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

// One clock for silence: whatever a watch misses that has fallen silent is held 6 s after it fell silent at the latest,
// and so is what a discovery sends that accepted requests and answered none for any time before, 6 s after it answers again.
func TestListInTimeAfterSilence(t *testing.T) {
	for _, withBackoff := range []bool{false, true} {
		for _, silence := range []time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second, 31 * time.Second} {
			for _, known := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					s := newSilentService()
					var notifiedAt time.Time
					failures := 0
					c := NewClient("d:1", testReader(), 10*time.Second, 40, known, func(l *List, err error) {
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
						c.UseBackoff(polling.NewBackoff(polling.BackoffSettings{ConnectInterval: 200 * time.Millisecond, BrokerCount: 300}, 7), 40, known)
					}
					s.silent = !known // else the first watch is held, and falls silent later
					ctx, cancel := context.WithCancel(t.Context())
					go c.Run(ctx)
					c.Poll() // once: it is on the client that silence ends
					synctest.Wait()
					silentSince := time.Now()
					s.set(40, true)
					time.Sleep(silence)
					s.set(41, false)
					time.Sleep(10 * time.Second)
					synctest.Wait()
					if late := notifiedAt.Sub(silentSince.Add(silence)); notifiedAt.IsZero() || late > polling.MaxNotificationDelay {
						t.Errorf("paced %v, known %v, speaks after %v: had after %v; polled %q", withBackoff, known, silence, late, s.calls)
					}
					if silence < 9*time.Second && known && failures > 1 {
						t.Errorf("%d failures notified", failures)
					}
					cancel()
					s.set(99, true) // nobody waits on
					synctest.Wait()
				})
			}
		}
	}
}

// The clock also counts from the end of the watch time: a watch is given up early enough for another request, and never waits longer than
// leaves the clock at 6 s. Watches that began together do not end together.
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
				t.Fatalf("polled %q in a minute", s.calls)
			}
			var wait time.Duration
			fmt.Sscanf(s.calls[0], "index=40&wait=%d", &wait)
			wait *= time.Millisecond
			again := time.Since(begun)
			if wait > polling.MaxWatchTime || again > wait+polling.MaxNotificationDelayAfterWatch-500*time.Millisecond ||
				again > polling.MaxNotificationDelay-500*time.Millisecond {
				t.Errorf("a watch of %v was made anew after %v", wait, again)
			}
			if s.calls[1] != "index=40&wait=0" {
				t.Errorf("then polled %q", s.calls[1])
			}
			ends[again.Round(100*time.Millisecond)] = true
			cancel()
			s.set(99, true) // nobody waits on
			synctest.Wait()
		})
	}
	if len(ends) < 5 {
		t.Errorf("twenty watches ended in %d tenths of a second", len(ends))
	}
}
