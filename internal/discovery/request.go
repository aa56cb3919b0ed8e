package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

const (
	listPath = "/discovery/hosts"

	statusOK = 200
)

// attempt is one HTTP request: what it asks for, and how long it is waited for.
type attempt struct {
	target string
	polling.Timeouts
}

// request makes one request, with hedges beside it: a watch from the version held, a poll for changes, or one for the full list.
func (c *Client) request(ctx context.Context) (*List, error) {
	ctx, end := c.begin(ctx)
	defer end()
	answer, err := c.sendHedged(ctx, c.firstAttempt())
	if err != nil {
		return nil, err
	}
	if answer.Status != statusOK {
		return nil, &StatusError{c.address, answer.Status}
	}
	return c.acceptList(answer)
}

// firstAttempt is the one that a request begins with.
func (c *Client) firstAttempt() attempt {
	watch := c.versionKnown && !c.pollNext
	first := c.pollAttempt()
	if watch {
		first.Timeouts = c.jitter.WatchTimeouts(c.maxWatchTime)
		first.target = c.changesTarget(first.WatchTime)
	}
	if c.backoff == nil {
		return first
	}
	if watch { // the backoff decides when another request goes out, in place of a hedge
		first.Timeout = first.HedgeDelay
	} else {
		first.Timeout = c.backoff.PollTimeout()
	}
	return first
}

// pollAttempt asks for changes, or for the full list where no version is held, without waiting for a change.
func (c *Client) pollAttempt() attempt {
	pollAttempt := attempt{listPath, c.jitter.PollTimeouts()}
	if c.versionKnown {
		pollAttempt.target = c.changesTarget(0)
	}
	return pollAttempt
}

// changesTarget is the HTTP target of a request for changes since the version held.
func (c *Client) changesTarget(watchTime time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, c.currentVersion, watchTime.Milliseconds())
}

// sendHedged makes an attempt, and hedges beside it for as long as the service doesn't answer, and returns the first answer. A service
// that rejects is not silent: what is out by then is waited for, and nothing more goes out.
func (c *Client) sendHedged(ctx context.Context, first attempt) (*httpwire.Message, error) {
	r := newRace(ctx, c.address, c.dial)
	defer r.end()
	r.start(c.idleConnection, first)
	c.idleConnection = nil
	hedge := time.NewTimer(first.HedgeDelay)
	defer hedge.Stop()
	if c.backoff != nil {
		hedge.Stop()
	}
	silenceNotified := false
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hedge.C:
			next := c.pollAttempt()
			r.start(nil, next)
			hedge.Reset(next.HedgeDelay)
		case o := <-r.outcomes:
			r.inFlight--
			if o.err == nil && (o.answer.Status == statusOK || r.inFlight == 0) {
				c.reuseConnection(o)
				return o.answer, nil
			}
			o.conn.end("call_failed")
			if r.inFlight == 0 {
				return nil, o.err
			}
			if !errors.As(o.err, new(*SilentError)) {
				hedge.Stop()
			} else if !silenceNotified {
				silenceNotified = true
				c.notify(nil, o.err)
			}
		}
	}
}

// reuseConnection keeps the connection of an answer for the next request, if it may carry one.
func (c *Client) reuseConnection(o outcome) {
	if o.answer.Close || o.answer.Status != statusOK {
		o.conn.end("last_answer")
		return
	}
	c.idleConnection = o.conn
}

// acceptList reads a list and holds its version. An update older than the version held is rejected, as it can't be applied; a full list
// may have any version, as a service that lost its state counts anew.
func (c *Client) acceptList(answer *httpwire.Message) (*List, error) {
	list, err := c.reader.Decode(answer.Body)
	if err != nil {
		c.versionKnown = false // the full list next
		return nil, &UnreadableListError{c.address, err}
	}
	if c.versionKnown && list.Version < c.currentVersion && !list.Full {
		c.versionKnown = false
		return nil, &OutdatedListError{c.address, list.Version, c.currentVersion}
	}
	c.currentVersion = list.Version
	c.versionKnown = true
	list.Service = c.address
	return list, nil
}
