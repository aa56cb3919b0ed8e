package controlplane

// This file owns the coming and going of connections: a listener within bounds, and dials with a growing, uneven pause.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"flaxfront/internal/transport/keys"
)

const (
	minDialBackoff   = 50 * time.Millisecond
	maxDialBackoff   = time.Second
	stableAfter      = 2 * time.Second // what stood so long is dialled again at once when it ends
	extraConnections = 16              // for voters and operators, beside followers
)

// checkSite admits brokers of the own site alone.
func (p *Participant) checkSite(id keys.ID) error {
	if own := p.options.Keys.ID(); id.Site != own.Site {
		return fmt.Errorf("%s is not of %s", id, own.Site)
	}
	return nil
}

// acceptConnections takes connections until the listener is closed.
func (p *Participant) acceptConnections(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() { p.options.Listener.Close() })
	defer stop()
	config := p.options.Keys.Server(p.checkSite)
	var in atomic.Int64
	for {
		nc, err := p.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			return
		}
		if err != nil {
			slog.Warn("accept failed on the fleet's listener", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if in.Load() >= int64(2*p.options.MaxFollowers+extraConnections) { // Danger: whoever opens many takes descriptors from clients
			nc.Close()
			continue
		}
		in.Add(1)
		all.Go(func() {
			defer in.Add(-1)
			defer nc.Close()
			c, err := handshake(ctx, tls.Server(nc, config), p.ownHello(), false)
			if err != nil {
				p.Counts.Refused.Add(1)
				slog.Debug("fleet: connection refused", "from", nc.RemoteAddr(), "error", err)
				return
			}
			c.peer.Listen = reachableAddress(c.peer.Listen, nc.RemoteAddr())
			p.serveConn(ctx, c)
		})
	}
}

// reachableAddress puts the address that a broker comes from in place of one that means all of its own.
func reachableAddress(listen string, from net.Addr) string {
	at, err := netip.ParseAddrPort(listen)
	tcp, ok := from.(*net.TCPAddr)
	if err != nil || !ok || !at.Addr().IsUnspecified() {
		return listen
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), at.Port()).String()
}

func (p *Participant) ownHello() helloFrame {
	h := helloFrame{Protocol: wireProtocol, Role: roleFollower, Name: p.name, Listen: p.options.ListenAddr}
	if p.voterID != 0 {
		h.Role = roleVoter
	}
	return h
}

// dial opens one connection.
func (p *Participant) dial(ctx context.Context, addr string) (*conn, error) {
	limit, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	nc, err := p.options.Dial(limit, addr)
	if err != nil {
		return nil, err
	}
	c, err := handshake(limit, tls.Client(nc, p.options.Keys.Client(p.checkSite)), p.ownHello(), true)
	if err != nil {
		nc.Close()
	}
	return c, err
}

// serveConn runs a connection that stands, until it ends.
func (p *Participant) serveConn(ctx context.Context, c *conn) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var w sync.WaitGroup
	w.Go(c.writeLoop)
	if p.runInLoop(ctx, func() { p.addConn(c) }) {
		err := c.readLoop(func(letter byte, body []byte) bool {
			return p.runInLoop(ctx, func() { p.handleFrame(c, letter, body) })
		})
		c.close()
		p.runInLoop(ctx, func() { p.removeConn(c, err) })
	}
	c.close()
	w.Wait()
}

// maintainVoterConn keeps the connection to another voter.
func (p *Participant) maintainVoterConn(ctx context.Context, v Voter) {
	pause := minDialBackoff
	for ctx.Err() == nil {
		begun := time.Now()
		if c, err := p.dial(ctx, v.Addr); err == nil && c.peer.Name == v.Name {
			c.toVoter = true
			p.serveConn(ctx, c)
			if time.Since(begun) > stableAfter {
				pause = minDialBackoff
			}
		} else if err == nil {
			slog.Warn("fleet: another broker answers at a voter's address", "at", v.Addr, "wanted", v.Name, "is", c.peer.Name)
			c.close()
		}
		if !waitBackoff(ctx, pause) {
			return
		}
		pause = min(2*pause, maxDialBackoff)
	}
}

// waitBackoff waits for some half to three halves of a time. Danger: all that lost the same broker come back in one moment.
func waitBackoff(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause/2 + rand.N(pause)):
		return true
	case <-ctx.Done():
		return false
	}
}

// followSource keeps one source to follow: those of the settings in a random order, and those that a full one names.
func (p *Participant) followSource(ctx context.Context) {
	pause := minDialBackoff
	var next []string
	for ctx.Err() == nil {
		if len(next) == 0 {
			next = append(next, p.options.Sources...)
			rand.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		}
		addr := next[0]
		next = next[1:]
		begun := time.Now()
		if c, err := p.dial(ctx, addr); err == nil {
			p.serveConn(ctx, c)
			if len(c.otherSources) > 0 { // written by the core before the connection ended
				next = append(c.otherSources, next...)
				if len(next) > 64 {
					next = next[:64]
				}
				continue
			}
		}
		if time.Since(begun) > stableAfter {
			pause, next = minDialBackoff, nil
		}
		if len(next) == 0 {
			if !waitBackoff(ctx, pause) {
				return
			}
			pause = min(2*pause, maxDialBackoff)
		}
	}
}
