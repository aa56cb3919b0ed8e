package discovery

// This file owns one call: what is asked, when a hedge goes out beside a request that is unanswered, and which answer is taken. It
// must never take two.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"flaxfront/internal/transport/httpwire"
)

// A change of the list counts as told 6 s after discovery had it, whatever became of the calls in between; what a silent watch
// missed counts 6 s after it fell silent, or 2 s after its wait if that is later. A watch that is overdue has to be noticed, and made
// good by a request that may itself wait its turn at a busy service, so that no watch may take all of that time.
const (
	toldAfter     = 6 * time.Second
	toldAfterWait = 2 * time.Second
	longestWait   = toldAfter / 2
	overdueAfter  = 800 * time.Millisecond // a watch, after its wait
)

// Danger: a busy service answers in turn. A request that is given up loses its place, has cost the service work all the same, and
// the next one starts at the end of the queue, so that brokers that give up early keep it busy. A service that says nothing for
// other reasons has to be found out soon, though. So a request that is unanswered stays out while a hedge goes out beside it. It may
// hurt a service that is slower than hedgeAfter, by a second request a broker.
const (
	hedgeAfter = 1500 * time.Millisecond
	hedgeLot   = 400 * time.Millisecond  // drawn on top, as all brokers may find silence in the same moment
	heldFor    = 2500 * time.Millisecond // a request that does not wait for news; a watch so long after its wait
)

// A call is made again after a pause drawn from pauseMost, so that brokers do not come in step, and one that was refused no sooner
// than pauseLeast after it began.
const (
	pauseLeast = 500 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
	agentPause = 200 * time.Millisecond // before an agent of this broker's own is asked again; less than any drain is given
)

// After a move what the new service has counts as told so long after it, whatever it answers until then.
const countsAfterMove = 4 * time.Second

const path = "/discovery/hosts"

// request is what one attempt of a call asks for.
type request struct {
	target string
	due    time.Duration // when a hedge goes out beside it
	limit  time.Duration // when it is given up
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
		return nil, &Refused{c.addr, answer.Status}
	}
	return c.take(answer)
}

// first is the request that a call begins with.
func (c *Client) first() request {
	switch {
	case c.known && !c.hurry:
		return c.watch()
	case c.pacer != nil:
		r := c.look()
		r.limit = c.pacer.Limit()
		return r
	default:
		return c.look()
	}
}

// look asks for what is new, or for the whole list where no version is held, without waiting for news.
func (c *Client) look() request {
	r := request{target: path, due: hedgeAfter + c.lot(hedgeLot), limit: heldFor}
	if c.known {
		r.target = c.changes(0)
	}
	return r
}

// watch asks for news, and lets discovery wait for them.
func (c *Client) watch() request {
	// Danger: watches that began together fall silent together, and the requests that come of it jam discovery.
	wait := c.wait - c.lot(c.wait/2+1)
	r := request{target: c.changes(wait), due: wait + overdueAfter, limit: wait + heldFor}
	if c.pacer != nil { // it decides when a further request goes out
		r.limit = r.due
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
	hedge := time.NewTimer(first.due)
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
			hedge.Reset(next.due)
		case o := <-r.outcomes:
			r.out--
			if o.err == nil && (o.answer.Status == 200 || r.out == 0) {
				c.keep(o)
				return o.answer, nil
			}
			silent := errors.As(o.err, new(*Silent))
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
		return nil, &Unreadable{c.addr, err}
	}
	if c.known && list.Version < c.held && !list.Whole {
		c.known = false
		return nil, &Older{c.addr, list.Version, c.held}
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
