package discovery

import (
	"context"
	"errors"
	"time"

	"flaxfront/internal/decision/polling"
)

// Run waits for Poll and follows the list until ctx ends. It returns nil.
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

// step makes one request, notifies of its result, and reports whether another request follows without a call of Poll.
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
	case <-c.pollRequested: // requested during this request, and answered by its error
	default:
	}
	if c.addressChanged() { // checked after pollRequested is drained: ChangeAddress calls Poll, so a later change wakes Run again
		return true // the change canceled the request, or the request went to the old address
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

// retry notifies of a failure, and pauses if the request is retried without a call of Poll. It does not notify of a lost connection unless
// the previous request failed too, and notifies only once of an outage of a local agent.
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

// pause waits for the delay, or until ChangeAddress or the end of ctx.
func (c *Client) pause(ctx context.Context, delay time.Duration) {
	ctx, end := c.begin(ctx)
	defer end()
	sleep(ctx, delay)
}

// awaitBackoff notifies of the first failure of an outage and waits until discovery is to be polled again. It reports false if ctx ended.
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

// reconnect tries to connect until that succeeds, ChangeAddress is called or ctx ends. Once connected, it waits for the backoff's first delay.
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

// sleep waits for the delay or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
