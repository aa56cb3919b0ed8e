package peers

import (
	"bytes"
	"net/netip"
	"testing"
	"time"
)

var testSender = netip.MustParseAddrPort("127.0.0.1:9")

// A datagram is accepted once, under either key while keys are replaced. A modified, too old or repeated one is rejected.
func TestAuthenticator(t *testing.T) {
	old, fresh := bytes.Repeat([]byte{1}, 16), bytes.Repeat([]byte{2}, 16)
	start := time.Unix(1_700_000_000, 0)
	a := newAuthenticator([][]byte{old}, start)
	b := newAuthenticator([][]byte{fresh, old}, start)
	var sent [][]byte
	for i := range 200 {
		sent = append(sent, a.close(KindMembership, []byte{byte(i)}))
	}
	order := []int{0, 2, 1, 70, 69, 30}
	for _, i := range order {
		kind, payload, ok := b.open(testSender, sent[i])
		if !ok || kind != KindMembership || payload[0] != byte(i) || len(sent[i]) > maxDatagram {
			t.Errorf("datagram %d: accepted: %v, or with wrong content", i, ok)
		}
		if _, _, again := b.open(testSender, sent[i]); again {
			t.Errorf("datagram %d was accepted twice", i)
		}
	}
	if _, _, ok := b.open(testSender, sent[3]); ok {
		t.Error("a datagram 67 behind the highest counter was accepted")
	}
	if _, _, ok := a.open(testSender, b.close(KindMembership, nil)); ok {
		t.Error("a datagram signed with an unknown key was accepted")
	}
	for at := range sent[150] {
		bad := bytes.Clone(sent[150])
		bad[at] ^= 4
		if _, _, ok := b.open(testSender, bad); ok {
			t.Errorf("a datagram whose byte %d was modified was accepted", at)
		}
	}
	later := newAuthenticator([][]byte{old}, start.Add(time.Minute)) // the broker has restarted
	if _, _, ok := b.open(testSender, later.close(KindGossip, []byte("s"))); !ok {
		t.Error("a datagram of a restarted broker was rejected")
	}
}

// TestRememberedSendersAreBounded: at most maxSenders are remembered.
func TestRememberedSendersAreBounded(t *testing.T) {
	s := newAuthenticator([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
	for i := range maxSenders + 100 {
		s.accept(netip.AddrPortFrom(testSender.Addr(), uint16(i+1)), uint64(i))
	}
	if len(s.senders) > maxSenders {
		t.Errorf("%d senders remembered", len(s.senders))
	}
}

func FuzzOpen(f *testing.F) {
	s := newAuthenticator([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
	f.Add(s.close(KindMembership, []byte("hello")))
	f.Add([]byte{magic})
	f.Fuzz(func(t *testing.T, b []byte) {
		o := newAuthenticator([][]byte{bytes.Repeat([]byte{1}, 16)}, time.Unix(1, 0))
		if _, payload, ok := o.open(testSender, b); ok && len(payload) > len(b)-overhead {
			t.Errorf("payload of %d bytes from a datagram of %d", len(payload), len(b))
		}
	})
}
