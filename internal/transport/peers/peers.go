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
	mostBytes = 256
	mostQueue = 64 // messages that wait to be sent; more are dropped, as the network may drop any
)

// Counts tell what went in and out; they may be read from any goroutine.
type Counts struct{ Sent, Heard, Strangers, TooLong, Dropped, Unsealed atomic.Uint64 }

// Link is the socket between brokers.
type Link struct {
	Counts Counts
	conn   *net.UDPConn
	peers  []netip.AddrPort
	all    netip.AddrPort
	queue  chan datagram
	hear   func(from int, text []byte)
	meet   func(from netip.AddrPort, data []byte) // nil: there is no crew
	seal   *seal                                  // nil: nothing is sealed
}

type datagram struct {
	to   netip.AddrPort
	kind byte
	data []byte
}

// Listen opens the socket.
func Listen(at netip.AddrPort, peers []netip.AddrPort, all netip.AddrPort, hear func(int, []byte)) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn, peers: peers, all: all, hear: hear, queue: make(chan datagram, mostQueue)}, nil
}

// Crew has what members say handed on, and everything sealed where there are keys. It comes before Send and Hear.
func (l *Link) Crew(meet func(from netip.AddrPort, data []byte), keys [][]byte) {
	l.meet = meet
	if len(keys) > 0 {
		l.seal = newSeal(keys, time.Now())
	}
}

// Tell sends a message to all other brokers; it may be lost.
func (l *Link) Tell(text string) { l.put(datagram{l.all, OfModule, []byte(text)}) }

// Meet sends what members say to one broker; it may be lost.
func (l *Link) Meet(to netip.AddrPort, data []byte) { l.put(datagram{to, OfCrew, data}) }

func (l *Link) put(d datagram) {
	most := mostBytes
	if l.seal != nil {
		most = MaxSealed
	} else if d.kind == OfCrew {
		most = mostBytes - 1
	}
	if len(d.data) > most {
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
func (l *Link) Send(ctx context.Context) error {
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
func (l *Link) Flush() {
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		default:
			return
		}
	}
}

func (l *Link) write(d datagram) {
	b := d.data
	if l.seal != nil {
		b = l.seal.close(d.kind, b)
	} else if d.kind == OfCrew {
		b = append([]byte{sealMagic}, b...)
	}
	if _, err := l.conn.WriteToUDPAddrPort(b, d.to); err != nil {
		l.Counts.Dropped.Add(1)
	} else {
		l.Counts.Sent.Add(1)
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
		l.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// take hands on one datagram. Whom a seal vouches for need not be among the peers of the configuration.
func (l *Link) take(from netip.AddrPort, b []byte) {
	i, kind := slices.Index(l.peers, from), OfModule
	switch {
	case len(b) > mostBytes:
		l.Counts.TooLong.Add(1)
		return
	case l.seal != nil:
		var ok bool
		if kind, b, ok = l.seal.open(from, b); !ok {
			l.Counts.Unsealed.Add(1)
			return
		}
	case i < 0:
		l.Counts.Strangers.Add(1)
		return
	case l.meet != nil && len(b) > 0 && b[0] == sealMagic:
		kind, b = OfCrew, b[1:]
	}
	l.Counts.Heard.Add(1)
	if kind == OfCrew && l.meet != nil {
		l.meet(from, slices.Clone(b))
	} else if kind == OfModule && i >= 0 {
		l.hear(i, slices.Clone(b))
	}
}

// Addr is where the socket listens.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
