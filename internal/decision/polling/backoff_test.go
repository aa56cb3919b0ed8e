package polling

import (
	"testing"
	"time"
)

// Attempts to connect stay frequent, polls of a service that does not answer become less frequent, and an answer resets the backoff.
func TestBackoff(t *testing.T) {
	settings := BackoffSettings{ConnectInterval: 200 * time.Millisecond, PollCost: 2 * time.Millisecond, MaxPollDelay: 500 * time.Millisecond,
		BrokerCount: 100}
	b := NewBackoff(settings, 7)
	for range 1000 {
		connect := b.ConnectDelay()
		poll := b.FirstPollDelay()
		if connect < 100*time.Millisecond || connect > 300*time.Millisecond || poll < 0 || poll > 200*time.Millisecond {
			t.Fatalf("connect delay %v, want 100 to 300 ms, or first poll delay %v, want at most 200 ms", connect, poll)
		}
	}
	last := time.Duration(0)
	for range 10 {
		delay := b.PollFailed()
		if delay < last/2 || delay > maxBackoff {
			t.Fatalf("backoff of %v after one of %v", delay, last)
		}
		last = delay
	}
	if b.PollTimeout() != maxPollTimeout {
		t.Errorf("poll timeout after ten failures is %v, want maxPollTimeout", b.PollTimeout())
	}
	b.PollSucceeded()
	if b.PollTimeout() != minPollTimeout || b.PollFailed() > minBackoff {
		t.Error("an answered poll did not reset timeout and backoff")
	}
	other := NewBackoff(settings, 8)
	differ := false
	for range 2 {
		differ = differ || b.ConnectDelay() != other.ConnectDelay()
	}
	if !differ {
		t.Error("two brokers with different seeds drew the same delays")
	}
}
