package seeds

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// testdata/recorded/seeds was written by commit 1a4b6be.
func TestRecordedFile(t *testing.T) {
	want := []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:7946"), netip.MustParseAddrPort("[2001:db8::1]:7946"),
		netip.MustParseAddrPort("[fe80::1%eth0]:1")}
	recorded := filepath.Join("testdata", "recorded", "seeds")
	if all, err := Load(recorded); err != nil || !slices.Equal(all, want) {
		t.Errorf("read %v, error %v, want %v", all, err, want)
	}
	path := filepath.Join(t.TempDir(), "seeds")
	w := NewWriter(path)
	w.Enqueue(want)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if written, err := os.ReadFile(path); err != nil || !bytes.Equal(written, old) {
		t.Errorf("wrote %q, error %v, want %q", written, err, old)
	}
}
