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
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 5 * time.Second
	standsFor  = 2 * time.Second // a link that stood so long is dialled again at once when it ends
)

// Target is one broker of another site.
type Target struct {
	Site string
	Addr string
}

// Options say who this side is and what it offers.
type Options struct {
	Keys    *keys.Keyring
	Epoch   uint64
	Credit  int      // searches that another broker may have out here
	Sites   []string // whose brokers may open links here
	MostIn  int      // links from other brokers at once
	Targets []Target
	Post    func(Event)                                              // delivers to the loop; may wait
	Dial    func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	version [2]int                                                   // tests speak older ones
}

// Links are all links of a broker.
type Links struct {
	opts   Options
	status atomic.Pointer[Status]
	serial atomic.Uint64
	mu     sync.Mutex
	conns  map[*Conn]bool
	in     int
	lines  int // refused handshakes logged in this second
	second int64

	Refused atomic.Uint64 // handshakes
}

// New makes links; nothing is dialled yet.
func New(o Options) *Links {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}
	}
	if o.version[1] == 0 {
		o.version = [2]int{MinVersion, MaxVersion}
	}
	l := &Links{opts: o, conns: map[*Conn]bool{}}
	l.status.Store(&Status{})
	return l
}

// Say is what heartbeats tell of this side from now on; urgent has it told at once.
func (l *Links) Say(s Status, urgent bool) {
	l.status.Store(&s)
	if !urgent {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.put(queued{frame: c.frame(letterBeat, beat{Seq: c.urgentBeat(), Heard: c.lastHeard(), Status: &s})}, true)
	}
}

// urgentBeat numbers a heartbeat out of turn.
func (c *Conn) urgentBeat() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beats++
	if c.sent != nil {
		c.sent[c.beats] = time.Now()
	}
	return c.beats
}

func (c *Conn) lastHeard() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

func (l *Links) conn(nc net.Conn, peer int) *Conn {
	id := l.opts.Keys.ID()
	return &Conn{Peer: peer, net: nc, in: bufio.NewReaderSize(nc, 16<<10), status: &l.status, post: l.opts.Post,
		wake: make(chan struct{}, 1), begun: time.Now(), sent: map[uint64]time.Time{},
		mine: Hello{Min: l.opts.version[0], Max: l.opts.version[1], Site: id.Site, Broker: id.Broker, Epoch: l.opts.Epoch,
			Credit: l.opts.Credit, Window: window}}
}

// shake makes a connection of a socket: TLS, then the hello, all within one time limit. The other side must say the same of
// itself in both.
func (l *Links) shake(ctx context.Context, nc *tls.Conn, peer int) (*Conn, error) {
	nc.SetDeadline(time.Now().Add(handshake))
	if err := nc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	id, err := keys.PeerID(nc.ConnectionState())
	if err != nil {
		return nil, err
	}
	c := l.conn(nc, peer)
	if err := c.greet(); err != nil {
		return nil, err
	}
	if c.Theirs.Site != id.Site || c.Theirs.Broker != id.Broker {
		return nil, fmt.Errorf("it calls itself %s/%s, its certificate %s", c.Theirs.Site, c.Theirs.Broker, id)
	}
	nc.SetDeadline(time.Time{})
	c.Serial = l.serial.Add(1)
	return c, nil
}

// carry runs a connection that stands.
func (l *Links) carry(ctx context.Context, c *Conn) {
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	slog.Info("link stands", "site", c.Theirs.Site, "broker", c.Theirs.Broker, "dialled", c.Peer >= 0, "version", c.version,
		"credit", c.Theirs.Credit)
	c.post(Event{Conn: c, Up: &c.Theirs})
	c.run(ctx)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// Keep keeps the link to one target until ctx ends.
func (l *Links) Keep(ctx context.Context, peer int) {
	target := l.opts.Targets[peer]
	config := l.opts.Keys.Client(func(id keys.ID) error {
		if id.Site != target.Site {
			return fmt.Errorf("%s answers where a broker of %s was dialled", id, target.Site)
		}
		return nil
	})
	pause, said := pauseFirst, ""
	for ctx.Err() == nil {
		begun := time.Now()
		c, err := l.dial(ctx, config, target.Addr, peer)
		if err == nil {
			said = ""
			l.carry(ctx, c)
		} else if text := err.Error(); text != said && ctx.Err() == nil {
			slog.Warn("link does not stand", "site", target.Site, "addr", target.Addr, "error", err)
			said = text
		}
		if err == nil && time.Since(begun) > standsFor {
			pause = pauseFirst
		}
		select { // Danger: all links of a site that comes back dial it in the same moment
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, pauseMost)
	}
}

func (l *Links) dial(ctx context.Context, config *tls.Config, addr string, peer int) (*Conn, error) {
	limit, cancel := context.WithTimeout(ctx, handshake)
	defer cancel()
	nc, err := l.opts.Dial(limit, addr)
	if err != nil {
		return nil, err
	}
	c, err := l.shake(limit, tls.Client(nc, config), peer)
	if err != nil {
		nc.Close()
	}
	return c, err
}
