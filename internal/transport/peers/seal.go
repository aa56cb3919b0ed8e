package peers

// This file owns the seal on datagrams: who sent them, and that they are not sent a second time. It must never let one through
// whose seal does not hold, or tell why it does not.

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"
	"time"
)

const (
	magic      = 0xf5 // no message of the module begins so
	headerSize = 3 + 8
	overhead   = headerSize + macSize
	macSize    = 12

	maxSenders = 4096
	replayBits = 64
)

// MaxPayload is what a datagram holds beside its seal.
const MaxPayload = maxDatagram - overhead

// Kinds of what is sealed.
const (
	KindBroadcast  byte = iota // what the decision module tells
	KindMembership             // members and duties
)

// authenticator signs with the first key and accepts all of them, so that keys can be changed one broker after the other.
type authenticator struct {
	keys    [][]byte
	counter uint64
	senders map[netip.AddrPort]*replayWindow
}

// replayWindow tells which of a sender's counters have come.
type replayWindow struct {
	highest uint64
	seen    uint64
}

func newAuthenticator(keys [][]byte, now time.Time) *authenticator {
	return &authenticator{keys: keys, counter: uint64(now.UnixNano()), senders: map[netip.AddrPort]*replayWindow{}}
}

// close seals a payload. Counters grow over restarts, as they begin at the time of the start.
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

// open checks a datagram and returns what it holds. Danger: what somebody recorded comes again; it is known by its counter, up
// to 64 late, per sender. Who sends under more addresses than are remembered makes room by whoever was heard least far.
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
