// Package discovery keeps up with the node list. It owns the connections to discovery, the version held and the reading of the list.
// It must never decide when to ask: the module does, through Ask, and learns of each failure. Only a call that has fallen silent, or
// a watch that broke, is made good here at once, or a call that the service just moved to failed. A list that can't be read whole
// changes nothing.
//
// Depends on decision, decision/polling, transport/httpwire. Concurrency: Run owns a client and is
// called once; Ask and Move may be called from any goroutine.
package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"flaxfront/internal/decision/polling"
)

// Client asks discovery.
type Client struct {
	mu        sync.Mutex
	pending   string             // the address to move to; "" for none
	next      *Settings          // by which it is asked from there on; nil: as it is
	interrupt context.CancelFunc // ends the call in hand

	addr   string
	reader Reader
	wait   time.Duration // how long discovery may hold a watch
	lot    polling.Jitter
	moved  time.Time // to the service that is asked
	held   uint64    // the version held
	known  bool
	tell   func(*List, error) // delivers to the loop
	ask    chan struct{}
	dial   dialer
	idle   *connection      // for the next call; nil: there is none
	pushed bool             // an agent of this broker's own is asked, and what it has counts at once
	pacer  *polling.Backoff // nil: it is asked again only when Ask says so
	hurry  bool             // discovery has not answered since it failed, or at all: the next call does not wait for news
	failed bool             // the last call did
}

// Settings are what other settings change in how discovery is asked.
type Settings struct {
	Reader       Reader
	MaxWatchTime time.Duration // the longest that it may hold a watch
	LocalAgent   bool          // an agent of this broker's own is asked
}

// NewClient makes a client that holds a version already, or nothing (known false).
func NewClient(addr string, reader Reader, wait time.Duration, held uint64, known bool,
	tell func(*List, error)) *Client {
	return &Client{addr: addr, reader: reader, wait: wait, held: held, known: known, tell: tell,
		lot: rand.N[time.Duration], ask: make(chan struct{}, 1), dial: new(net.Dialer).DialContext}
}

// UseLocalAgent has an agent of this broker's own asked again soon by the client itself, whatever failed. Danger: what the agent has when an
// outage ends counts as told in that moment. It costs nobody else anything. It comes before Run.
func (c *Client) UseLocalAgent() { c.pushed = true }

// UseBackoff has the client ask again by itself, as a pacer says, whenever discovery could not be asked; the first failure of
// each outage is told, the others are not. It comes before Run. held is the version to ask for changes from, if known.
func (c *Client) UseBackoff(p *polling.Backoff, held uint64, known bool) {
	c.pacer, c.hurry, c.held, c.known = p, true, held, known
}

// ChangeAddress has discovery asked at another address from now on, even where a watch is held; that counts as an ask. The list
// held stands until the new one has spoken. The new one may count its versions from anywhere, so that it is asked for
// the whole list first. It is asked by other terms from there on, if they are given.
func (c *Client) ChangeAddress(addr string, t *Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending = addr; t != nil {
		c.next = t
	}
	if c.interrupt != nil {
		c.interrupt()
	}
	c.Poll()
}

// moving tells whether a move waits to be made.
func (c *Client) moving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != ""
}

// begin makes a move that waits and lets Move end the call that begins.
func (c *Client) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != "" {
		c.hangUp("moved")
		c.addr, c.pending, c.held, c.known = c.pending, "", 0, false
		c.moved, c.hurry = time.Now(), false
		if c.next != nil {
			c.reader, c.wait, c.pushed, c.next = c.next.Reader, c.next.MaxWatchTime, c.next.LocalAgent, nil
		}
	}
	ctx, c.interrupt = context.WithCancel(ctx)
	return ctx, c.interrupt
}

// Poll starts a watch unless one is held; each ask is answered by a list or an error.
func (c *Client) Poll() {
	select {
	case c.ask <- struct{}{}:
	default: // one is waiting already
	}
}

// Run carries out what is asked until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer func() { c.hangUp("shutdown") }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.ask:
		}
		for c.step(ctx) {
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// step makes one call, tells what came of it, and tells whether another follows without being asked for.
func (c *Client) step(ctx context.Context) (more bool) {
	began := time.Now()
	list, err := c.call(ctx)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		c.answered(list)
		return true
	}
	select {
	case <-c.ask: // made while this call was out, and answered by it
	default:
	}
	if c.moving() { // looked at last, as a move asks: one made from here on wakes the next round
		return true // the call was ended by the move, or asked the wrong one
	}
	c.hangUp("call_failed")
	if c.pacer != nil {
		return c.paced(ctx, err)
	}
	broke := !c.failed && broken(err)
	if !broke && !(c.pushed && c.failed) { // an agent's outage is told once
		c.tell(nil, err)
	}
	d, again := c.lot.RetryDelay(polling.Failure{ConnectionLost: broke, LocalAgent: c.pushed, SinceMove: time.Since(c.moved), Duration: time.Since(began)})
	c.failed, c.hurry = true, again
	if again {
		c.pause(ctx, d)
	}
	return again && ctx.Err() == nil
}

func (c *Client) answered(list *List) {
	c.tell(list, nil)
	c.failed, c.hurry = false, false
	if c.pacer != nil {
		c.pacer.PollSucceeded()
	}
}

// pause waits before a call is made again by the client itself. Danger: watches break for all brokers at once, and a service that they
// all just moved to refuses them together; their calls would come in step. A move ends the wait.
func (c *Client) pause(ctx context.Context, d time.Duration) {
	ctx, end := c.begin(ctx)
	defer end()
	sleep(ctx, d)
}

// hangUp closes the connection that is kept for the next call.
func (c *Client) hangUp(reason string) {
	c.idle.end(reason)
	c.idle = nil
}
