// Package discovery follows the endpoint list of a discovery service over HTTP: it polls, holds watches, sends hedges if a request goes
// unanswered, and decodes the list. The event loop decides when to poll, through Client.Poll, and is notified of each list and of each
// failure that it has to decide on. The client itself retries only what can't wait: a watch whose connection broke, a request to a service
// that it has just moved to, and, with a polling.Backoff, polls during an outage. A list that can't be read whole changes nothing.
//
// Concurrency: Run owns a client and is called once; Poll and ChangeAddress may be called from any goroutine.
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
	pendingAddress  string             // set by ChangeAddress and not applied yet; "": none
	pendingSettings *Settings          // to use with the pending address; nil: unchanged
	cancelRequest   context.CancelFunc // ends the current request or pause

	pollRequested chan struct{}

	// The fields below belong to the goroutine that calls Run.
	address      string
	reader       Reader
	maxWatchTime time.Duration
	localAgent   bool // the address is an agent of this broker's own: retries put no load on other brokers' discovery
	jitter       polling.Jitter
	backoff      *polling.Backoff // nil: the event loop decides when a failed service is polled again
	notify       func(*List, error)
	dial         dialer

	idleConnection *connection // for the next request; nil: none
	movedAt        time.Time   // when the current address was applied
	currentVersion uint64
	versionKnown   bool // otherwise the full list is requested
	pollNext       bool // the next request is a poll, not a watch, as discovery has not answered yet or not since a failure
	lastFailed     bool // the last request failed
}

// Settings are the settings for polling discovery at an address.
type Settings struct {
	Reader       Reader
	MaxWatchTime time.Duration // how long discovery may hold a watch
	LocalAgent   bool          // the address is an agent of this broker's own
}

// NewClient returns a client. If versionKnown, the caller already holds the list of currentVersion. Run calls notify with a list or an
// error; notify must not block for long.
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

// UseLocalAgent tells the client that the address is an agent of this broker's own. The client then polls again soon after any failure, so that
// the list is known soon after an outage ends. It must be called before Run.
func (c *Client) UseLocalAgent() { c.localAgent = true }

// UseBackoff makes the client poll again by itself during an outage, and notify only of the first failure of an outage. If versionKnown,
// changes since currentVersion are requested first. It must be called before Run.
func (c *Client) UseBackoff(backoff *polling.Backoff, currentVersion uint64, versionKnown bool) {
	c.backoff = backoff
	c.pollNext = true
	c.currentVersion = currentVersion
	c.versionKnown = versionKnown
}

// ChangeAddress makes the client poll discovery at another address from now on, ending a watch that is held; it counts as a Poll. The
// current list stays in use until the new service answers. The versions of the new service are unrelated to those of the old one, so
// the full list is requested first. settings, if not nil, apply from then on.
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

// Poll starts following the list unless the client already does. Each call leads to a notification of a list or an error. It doesn't block.
func (c *Client) Poll() {
	select {
	case c.pollRequested <- struct{}{}:
	default: // a poll is already requested
	}
}

// addressChanged reports whether a change of address waits to be applied.
func (c *Client) addressChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingAddress != ""
}

// begin applies a pending change of address, and returns a context for a request or a pause that ChangeAddress cancels.
func (c *Client) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAddress != "" {
		c.applyAddress()
	}
	ctx, c.cancelRequest = context.WithCancel(ctx)
	return ctx, c.cancelRequest
}

// applyAddress applies the pending address and settings. The caller holds mu.
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
