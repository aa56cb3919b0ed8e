// Package peers carries gossip and membership messages between brokers, as UDP datagrams. It holds the socket and the brokers' addresses. It
// must never interpret or keep a message, or deliver one from an unknown sender.
//
// Depends on no package of this module. Concurrency: it starts no goroutine; what several goroutines use is a channel, an atomic value, or
// safe for concurrent use itself.
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
	maxDatagram = 256 // bytes, with the authentication header
	maxQueued   = 64  // messages that wait to be sent; more are dropped, as the network may drop any message
)

// Counts count datagrams; they may be read from any goroutine.
type Counts struct{ Sent, Delivered, UnknownSenders, TooLong, Dropped, AuthFailed atomic.Uint64 }

// Socket is the UDP socket between brokers.
type Socket struct {
	Counts        Counts
	conn          *net.UDPConn
	peers         []netip.AddrPort
	broadcastAddr netip.AddrPort
	queue         chan datagram
	handleGossip  func(from int, text []byte)
	handleMember  func(from netip.AddrPort, data []byte) // nil: no membership
	authenticator *authenticator                         // nil: datagrams are not authenticated
}

type datagram struct {
	to   netip.AddrPort
	kind byte
	data []byte
}

// Listen opens the socket. Gossip is sent to broadcastAddr. handleGossip is called with each gossip message of a peer and its index in peers.
func Listen(addr netip.AddrPort, peers []netip.AddrPort, broadcastAddr netip.AddrPort, handleGossip func(int, []byte)) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, peers: peers, broadcastAddr: broadcastAddr, handleGossip: handleGossip, queue: make(chan datagram, maxQueued)}, nil
}

// Crew enables membership messages, which handleMember is called with, and authentication if there are keys. It must be called before Send
// and Receive.
func (l *Socket) Crew(handleMember func(from netip.AddrPort, data []byte), keys [][]byte) {
	l.handleMember = handleMember
	if len(keys) > 0 {
		l.authenticator = newAuthenticator(keys, time.Now())
	}
}

// Broadcast queues a gossip message to all other brokers. It may be lost.
func (l *Socket) Broadcast(text string) {
	l.enqueue(datagram{l.broadcastAddr, KindGossip, []byte(text)})
}

// SendTo queues a membership message to one broker. It may be lost.
func (l *Socket) SendTo(to netip.AddrPort, data []byte) {
	l.enqueue(datagram{to, KindMembership, data})
}

func (l *Socket) enqueue(d datagram) {
	limit := maxDatagram
	if l.authenticator != nil {
		limit = MaxPayload
	} else if d.kind == KindMembership {
		limit = maxDatagram - 1
	}
	if len(d.data) > limit {
		l.Counts.TooLong.Add(1)
		return
	}
	select {
	case l.queue <- d:
	default:
		l.Counts.Dropped.Add(1)
	}
}

// Send writes the queued messages until ctx ends, and then closes the socket.
func (l *Socket) Send(ctx context.Context) error {
	defer l.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-l.queue:
			l.write(d)
		}
	}
}

// Flush writes the messages still queued, when the broker stops.
func (l *Socket) Flush() {
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		default:
			return
		}
	}
}

func (l *Socket) write(d datagram) {
	b := d.data
	if l.authenticator != nil {
		b = l.authenticator.close(d.kind, b)
	} else if d.kind == KindMembership {
		b = append([]byte{magic}, b...)
	}
	if _, err := l.conn.WriteToUDPAddrPort(b, d.to); err != nil {
		l.Counts.Dropped.Add(1)
	} else {
		l.Counts.Sent.Add(1)
	}
}

// Receive delivers the messages of other brokers until the socket is closed.
func (l *Socket) Receive(context.Context) error {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as a closed port of a peer; an error that persists must not use up a core
			time.Sleep(time.Millisecond)
			continue
		}
		l.dispatch(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// dispatch delivers a datagram. An authenticated sender of membership messages need not be among the configured peers.
func (l *Socket) dispatch(from netip.AddrPort, b []byte) {
	i, kind := slices.Index(l.peers, from), KindGossip
	switch {
	case len(b) > maxDatagram:
		l.Counts.TooLong.Add(1)
		return
	case l.authenticator != nil:
		var ok bool
		if kind, b, ok = l.authenticator.open(from, b); !ok {
			l.Counts.AuthFailed.Add(1)
			return
		}
	case i < 0:
		l.Counts.UnknownSenders.Add(1)
		return
	case l.handleMember != nil && len(b) > 0 && b[0] == magic:
		kind, b = KindMembership, b[1:]
	}
	l.Counts.Delivered.Add(1)
	if kind == KindMembership && l.handleMember != nil {
		l.handleMember(from, slices.Clone(b))
	} else if kind == KindGossip && i >= 0 {
		l.handleGossip(i, slices.Clone(b))
	}
}

// Addr returns the address on which the socket listens.
func (l *Socket) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
