// Package discovery follows the endpoint list of a discovery service over HTTP: polls, watches, hedges beside a request that goes
// unanswered, and the reading of the list. The event loop decides when to poll, through Client.Poll, and is notified of each list and of
// each failure that it has to decide on. The client itself repeats only what can't wait: a watch whose connection broke, a request to a
// service that it has just moved to, and, with a polling.Backoff, polls during an outage. A list that can't be read whole changes nothing.
//
// Concurrency: Run owns a client and is called once; Poll and ChangeAddress may be called from any goroutine. Depends on decision,
// decision/polling, transport/httpwire.
package discovery

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"flaxfront/internal/decision/polling"
)

// Client follows the endpoint list of one discovery service.
type Client struct {
	mu              sync.Mutex
	pendingAddress  string             // to move to; "" for none
	pendingSettings *Settings          // to use from there on; nil: unchanged
	cancelRequest   context.CancelFunc // ends the request or the pause under way

	pollRequested chan struct{}

	// The rest is Run's.
	address      string
	reader       Reader
	maxWatchTime time.Duration
	localAgent   bool // its retries cost nobody else anything
	jitter       polling.Jitter
	backoff      *polling.Backoff // nil: the event loop decides when a failed service is polled again
	notify       func(*List, error)
	dial         dialer

	idleConnection *connection // for the next request; nil: there is none
	movedAt        time.Time   // to this address
	currentVersion uint64
	versionKnown   bool // else the full list is asked for
	pollNext       bool // discovery has not answered since it failed, or at all: the next request is a poll, not a watch
	lastFailed     bool // the last request did
}

// Settings say how discovery is polled at an address.
type Settings struct {
	Reader       Reader
	MaxWatchTime time.Duration // for which discovery may hold a watch
	LocalAgent   bool          // the address is an agent of this broker's own
}

// NewClient makes a client that holds a version already (versionKnown) or nothing. notify is called by Run with a list or an error; it
// must not block for long.
func NewClient(address string, reader Reader, maxWatchTime time.Duration, currentVersion uint64, versionKnown bool,
	notify func(*List, error)) *Client {
	return &Client{
		address:        address,
		reader:         reader,
		maxWatchTime:   maxWatchTime,
		currentVersion: currentVersion,
		versionKnown:   versionKnown,
		notify:         notify,
		jitter:         rand.N[time.Duration],
		pollRequested:  make(chan struct{}, 1),
		dial:           new(net.Dialer).DialContext,
	}
}

// UseLocalAgent has an agent of this broker's own polled again soon whatever failed: what it has when an outage ends has to be known soon
// after. It is called before Run.
func (c *Client) UseLocalAgent() { c.localAgent = true }

// UseBackoff has the client poll again by itself during an outage; only the first failure of an outage is notified. It is called before
// Run. currentVersion is the version to ask for changes from, if versionKnown.
func (c *Client) UseBackoff(backoff *polling.Backoff, currentVersion uint64, versionKnown bool) {
	c.backoff = backoff
	c.pollNext = true
	c.currentVersion = currentVersion
	c.versionKnown = versionKnown
}

// ChangeAddress has discovery polled at another address from now on, even where a watch is held; it counts as a Poll. The list held stands
// until the new service has answered. That one may count its versions from anywhere, so that it is asked for the full list first. settings
// hold from there on, if they are given.
func (c *Client) ChangeAddress(address string, settings *Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingAddress = address
	if settings != nil {
		c.pendingSettings = settings
	}
	if c.cancelRequest != nil {
		c.cancelRequest()
	}
	c.Poll()
}

// Poll starts following the list unless that is under way; each poll is answered by a list or an error. It doesn't block.
func (c *Client) Poll() {
	select {
	case c.pollRequested <- struct{}{}:
	default: // one is waiting already
	}
}

// addressChanged reports whether ChangeAddress waits to be applied.
func (c *Client) addressChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingAddress != ""
}

// begin applies a change of address that waits, and returns a context for a request or a pause that ChangeAddress ends.
func (c *Client) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAddress != "" {
		c.applyAddress()
	}
	ctx, c.cancelRequest = context.WithCancel(ctx)
	return ctx, c.cancelRequest
}

// applyAddress is called with the lock held.
func (c *Client) applyAddress() {
	c.closeIdleConnection("moved")
	c.address = c.pendingAddress
	c.pendingAddress = ""
	c.movedAt = time.Now()
	c.currentVersion = 0
	c.versionKnown = false
	c.pollNext = false
	if c.pendingSettings != nil {
		c.reader = c.pendingSettings.Reader
		c.maxWatchTime = c.pendingSettings.MaxWatchTime
		c.localAgent = c.pendingSettings.LocalAgent
		c.pendingSettings = nil
	}
}

func (c *Client) closeIdleConnection(reason string) {
	c.idleConnection.end(reason)
	c.idleConnection = nil
}
