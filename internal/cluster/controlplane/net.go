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
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
	standsFor  = 2 * time.Second // what stood so long is dialled again at once when it ends
	spareConns = 16              // for voters and operators, beside followers
)

// mine admits brokers of the own site alone.
func (f *Participant) mine(id keys.ID) error {
	if own := f.o.Keys.ID(); id.Site != own.Site {
		return fmt.Errorf("%s is not of %s", id, own.Site)
	}
	return nil
}

// serve takes connections until the listener is closed.
func (f *Participant) serve(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() { f.o.Listener.Close() })
	defer stop()
	config := f.o.Keys.Server(f.mine)
	var in atomic.Int64
	for {
		nc, err := f.o.Listener.Accept()
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
		if in.Load() >= int64(2*f.o.MaxFollowers+spareConns) { // Danger: whoever opens many takes descriptors from clients
			nc.Close()
			continue
		}
		in.Add(1)
		all.Go(func() {
			defer in.Add(-1)
			defer nc.Close()
			c, err := shake(ctx, tls.Server(nc, config), f.hello(), false)
			if err != nil {
				f.Counts.Refused.Add(1)
				slog.Debug("fleet: connection refused", "from", nc.RemoteAddr(), "error", err)
				return
			}
			c.peer.Listen = reachable(c.peer.Listen, nc.RemoteAddr())
			f.carry(ctx, c)
		})
	}
}

// reachable puts the address that a broker comes from in place of one that means all of its own.
func reachable(listen string, from net.Addr) string {
	at, err := netip.ParseAddrPort(listen)
	tcp, ok := from.(*net.TCPAddr)
	if err != nil || !ok || !at.Addr().IsUnspecified() {
		return listen
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), at.Port()).String()
}

func (f *Participant) hello() hello {
	h := hello{Protocol: protocol, Role: roleFollower, Name: f.name, Listen: f.o.ListenAddr}
	if f.id != 0 {
		h.Role = roleVoter
	}
	return h
}

// dial opens one connection.
func (f *Participant) dial(ctx context.Context, addr string) (*conn, error) {
	limit, cancel := context.WithTimeout(ctx, handshake)
	defer cancel()
	nc, err := f.o.Dial(limit, addr)
	if err != nil {
		return nil, err
	}
	c, err := shake(limit, tls.Client(nc, f.o.Keys.Client(f.mine)), f.hello(), true)
	if err != nil {
		nc.Close()
	}
	return c, err
}

// carry runs a connection that stands, until it ends.
func (f *Participant) carry(ctx context.Context, c *conn) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var w sync.WaitGroup
	w.Go(c.write)
	if f.call(ctx, func() { f.came(c) }) {
		err := c.read(func(letter byte, body []byte) bool {
			return f.call(ctx, func() { f.take(c, letter, body) })
		})
		c.close()
		f.call(ctx, func() { f.gone(c, err) })
	}
	c.close()
	w.Wait()
}

// keepVoter keeps the connection to another voter.
func (f *Participant) keepVoter(ctx context.Context, v Voter) {
	pause := pauseFirst
	for ctx.Err() == nil {
		begun := time.Now()
		if c, err := f.dial(ctx, v.Addr); err == nil && c.peer.Name == v.Name {
			c.voter = true
			f.carry(ctx, c)
			if time.Since(begun) > standsFor {
				pause = pauseFirst
			}
		} else if err == nil {
			slog.Warn("fleet: another broker answers at a voter's address", "at", v.Addr, "wanted", v.Name, "is", c.peer.Name)
			c.close()
		}
		if !rest(ctx, pause) {
			return
		}
		pause = min(2*pause, pauseMost)
	}
}

// rest waits for some half to three halves of a time. Danger: all that lost the same broker come back in one moment.
func rest(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause/2 + rand.N(pause)):
		return true
	case <-ctx.Done():
		return false
	}
}

// keepSource keeps one source to follow: those of the settings in a random order, and those that a full one names.
func (f *Participant) keepSource(ctx context.Context) {
	pause := pauseFirst
	var next []string
	for ctx.Err() == nil {
		if len(next) == 0 {
			next = append(next, f.o.Sources...)
			rand.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		}
		addr := next[0]
		next = next[1:]
		begun := time.Now()
		if c, err := f.dial(ctx, addr); err == nil {
			f.carry(ctx, c)
			if len(c.others) > 0 { // written by the core before the connection ended
				next = append(c.others, next...)
				if len(next) > 64 {
					next = next[:64]
				}
				continue
			}
		}
		if time.Since(begun) > standsFor {
			pause, next = pauseFirst, nil
		}
		if len(next) == 0 {
			if !rest(ctx, pause) {
				return
			}
			pause = min(2*pause, pauseMost)
		}
	}
}
