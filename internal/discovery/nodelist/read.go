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

// readSnapshot reads all entries of a snapshot. If it returns an error, the snapshot can't be used, but some entries may be in c.
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
		return fmt.Errorf("%w: not the %d entries that the header states", errDamaged, header.Entries)
	}
	return nil
}

// put sets all of the entries, or none if one is invalid.
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

// readJournal applies the changes since the snapshot, as far as the journal can be read. A frame is applied whole or not at all, so that
// the entries are always those of the broker at some moment.
func (c *Content) readJournal(disk filesystem.FS, path string) {
	err := c.applyJournal(disk, path)
	if errors.Is(err, io.EOF) || errors.Is(err, fs.ErrNotExist) {
		return
	}
	c.FileErrors = append(c.FileErrors, FileError{File: filepath.Base(path), Err: err, crashRemnant: errors.Is(err, errTorn)})
}

// applyJournal applies the frames of a journal and returns why it stopped: io.EOF at the end of a whole journal.
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
