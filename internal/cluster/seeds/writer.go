package seeds

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"flaxfront/internal/config/remedy"
)

const (
	tempPattern      = ".seeds-*"
	minWriteInterval = 5 * time.Second
)

// Writer writes the latest addresses passed to Enqueue to a file, at most once per minWriteInterval.
type Writer struct {
	path    string
	pending chan []netip.AddrPort // at most one list: the latest
}

// NewWriter returns a Writer for the file at path. Nothing is written until Run is called.
func NewWriter(path string) *Writer {
	return &Writer{path: path, pending: make(chan []netip.AddrPort, 1)}
}

// Enqueue passes the addresses to Run, replacing any not written yet, and never blocks. Addresses after the first maxAddresses are
// dropped. Only one goroutine may call Enqueue.
func (w *Writer) Enqueue(addresses []netip.AddrPort) {
	latest := slices.Clone(addresses[:min(len(addresses), maxAddresses)])
	select {
	case <-w.pending:
	default:
	}
	w.pending <- latest
}

// Run writes the addresses until ctx is done, and then those still pending. A failed write is logged and otherwise ignored.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case addresses := <-w.pending:
			w.write(addresses)
		case <-ctx.Done():
			w.writePending()
			return nil
		}
		select {
		case <-time.After(minWriteInterval):
		case <-ctx.Done():
		}
	}
}

func (w *Writer) writePending() {
	select {
	case addresses := <-w.pending:
		w.write(addresses)
	default:
	}
}

func (w *Writer) write(addresses []netip.AddrPort) {
	if err := replaceFile(w.path, addresses); err != nil {
		err = &FileError{File: w.path, Err: err}
		slog.Warn("seed addresses not saved", "component", "membership", "file", w.path, "error", err, "remedy", remedy.Of(err))
	}
}

// replaceFile writes the addresses to a new file and renames it over the old one.
func replaceFile(path string, addresses []netip.AddrPort) error {
	f, err := os.CreateTemp(filepath.Dir(path), tempPattern)
	if err != nil {
		return err
	}
	err = writeLines(f, addresses)
	if err == nil {
		err = f.Sync()
	}
	closeErr := f.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

func writeLines(f *os.File, addresses []netip.AddrPort) error {
	out := bufio.NewWriter(f)
	for _, address := range addresses {
		fmt.Fprintln(out, address)
	}
	return out.Flush()
}
