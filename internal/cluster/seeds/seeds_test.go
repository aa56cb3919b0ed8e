package seeds

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var testAddresses = []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:7946"), netip.MustParseAddrPort("[2001:db8::1]:7946")}

// After Run has ended, the file has the addresses that were enqueued last. Load returns none if there is no file.
func TestLatestAddressesAreSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	if all, err := Load(path); err != nil || len(all) > 0 {
		t.Errorf("%v, %v", all, err)
	}
	w := NewWriter(path)
	w.Enqueue(testAddresses[:1])
	w.Enqueue(testAddresses)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.Run(ctx)
	if all, err := Load(path); err != nil || !slices.Equal(all, testAddresses) {
		t.Errorf("%v, %v", all, err)
	}
	w.Enqueue(nil)
	w.Run(ctx)
	if all, err := Load(path); err != nil || len(all) > 0 {
		t.Errorf("%v, %v", all, err)
	}
	files, _ := os.ReadDir(filepath.Dir(path))
	if len(files) != 1 {
		t.Errorf("%d files are left, want 1", len(files))
	}
}

// For a malformed file, Load returns an error with the line and no addresses.
func TestMalformedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	for text, want := range map[string]string{"192.0.2.1:7946\nnoise\n": ":2: \"noise\"", "192.0.2.1:0\n": ":1:", "\x00\x01": ":1:", "a\n\nb\n": ":1:",
		strings.Repeat("192.0.2.1:7946\n", maxAddresses+1): "too many addresses", strings.Repeat("x", maxFileBytes+1): "at most"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var refused *FileError
		if all, err := Load(path); !errors.As(err, &refused) || refused.Remedy() == "" || len(all) > 0 || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.30q: %v, %v", text, all, err)
		}
	}
	os.Remove(path)
	w := NewWriter(filepath.Join(path, "no", "folder"))
	w.Enqueue(testAddresses) // the write fails, which is logged and not returned
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.Run(ctx); err != nil {
		t.Error(err)
	}
}
