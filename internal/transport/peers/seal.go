package peers

// This file authenticates datagrams: a header proves that a broker sent the datagram, and that it is not a replay. A datagram with an invalid
// header must never be delivered, and the sender must not learn why.

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"time"
)

const (
	magic      = 0xf5  // first byte of authenticated and of membership datagrams; no gossip message begins with it
	headerSize = 3 + 8 // magic, kind, first byte of the key, counter
	overhead   = headerSize + macSize
	macSize    = 12

	maxSenders = 4096 // whose counters are remembered
	replayBits = 64   // counters per sender that are remembered, up to the highest
)

// MaxPayload is the largest payload, in bytes, of an authenticated datagram.
const MaxPayload = maxDatagram - overhead

// Kinds of messages.
const (
	KindGossip     byte = iota // of the routers, to all other brokers
	KindMembership             // of the members, to one broker
)

// authenticator signs with the first key and accepts all keys, so that keys can be replaced on one broker after another.
type authenticator struct {
	keys    [][]byte
	counter uint64
	senders map[netip.AddrPort]*replayWindow
}

// replayWindow holds which of a sender's latest counters have been received.
type replayWindow struct {
	highest uint64
	seen    uint64 // bit i: highest-i has been received
}

func newAuthenticator(keys [][]byte, now time.Time) *authenticator {
	return &authenticator{keys: keys, counter: uint64(now.UnixNano()), senders: map[netip.AddrPort]*replayWindow{}}
}

// close returns the datagram with the authentication header and a payload. Counters start at the time of the process's start, so that they
// also increase over restarts.
func (s *authenticator) close(kind byte, payload []byte) []byte {
	s.counter++
	b := append(make([]byte, 0, overhead+len(payload)), magic, kind, s.keys[0][0])
	b = binary.BigEndian.AppendUint64(b, s.counter)
	b = append(b, mac(s.keys[0], b, payload)...)
	return append(b, payload...)
}

func mac(key, header, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(header)
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}

// open verifies a datagram and returns its kind and payload. It rejects a replay of a recorded datagram by the counter, which may be up to
// 63 behind the sender's highest. Beyond maxSenders, the sender with the lowest counter is forgotten.
func (s *authenticator) open(from netip.AddrPort, b []byte) (kind byte, payload []byte, ok bool) {
	if len(b) < overhead || b[0] != magic {
		return 0, nil, false
	}
	header, sum, payload := b[:headerSize], b[headerSize:overhead], b[overhead:]
	for _, key := range s.keys {
		if key[0] == b[2] && subtle.ConstantTimeCompare(sum, mac(key, header, payload)) == 1 {
			return b[1], payload, s.accept(from, binary.BigEndian.Uint64(b[3:]))
		}
	}
	return 0, nil, false
}

func (s *authenticator) accept(from netip.AddrPort, counter uint64) bool {
	w := s.senders[from]
	switch {
	case w == nil:
		if len(s.senders) >= maxSenders {
			lowest := from
			for a, o := range s.senders {
				if lowest == from || o.highest < s.senders[lowest].highest {
					lowest = a
				}
			}
			delete(s.senders, lowest)
		}
		s.senders[from] = &replayWindow{counter, 1}
		return true
	case counter > w.highest:
		if shift := counter - w.highest; shift < replayBits {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.highest = counter
		return true
	case w.highest-counter >= replayBits || w.seen>>(w.highest-counter)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.highest - counter)
	return true
}
