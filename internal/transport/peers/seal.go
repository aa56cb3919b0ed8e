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
	sealMagic = 0xf5 // no message of the module begins so
	sealHead  = 3 + 8
	sealSize  = sealHead + macSize
	macSize   = 12

	mostSenders = 4096
	replayBits  = 64
)

// MaxSealed is what a datagram holds beside its seal.
const MaxSealed = mostBytes - sealSize

// Kinds of what is sealed.
const (
	OfModule byte = iota // what the decision module tells
	OfCrew               // members and duties
)

// seal signs with the first key and accepts all of them, so that keys can be changed one broker after the other.
type seal struct {
	keys    [][]byte
	counter uint64
	seen    map[netip.AddrPort]*window
}

// window tells which of a sender's counters have come.
type window struct {
	highest uint64
	bits    uint64
}

func newSeal(keys [][]byte, now time.Time) *seal {
	return &seal{keys: keys, counter: uint64(now.UnixNano()), seen: map[netip.AddrPort]*window{}}
}

// close seals a payload. Counters grow over restarts, as they begin at the time of the start.
func (s *seal) close(kind byte, payload []byte) []byte {
	s.counter++
	b := append(make([]byte, 0, sealSize+len(payload)), sealMagic, kind, s.keys[0][0])
	b = binary.BigEndian.AppendUint64(b, s.counter)
	b = append(b, mac(s.keys[0], b, payload)...)
	return append(b, payload...)
}

func mac(key, head, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(head)
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}

// open checks a datagram and returns what it holds. Danger: what somebody recorded comes again; it is known by its counter, up
// to 64 late, per sender. Who sends under more addresses than are remembered makes room by whoever was heard least far.
func (s *seal) open(from netip.AddrPort, b []byte) (kind byte, payload []byte, ok bool) {
	if len(b) < sealSize || b[0] != sealMagic {
		return 0, nil, false
	}
	head, sum, payload := b[:sealHead], b[sealHead:sealSize], b[sealSize:]
	for _, key := range s.keys {
		if key[0] == b[2] && subtle.ConstantTimeCompare(sum, mac(key, head, payload)) == 1 {
			return b[1], payload, s.fresh(from, binary.BigEndian.Uint64(b[3:]))
		}
	}
	return 0, nil, false
}

func (s *seal) fresh(from netip.AddrPort, counter uint64) bool {
	w := s.seen[from]
	switch {
	case w == nil:
		if len(s.seen) >= mostSenders {
			least := from
			for a, o := range s.seen {
				if least == from || o.highest < s.seen[least].highest {
					least = a
				}
			}
			delete(s.seen, least)
		}
		s.seen[from] = &window{counter, 1}
		return true
	case counter > w.highest:
		if by := counter - w.highest; by < replayBits {
			w.bits = w.bits<<by | 1
		} else {
			w.bits = 1
		}
		w.highest = counter
		return true
	case w.highest-counter >= replayBits || w.bits>>(w.highest-counter)&1 == 1:
		return false
	}
	w.bits |= 1 << (w.highest - counter)
	return true
}
