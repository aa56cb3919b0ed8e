package link

// This file establishes connections: it performs the handshake, and dials targets again with a growing, randomized delay.

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/transport/keys"
)

const (
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 5 * time.Second
	stableDuration = 2 * time.Second // a link that lasted longer resets the delay to the minimum
)

// Target is a broker of another site that this side dials.
type Target struct {
	Site string
	Addr string
}

// Options configure the links of a broker.
type Options struct {
	Keys        *keys.Keyring
	Epoch       uint64   // drawn at the start of the process
	Credit      int      // queries that another broker may have in flight here
	Sites       []string // sites whose brokers may open links to this one
	MaxAccepted int      // links opened by other brokers, at once
	Targets     []Target
	Post        func(Event)                                              // posts to the loop; may block
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	versions    [2]int                                                   // lowest and highest protocol version; tests set older ones
}

// Links manages all links of a broker.
type Links struct {
	opts      Options
	status    atomic.Pointer[Status]
	serial    atomic.Uint64
	mu        sync.Mutex
	conns     map[*Conn]bool
	accepted  int
	logLines  int // rejected handshakes logged in the second logSecond
	logSecond int64

	RejectedHandshakes atomic.Uint64 // failed handshakes, and connections beyond MaxAccepted
}

// New returns the links of a broker. Nothing is dialled before Maintain.
func New(o Options) *Links {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}
	}
	if o.versions[1] == 0 {
		o.versions = [2]int{MinVersion, MaxVersion}
	}
	l := &Links{opts: o, conns: map[*Conn]bool{}}
	l.status.Store(&Status{})
	return l
}

// SetStatus sets the status that heartbeats carry from now on. With immediately, it is sent over all links at once.
func (l *Links) SetStatus(s Status, immediately bool) {
	l.status.Store(&s)
	if !immediately {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.enqueueUrgent(c.frame(frameHeartbeat, heartbeat{Seq: c.nextHeartbeatSeq(), Heartbeat: c.lastReceivedSeq(), Status: &s}))
	}
}

// nextHeartbeatSeq returns the number of a heartbeat that is sent between the regular ones.
func (c *Conn) nextHeartbeatSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatSeq++
	if c.unacked != nil {
		c.unacked[c.heartbeatSeq] = time.Now()
	}
	return c.heartbeatSeq
}

func (c *Conn) lastReceivedSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedSeq
}

func (l *Links) newConn(nc net.Conn, peer int) *Conn {
	id := l.opts.Keys.ID()
	return &Conn{Peer: peer, net: nc, in: bufio.NewReaderSize(nc, 16<<10), status: &l.status, post: l.opts.Post,
		wake: make(chan struct{}, 1), startedAt: time.Now(), unacked: map[uint64]time.Time{},
		localHello: Hello{MinVersion: l.opts.versions[0], MaxVersion: l.opts.versions[1], Site: id.Site, Broker: id.Broker, Epoch: l.opts.Epoch,
			Credit: l.opts.Credit, Window: replyWindowBytes}}
}

// establish performs the handshake on a socket: TLS, then the hellos, within handshakeTimeout together. The other side's hello must name
// the same site and broker as its certificate.
func (l *Links) establish(ctx context.Context, nc *tls.Conn, peer int) (*Conn, error) {
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := nc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := keys.PeerID(nc.ConnectionState())
	if err != nil {
		return nil, err
	}
	c := l.newConn(nc, peer)
	if err := c.exchangeHellos(); err != nil {
		return nil, err
	}
	if c.RemoteHello.Site != id.Site || c.RemoteHello.Broker != id.Broker {
		return nil, fmt.Errorf("hello names %s/%s, but the certificate %s", c.RemoteHello.Site, c.RemoteHello.Broker, id)
	}
	nc.SetDeadline(time.Time{})
	c.Serial = l.serial.Add(1)
	return c, nil
}

// runConn runs an established connection until it ends.
func (l *Links) runConn(ctx context.Context, c *Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	slog.Info("link established", "site", c.RemoteHello.Site, "broker", c.RemoteHello.Broker, "dialled", c.Peer >= 0, "version", c.version,
		"credit", c.RemoteHello.Credit)
	c.post(Event{Conn: c, Up: &c.RemoteHello})
	c.run(ctx)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// Maintain keeps up the link to one target until ctx ends.
func (l *Links) Maintain(ctx context.Context, peer int) {
	target := l.opts.Targets[peer]
	config := l.opts.Keys.Client(func(id keys.ID) error {
		if id.Site != target.Site {
			return fmt.Errorf("dialled a broker of %[2]s, but %[1]s answered", id, target.Site)
		}
		return nil
	})
	delay, lastError := minRedialDelay, ""
	for ctx.Err() == nil {
		started := time.Now()
		c, err := l.dial(ctx, config, target.Addr, peer)
		if err == nil {
			lastError = ""
			l.runConn(ctx, c)
		} else if text := err.Error(); text != lastError && ctx.Err() == nil {
			slog.Warn("link not established", "site", target.Site, "addr", target.Addr, "error", err)
			lastError = text
		}
		if err == nil && time.Since(started) > stableDuration {
			delay = minRedialDelay
		}
		select { // randomized: else all brokers would dial a site that comes back at the same moment
		case <-time.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

func (l *Links) dial(ctx context.Context, config *tls.Config, addr string, peer int) (*Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nc, err := l.opts.Dial(dialCtx, addr)
	if err != nil {
		return nil, err
	}
	c, err := l.establish(dialCtx, tls.Client(nc, config), peer)
	if err != nil {
		nc.Close()
	}
	return c, err
}
