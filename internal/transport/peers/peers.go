// Package peers carries the module's messages between brokers, as UDP datagrams. It owns the one socket and knows
// which address is which broker. It must never read a message, keep one, or hand on what came from a stranger.
//
// Depends on no package of this module. Concurrency: it starts no goroutine; what several goroutines may
// use is behind a lock or an atomic value.
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
	maxDatagram = 256
	maxQueued   = 64 // messages that wait to be sent; more are dropped, as the network may drop any
)

// Counts tell what went in and out; they may be read from any goroutine.
type Counts struct{ Sent, Delivered, UnknownSenders, TooLong, Dropped, AuthFailed atomic.Uint64 }

// Socket is the socket between brokers.
type Socket struct {
	Counts          Counts
	conn            *net.UDPConn
	peers           []netip.AddrPort
	broadcastAddr   netip.AddrPort
	queue           chan datagram
	handleBroadcast func(from int, text []byte)
	handleMember    func(from netip.AddrPort, data []byte) // nil: there is no crew
	authenticator   *authenticator                         // nil: nothing is sealed
}

type datagram struct {
	to   netip.AddrPort
	kind byte
	data []byte
}

// Listen opens the socket.
func Listen(addr netip.AddrPort, peers []netip.AddrPort, broadcastAddr netip.AddrPort, handleBroadcast func(int, []byte)) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, peers: peers, broadcastAddr: broadcastAddr, handleBroadcast: handleBroadcast, queue: make(chan datagram, maxQueued)}, nil
}

// Crew has what members say handed on, and everything sealed where there are keys. It comes before Send and Hear.
func (l *Socket) Crew(handleMember func(from netip.AddrPort, data []byte), keys [][]byte) {
	l.handleMember = handleMember
	if len(keys) > 0 {
		l.authenticator = newAuthenticator(keys, time.Now())
	}
}

// Broadcast sends a message to all other brokers; it may be lost.
func (l *Socket) Broadcast(text string) {
	l.enqueue(datagram{l.broadcastAddr, KindBroadcast, []byte(text)})
}

// SendTo sends what members say to one broker; it may be lost.
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

// Send writes what is told until ctx ends, then closes the socket.
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

// Flush writes what waits, as the broker stops.
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

// Receive hands on what peers say until the socket is closed.
func (l *Socket) Receive(context.Context) error {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // such as a peer's port that is closed; one that stays must not take the core
			time.Sleep(time.Millisecond)
			continue
		}
		l.dispatch(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// dispatch hands on one datagram. Whom a seal vouches for need not be among the peers of the configuration.
func (l *Socket) dispatch(from netip.AddrPort, b []byte) {
	i, kind := slices.Index(l.peers, from), KindBroadcast
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
	} else if kind == KindBroadcast && i >= 0 {
		l.handleBroadcast(i, slices.Clone(b))
	}
}

// Addr is where the socket listens.
func (l *Socket) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
