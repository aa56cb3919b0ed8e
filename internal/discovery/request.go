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

// attempt is one HTTP request: its target, and how long to wait for its answer.
type attempt struct {
	target string
	polling.Timeouts
}

// request makes one request, with hedges: a watch from the current version, a poll for changes, or a poll for the full list.
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

// firstAttempt returns the attempt that a request begins with.
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
	if watch { // the backoff decides when another request is sent, instead of a hedge
		first.Timeout = first.HedgeDelay
	} else {
		first.Timeout = c.backoff.PollTimeout()
	}
	return first
}

// pollAttempt returns an attempt that requests changes, or the full list if no version is known, without waiting for a change.
func (c *Client) pollAttempt() attempt {
	pollAttempt := attempt{listPath, c.jitter.PollTimeouts()}
	if c.versionKnown {
		pollAttempt.target = c.changesTarget(0)
	}
	return pollAttempt
}

// changesTarget returns the HTTP target of a request for changes since the current version.
func (c *Client) changesTarget(watchTime time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", listPath, c.currentVersion, watchTime.Milliseconds())
}

// sendHedged makes an attempt and, without a backoff, sends hedges for as long as the service is silent. It returns the first answer with
// status 200, or how the last attempt ended. A service that rejects a request is not silent: then the attempts in flight are awaited, and no
// more are sent.
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

// reuseConnection keeps the connection of an answer for the next request, or closes it if it can't carry another.
func (c *Client) reuseConnection(o outcome) {
	if o.answer.Close || o.answer.Status != statusOK {
		o.conn.end("last_answer")
		return
	}
	c.idleConnection = o.conn
}

// acceptList decodes a list and makes its version the current one. An update older than the current version is rejected, as it can't be
// applied; a full list may have any version, as a service that lost its state starts its versions anew.
func (c *Client) acceptList(answer *httpwire.Message) (*List, error) {
	list, err := c.reader.Decode(answer.Body)
	if err != nil {
		c.versionKnown = false // request the full list next
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
