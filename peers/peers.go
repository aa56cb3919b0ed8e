// Package peers carries the module's messages between brokers, as UDP datagrams. It owns the one socket and knows
// which address is which broker. It must never read a message, keep one, or hand on what came from a stranger.
package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

const (
	mostBytes = 256
	mostQueue = 64 // messages that wait to be sent; more are dropped, as the network may drop any
)

// Counts tell what went in and out; they may be read from any goroutine.
type Counts struct{ Sent, Heard, Strangers, TooLong, Dropped atomic.Uint64 }

// Link is the socket between brokers.
type Link struct {
	Counts Counts
	conn   *net.UDPConn
	peers  []netip.AddrPort
	all    netip.AddrPort
	queue  chan string
	hear   func(from int, text []byte)
}

// Listen opens the socket.
func Listen(at netip.AddrPort, peers []netip.AddrPort, all netip.AddrPort, hear func(int, []byte)) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn, peers: peers, all: all, hear: hear, queue: make(chan string, mostQueue)}, nil
}

// Tell sends a message to all other brokers; it may be lost.
func (l *Link) Tell(text string) {
	if len(text) > mostBytes {
		l.Counts.TooLong.Add(1)
		return
	}
	select {
	case l.queue <- text:
	default:
		l.Counts.Dropped.Add(1)
	}
}

// Send writes what is told until ctx ends, then closes the socket.
func (l *Link) Send(ctx context.Context) error {
	defer l.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case text := <-l.queue:
			if _, err := l.conn.WriteToUDPAddrPort([]byte(text), l.all); err != nil {
				l.Counts.Dropped.Add(1)
			} else {
				l.Counts.Sent.Add(1)
			}
		}
	}
}

// Hear hands on what peers say until the socket is closed.
func (l *Link) Hear(context.Context) error {
	buf := make([]byte, mostBytes+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as a peer's port that is closed; one that stays must not take the core
			time.Sleep(time.Millisecond)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		switch i := slices.Index(l.peers, from); {
		case n > mostBytes:
			l.Counts.TooLong.Add(1)
		case i < 0:
			l.Counts.Strangers.Add(1)
		default:
			l.Counts.Heard.Add(1)
			l.hear(i, slices.Clone(buf[:n]))
		}
	}
}

// Addr is where the socket listens.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
