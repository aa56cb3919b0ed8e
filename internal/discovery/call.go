package discovery

// This file owns one call: what is asked, when a hedge goes out beside a request that is unanswered, and which answer is taken. It
// must never take two.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"flaxfront/internal/decision/polling"
	"flaxfront/internal/transport/httpwire"
)

const path = "/discovery/hosts"

// request is what one attempt of a call asks for, and how long it is waited for.
type request struct {
	target string
	polling.Timeouts
}

// call makes one call: a watch on from the version held, a look at what is new, or the whole list.
func (c *Client) call(ctx context.Context) (*List, error) {
	ctx, end := c.begin(ctx)
	defer end()
	first := c.first()
	answer, err := c.hedged(ctx, first)
	if err != nil {
		return nil, err
	}
	if answer.Status != 200 {
		return nil, &StatusError{c.addr, answer.Status}
	}
	return c.take(answer)
}

// first is the request that a call begins with.
func (c *Client) first() request {
	r := c.look()
	if c.known && !c.hurry {
		r.Timeouts = c.lot.WatchTimeouts(c.wait)
		r.target = c.changes(r.WatchTime)
	}
	if c.pacer != nil && c.known && !c.hurry { // it decides when a further request goes out
		r.Timeout = r.HedgeDelay
	} else if c.pacer != nil {
		r.Timeout = c.pacer.PollTimeout()
	}
	return r
}

// look asks for what is new, or for the whole list where no version is held, without waiting for news.
func (c *Client) look() request {
	r := request{path, c.lot.PollTimeouts()}
	if c.known {
		r.target = c.changes(0)
	}
	return r
}

func (c *Client) changes(wait time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", path, c.held, wait.Milliseconds())
}

// hedged puts a request, and hedges beside it for as long as the service says nothing, and returns the first answer. A service that
// refuses is not silent: what is out by then is waited for, and nothing more goes out.
func (c *Client) hedged(ctx context.Context, first request) (*httpwire.Message, error) {
	r := newRace(ctx, c.addr, c.dial)
	defer r.end()
	r.start(c.idle, first)
	c.idle = nil
	hedge := time.NewTimer(first.HedgeDelay)
	defer hedge.Stop()
	if c.pacer != nil {
		hedge.Stop()
	}
	told := false
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hedge.C:
			next := c.look()
			r.start(nil, next)
			hedge.Reset(next.HedgeDelay)
		case o := <-r.outcomes:
			r.out--
			if o.err == nil && (o.answer.Status == 200 || r.out == 0) {
				c.keep(o)
				return o.answer, nil
			}
			silent := errors.As(o.err, new(*SilentError))
			o.conn.end("call_failed")
			if r.out == 0 {
				return nil, o.err
			}
			if silent && !told {
				told = true
				c.tell(nil, o.err)
			}
			if !silent {
				hedge.Stop()
			}
		}
	}
}

// keep holds on to the connection of an answer for the next call, if there may be one on it.
func (c *Client) keep(o outcome) {
	if o.answer.Close || o.answer.Status != 200 {
		o.conn.end("last_answer")
		return
	}
	c.idle = o.conn
}

// take reads a list and holds its version. Changes to an older list than the one held are refused, as they can't be applied; a whole
// list counts from wherever its service does.
func (c *Client) take(answer *httpwire.Message) (*List, error) {
	list, err := c.reader.Decode(answer.Body)
	if err != nil {
		c.known = false // next time the whole list
		return nil, &UnreadableListError{c.addr, err}
	}
	if c.known && list.Version < c.held && !list.Full {
		c.known = false
		return nil, &OutdatedListError{c.addr, list.Version, c.held}
	}
	c.held, c.known = list.Version, true
	list.Service = c.addr
	return list, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
