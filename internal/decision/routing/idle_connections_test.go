package routing

import (
	"testing"
	"time"
)

func TestIdleConnectionsObserve(t *testing.T) {
	type observation struct {
		idle   time.Duration
		failed attemptError
	}
	cut := observation{time.Second, attemptFailed}
	for name, test := range map[string]struct {
		observations []observation
		begins       int // number of the observation, from 1, from which idle connections are closed; 0: they are not
	}{
		"idle ones fail, fresh ones do not": {[]observation{cut, cut, cut, cut, cut, cut, cut, cut}, 7},
		"fewer fail":                        {[]observation{cut, cut, cut, cut, cut, cut}, 0},
		"fresh ones fail as often": {[]observation{cut, {0, attemptFailed}, cut, {0, attemptFailed}, cut, {0, attemptFailed}, cut,
			{0, attemptFailed}, cut, {0, attemptFailed}, cut, {0, attemptFailed}, cut, {0, attemptFailed}, cut}, 0},
		"idle for less than minIdleTime counts as fresh": {[]observation{{minIdleTime - 1, attemptFailed}, cut, cut, cut, cut, cut, cut, cut}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			c := idleConnections{shortestFailedIdle: never}
			begins := 0
			for i, o := range test.observations {
				if c.observe(o.idle, o.failed, time.Second) {
					begins = i + 1
				}
			}
			if begins != test.begins {
				t.Errorf("closing begins at observation %d, want %d (error rate %.2f over idle, %.2f over fresh connections)",
					begins, test.begins, c.errorRate, c.freshErrorRate)
			}
			if got := c.closeBeforeUse(time.Second, 2*time.Second); got != (test.begins > 0) {
				t.Errorf("unexpected result of closeBeforeUse after 1 s idle: %v", got)
			}
			if c.closeBeforeUse(999*ms, 2*time.Second) || c.closeBeforeUse(time.Second, time.Second+closeIdleFor) {
				t.Error("closed before use though idle for less than 1 s, or after closeIdleFor has passed")
			}
		})
	}
}
