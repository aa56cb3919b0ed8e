package discovery

import (
	"context"
	"errors"
	"time"

	"flaxfront/internal/decision/polling"
)

// Run makes the requests until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	defer c.closeIdleConnection("shutdown")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.pollRequested:
		}
		for c.step(ctx) {
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// step makes one request, notifies of what came of it, and reports whether another follows without being asked for.
func (c *Client) step(ctx context.Context) (another bool) {
	startedAt := time.Now()
	list, err := c.request(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		c.recordAnswer(list)
		return true
	}
	select {
	case <-c.pollRequested: // while this request was out, and answered by it
	default:
	}
	if c.addressChanged() { // looked at last, as ChangeAddress polls: a change from here on wakes the next round
		return true // the request was ended by the change, or went to the wrong service
	}
	c.closeIdleConnection("call_failed")
	if c.backoff != nil {
		return c.awaitBackoff(ctx, err)
	}
	return c.retry(ctx, err, time.Since(startedAt))
}

func (c *Client) recordAnswer(list *List) {
	c.notify(list, nil)
	c.lastFailed = false
	c.pollNext = false
	if c.backoff != nil {
		c.backoff.PollSucceeded()
	}
}

// retry notifies of a failure and waits where the request is made again without being asked for. The first broken connection is not
// notified of, and an outage of a local agent only once.
func (c *Client) retry(ctx context.Context, err error, duration time.Duration) (again bool) {
	connectionLost := !c.lastFailed && isConnectionLost(err)
	knownOutage := c.localAgent && c.lastFailed
	if !connectionLost && !knownOutage {
		c.notify(nil, err)
	}
	delay, again := c.jitter.RetryDelay(polling.Failure{
		ConnectionLost:     connectionLost,
		LocalAgent:         c.localAgent,
		SinceAddressChange: time.Since(c.movedAt),
		Duration:           duration,
	})
	c.lastFailed = true
	c.pollNext = again
	if again {
		c.pause(ctx, delay)
	}
	return again && ctx.Err() == nil
}

// pause waits; ChangeAddress ends the wait.
func (c *Client) pause(ctx context.Context, delay time.Duration) {
	ctx, end := c.begin(ctx)
	defer end()
	sleep(ctx, delay)
}

// awaitBackoff notifies of the first failure of an outage and waits until discovery is to be polled again. It reports false where ctx ended.
func (c *Client) awaitBackoff(ctx context.Context, err error) (again bool) {
	if !c.lastFailed {
		c.notify(nil, err)
	}
	c.lastFailed = true
	c.pollNext = true
	if errors.As(err, new(*UnreachableError)) {
		c.reconnect(ctx)
	} else {
		c.pause(ctx, c.backoff.PollFailed())
	}
	return ctx.Err() == nil
}

// reconnect tries to connect until that succeeds. ChangeAddress ends it.
func (c *Client) reconnect(ctx context.Context) {
	ctx, end := c.begin(ctx)
	defer end()
	for ctx.Err() == nil {
		sleep(ctx, c.backoff.ConnectDelay())
		attempt, cancel := context.WithTimeout(ctx, c.backoff.PollTimeout())
		conn, err := connect(attempt, c.address, c.dial)
		cancel()
		if err == nil {
			c.idleConnection = conn
			sleep(ctx, c.backoff.FirstPollDelay())
			return
		}
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
