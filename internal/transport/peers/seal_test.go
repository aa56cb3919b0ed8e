package peers

import (
	"bytes"
	"net/netip"
	"testing"
	"time"
)

var from = netip.MustParseAddrPort("127.0.0.1:9")

// What is sealed opens once, under either key while they change; what was changed, is old, or comes again does not.
func TestSeal(t *testing.T) {
	old, fresh := bytes.Repeat([]byte{1}, 16), bytes.Repeat([]byte{2}, 16)
	start := time.Unix(1_700_000_000, 0)
	a := newSeal([][]byte{old}, start)
	b := newSeal([][]byte{fresh, old}, start)
	var sent [][]byte
	for i := range 200 {
		sent = append(sent, a.close(OfCrew, []byte{byte(i)}))
	}
	order := []int{0, 2, 1, 70, 69, 30}
	for _, i := range order {
		kind, payload, ok := b.open(from, sent[i])
		if !ok || kind != OfCrew || payload[0] != byte(i) || len(sent[i]) > mostBytes {
			t.Errorf("datagram %d: %v", i, ok)
		}
		if _, _, again := b.open(from, sent[i]); again {
			t.Errorf("datagram %d was taken twice", i)
		}
	}
	if _, _, ok := b.open(from, sent[3]); ok {
		t.Error("one that is 67 late was taken")
	}
	if _, _, ok := a.open(from, b.close(OfCrew, nil)); ok {
		t.Error("a key that is not known was accepted")
	}
	for at := range sent[150] {
		bad := bytes.Clone(sent[150])
		bad[at] ^= 4
		if _, _, ok := b.open(from, bad); ok {
			t.Errorf("byte %d was changed and nobody saw it", at)
		}
	}
	later := newSeal([][]byte{old}, start.Add(time.Minute)) // the broker has restarted
	if _, _, ok := b.open(from, later.close(OfModule, []byte("s"))); !ok {
		t.Error("a broker that restarted is not heard")
	}
}

// What is remembered of senders is bounded.
func TestSealForgets(t *testing.T) {
	s := newSeal([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
	for i := range mostSenders + 100 {
		s.fresh(netip.AddrPortFrom(from.Addr(), uint16(i+1)), uint64(i))
	}
	if len(s.seen) > mostSenders {
		t.Errorf("%d senders remembered", len(s.seen))
	}
}

func FuzzOpen(f *testing.F) {
	s := newSeal([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
	f.Add(s.close(OfCrew, []byte("hello")))
	f.Add([]byte{sealMagic})
	f.Fuzz(func(t *testing.T, b []byte) {
		o := newSeal([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
		if _, payload, ok := o.open(from, b); ok && len(payload) > len(b)-sealSize {
			t.Errorf("%d bytes out of %d", len(payload), len(b))
		}
	})
}
