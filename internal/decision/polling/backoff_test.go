package polling

import (
	"testing"
	"time"
)

// Attempts to connect come often, polls of a service that does not answer ever more rarely, and an answer ends that.
func TestBackoff(t *testing.T) {
	settings := BackoffSettings{ConnectInterval: 200 * time.Millisecond, PollCost: 2 * time.Millisecond, MaxPollDelay: 500 * time.Millisecond,
		BrokerCount: 100}
	b := NewBackoff(settings, 7)
	for range 1000 {
		connect := b.ConnectDelay()
		poll := b.FirstPollDelay()
		if connect < 100*time.Millisecond || connect > 300*time.Millisecond || poll < 0 || poll > 200*time.Millisecond {
			t.Fatalf("connects after %v, polls %v later", connect, poll)
		}
	}
	last := time.Duration(0)
	for range 10 {
		delay := b.PollFailed()
		if delay < last/2 || delay > maxBackoff {
			t.Fatalf("backed off for %v after %v", delay, last)
		}
		last = delay
	}
	if b.PollTimeout() != maxPollTimeout {
		t.Errorf("a poll may take %v", b.PollTimeout())
	}
	b.PollSucceeded()
	if b.PollTimeout() != minPollTimeout || b.PollFailed() > minBackoff {
		t.Error("backoff did not start anew")
	}
	other := NewBackoff(settings, 8)
	differ := false
	for range 2 {
		differ = differ || b.ConnectDelay() != other.ConnectDelay()
	}
	if !differ {
		t.Error("two brokers in step")
	}
}
