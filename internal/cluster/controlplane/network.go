package controlplane

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	extraConnections = 16 // for voters and operators, in addition to followers
	acceptErrorPause = 10 * time.Millisecond
	connsPerFollower = 2 // a follower's old connection may still be closing when its new one is accepted
)

// acceptConnections accepts and serves connections until ctx ends. It returns after all of them have ended.
func (p *Participant) acceptConnections(ctx context.Context) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	stop := context.AfterFunc(ctx, func() { p.options.Listener.Close() })
	defer stop()
	config := p.options.Keys.Server(siteCheck(p.options.Keys))
	maxConns := int64(connsPerFollower*p.options.MaxFollowers + extraConnections)
	var open atomic.Int64
	for {
		netConn, err := p.options.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			if err == nil {
				netConn.Close()
			}
			return
		}
		if err != nil {
			slog.Warn("accept failed", "component", component, "error", err)
			time.Sleep(acceptErrorPause)
			continue
		}
		if open.Load() >= maxConns { // more would use file descriptors that client connections need
			netConn.Close()
			continue
		}
		open.Add(1)
		goroutines.Go(func() {
			defer open.Add(-1)
			p.serveAccepted(ctx, netConn, config)
		})
	}
}

func (p *Participant) serveAccepted(ctx context.Context, netConn net.Conn, config *tls.Config) {
	defer netConn.Close()
	c, err := handshake(ctx, tls.Server(netConn, config), p.ownHello(), accepting)
	if err != nil {
		p.Counts.Refused.Add(1)
		slog.Debug("connection rejected", "component", component, "address", netConn.RemoteAddr(), "error", err)
		return
	}
	c.peer.Listen = reachableAddress(c.peer.Listen, netConn.RemoteAddr())
	p.serveConn(ctx, c)
}

// reachableAddress returns a broker's listen address, with the address that the broker connects from if the host is unspecified (0.0.0.0
// or ::).
func reachableAddress(listen string, from net.Addr) string {
	address, err := netip.ParseAddrPort(listen)
	tcp, ok := from.(*net.TCPAddr)
	if err != nil || !ok || !address.Addr().IsUnspecified() {
		return listen
	}
	return netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), address.Port()).String()
}

func (p *Participant) ownHello() helloFrame {
	hello := helloFrame{Protocol: wireProtocol, Role: roleFollower, Name: p.name, Listen: p.options.ListenAddr}
	if p.voterID != 0 {
		hello.Role = roleVoter
	}
	return hello
}

// serveConn serves a connection until it is closed or ctx ends.
func (p *Participant) serveConn(ctx context.Context, c *conn) {
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	if p.runInLoop(ctx, func() { p.addConn(c) }) {
		err := c.readLoop(func(kind byte, body []byte) bool {
			return p.runInLoop(ctx, func() { p.handleFrame(c, kind, body) })
		})
		c.close()
		p.runInLoop(ctx, func() { p.removeConn(c, err) })
	}
	c.close()
	writer.Wait()
}
