package nodelist

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"flaxfront/internal/filesystem"
)

const readBufferBytes = 64 << 10

// readSnapshot reads all entries of a snapshot, or returns why it can't be used; then some entries may have been read.
func (c *Content) readSnapshot(fs filesystem.FS, path, deployment string) error {
	f, err := fs.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r := &reader{in: bufio.NewReaderSize(f, readBufferBytes)}
	header, err := r.header(deployment)
	if err != nil {
		return err
	}
	c.Head = header.Head.decode(header.Deployment)
	for len(c.Entries) < header.Entries {
		var batch []storedEntry
		if err := r.readRequiredFrame(&batch); err != nil {
			return err
		}
		if len(batch) == 0 {
			return errDamaged
		}
		if err := c.put(batch); err != nil {
			return err
		}
	}
	err = r.readFrame(new([]storedEntry))
	if !errors.Is(err, io.EOF) || len(c.Entries) != header.Entries {
		return fmt.Errorf("%w: more than the %d entries that it names", errDamaged, header.Entries)
	}
	return nil
}

// put takes entries over, all or none.
func (c *Content) put(entries []storedEntry) error {
	for i := range entries {
		if err := entries[i].validate(); err != nil {
			return err
		}
	}
	for i := range entries {
		c.Entries[entries[i].Name] = entries[i].decode()
	}
	return nil
}

// readJournal applies what changed since the snapshot, as far as it can be read. A frame is applied whole or not at all, so that the
// entries are always what the broker held at some moment.
func (c *Content) readJournal(disk filesystem.FS, path string) {
	err := c.applyJournal(disk, path)
	if errors.Is(err, io.EOF) || errors.Is(err, fs.ErrNotExist) {
		return
	}
	c.FileErrors = append(c.FileErrors, FileError{File: filepath.Base(path), Err: err, crashRemnant: errors.Is(err, errTorn)})
}

// applyJournal returns why it stopped: io.EOF at the end of a whole journal.
func (c *Content) applyJournal(disk filesystem.FS, path string) error {
	f, err := disk.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r := &reader{in: bufio.NewReaderSize(f, readBufferBytes)}
	if _, err := r.header(c.Head.Deployment); err != nil {
		return err
	}
	for {
		var change storedChange
		if err := r.readFrame(&change); err != nil {
			return err
		}
		if err := c.put(change.Put); err != nil {
			return err
		}
		for _, name := range change.Removed {
			delete(c.Entries, name)
		}
		c.Head = change.Head.decode(c.Head.Deployment)
	}
}
