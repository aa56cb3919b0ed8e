// Package seeds keeps the addresses of a tier's members on disk, so that a broker that starts again finds the others although its
// configured seeds are gone. It owns one small file, written whole and put in place at once. It must never make the loop wait, or let
// an address through that it could not read.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package seeds

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	most     = 1000
	maxBytes = 64 << 10
	atMost   = 5 * time.Second // one write in so long
)

// Load reads the addresses, one a line; there are none where there is no file. A file that can't be read whole is an error, and no
// address of it is used.
func Load(path string) ([]netip.AddrPort, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("seeds: %w", err)
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("seeds: %s: %d bytes, %d at most", path, info.Size(), maxBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("seeds: %w", err)
	}
	var all []netip.AddrPort
	for i, line := range bytes.Split(bytes.TrimSuffix(raw, []byte{'\n'}), []byte{'\n'}) {
		if len(line) == 0 && len(raw) <= 1 {
			break
		}
		at, err := netip.ParseAddrPort(string(line))
		if err != nil || at.Port() == 0 || len(all) == most {
			return nil, fmt.Errorf("seeds: %s:%d: %.60q is no ADDRESS:PORT, or one too many", path, i+1, line)
		}
		all = append(all, at)
	}
	return all, nil
}

// save writes the addresses beside the file and puts that in its place.
func save(path string, all []netip.AddrPort) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".seeds-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	for _, at := range all {
		if _, err = fmt.Fprintln(f, at); err != nil {
			f.Close()
			return err
		}
	}
	if err = errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Writer writes what it is given, the latest in place of what was not written yet.
type Writer struct {
	path string
	next chan []netip.AddrPort
}

// NewWriter makes one; nothing is written until Run.
func NewWriter(path string) *Writer { return &Writer{path, make(chan []netip.AddrPort, 1)} }

// Enqueue hands over the addresses and never waits. Only one goroutine may call it.
func (k *Writer) Enqueue(all []netip.AddrPort) {
	all = slices.Clone(all[:min(len(all), most)])
	select {
	case <-k.next: // an older one
	default:
	}
	k.next <- all
}

// Run writes until ctx ends, and then what is left.
func (k *Writer) Run(ctx context.Context) error {
	for {
		select {
		case all := <-k.next:
			k.write(all)
		case <-ctx.Done():
			select {
			case all := <-k.next:
				k.write(all)
			default:
			}
			return nil
		}
		select {
		case <-time.After(atMost):
		case <-ctx.Done():
		}
	}
}

func (k *Writer) write(all []netip.AddrPort) {
	if err := save(k.path, all); err != nil { // the tier goes on without
		slog.Warn("the members' addresses were not kept", "file", k.path, "error", err)
	}
}
