package link

// This file owns the coming and going of connections: dialling with a growing, uneven pause, and listening within bounds.

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
	stableDuration = 2 * time.Second // a link that stood so long is dialled again at once when it ends
)

// Target is one broker of another site.
type Target struct {
	Site string
	Addr string
}

// Options say who this side is and what it offers.
type Options struct {
	Keys        *keys.Keyring
	Epoch       uint64
	Credit      int      // searches that another broker may have out here
	Sites       []string // whose brokers may open links here
	MaxAccepted int      // links from other brokers at once
	Targets     []Target
	Post        func(Event)                                              // delivers to the loop; may wait
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	versions    [2]int                                                   // tests speak older ones
}

// Links are all links of a broker.
type Links struct {
	opts      Options
	status    atomic.Pointer[Status]
	serial    atomic.Uint64
	mu        sync.Mutex
	conns     map[*Conn]bool
	accepted  int
	logLines  int // refused handshakes logged in this second
	logSecond int64

	RejectedHandshakes atomic.Uint64 // handshakes
}

// New makes links; nothing is dialled yet.
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

// SetStatus is what heartbeats tell of this side from now on; urgent has it told at once.
func (l *Links) SetStatus(s Status, immediately bool) {
	l.status.Store(&s)
	if !immediately {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.enqueue(queued{frame: c.frame(frameHeartbeat, heartbeat{Seq: c.nextHeartbeatSeq(), Heartbeat: c.lastReceivedSeq(), Status: &s})}, true)
	}
}

// nextHeartbeatSeq numbers a heartbeat out of turn.
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

// establish makes a connection of a socket: TLS, then the hello, all within one time limit. The other side must say the same of
// itself in both.
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
		return nil, fmt.Errorf("it calls itself %s/%s, its certificate %s", c.RemoteHello.Site, c.RemoteHello.Broker, id)
	}
	nc.SetDeadline(time.Time{})
	c.Serial = l.serial.Add(1)
	return c, nil
}

// runConn runs a connection that stands.
func (l *Links) runConn(ctx context.Context, c *Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	slog.Info("link stands", "site", c.RemoteHello.Site, "broker", c.RemoteHello.Broker, "dialled", c.Peer >= 0, "version", c.version,
		"credit", c.RemoteHello.Credit)
	c.post(Event{Conn: c, Up: &c.RemoteHello})
	c.run(ctx)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// Maintain keeps the link to one target until ctx ends.
func (l *Links) Maintain(ctx context.Context, peer int) {
	target := l.opts.Targets[peer]
	config := l.opts.Keys.Client(func(id keys.ID) error {
		if id.Site != target.Site {
			return fmt.Errorf("%s answers where a broker of %s was dialled", id, target.Site)
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
			slog.Warn("link does not stand", "site", target.Site, "addr", target.Addr, "error", err)
			lastError = text
		}
		if err == nil && time.Since(started) > stableDuration {
			delay = minRedialDelay
		}
		select { // Danger: all links of a site that comes back dial it in the same moment
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
