// Package nodelist keeps the node list on disk. It owns the files of one directory: a snapshot, a journal of what changed
// since, and those of the generation before. It must never decide what an entry is worth, make the loop or a search wait,
// trust a file that it could not check, or stop a broker from serving: whatever is wrong with the disk is said in one log
// line and tried again later.
//
//	list-00000007.snap   all entries, written whole, renamed into place
//	list-00000007.log    what changed since, frame by frame
//	*.damaged, *.other-deployment, *.later-version   files set aside, the four newest
//	lock                 held by the one process that writes
//	asks/                what `flaxfront nodes` asks of a broker that runs
//
// Depends on decision/cachedlist. Concurrency: it starts no goroutine; what several goroutines may use is behind
// a lock or an atomic value.
package nodelist

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"flaxfront/internal/decision/cachedlist"
)

const (
	keepAside = 4 // files
	stem      = "list-"
)

func snapName(gen uint64) string { return fmt.Sprintf("%s%08d.snap", stem, gen) }
func logName(gen uint64) string  { return fmt.Sprintf("%s%08d.log", stem, gen) }

// Content is what a directory holds.
type Content struct {
	Head    cachedlist.Head
	Entries map[string]cachedlist.Entry
	Found   bool // a list was there and could be read
	Faults  []Fault

	gen uint64 // the highest one of any file
}

// Fault is a file that could not be read whole.
type Fault struct {
	File string
	Err  error
	torn bool // as a crash leaves it; nothing of it is lost that was ever there whole
}

// Unsorted are the entries in no order.
func (c *Content) Unsorted() []cachedlist.Entry { return slices.Collect(maps.Values(c.Entries)) }

// SortedByName lists the entries by name.
func (c *Content) SortedByName() []cachedlist.Entry {
	return slices.SortedFunc(maps.Values(c.Entries), func(x, y cachedlist.Entry) int { return cmp.Compare(x.Name, y.Name) })
}

// Read reads a directory and changes nothing in it; a broker may write there meanwhile. deployment "" takes a list of any.
func Read(disk FS, dir, deployment string) (*Content, error) {
	c := &Content{Entries: map[string]cachedlist.Entry{}}
	names, err := disk.ReadDir(dir)
	if err != nil {
		return c, err
	}
	gens := generations(names)
	for _, gen := range slices.Backward(gens) {
		c.gen = max(c.gen, gen)
		if !slices.Contains(names, snapName(gen)) {
			continue
		}
		err := c.snapshot(disk, filepath.Join(dir, snapName(gen)), deployment)
		if err == nil {
			c.journal(disk, filepath.Join(dir, logName(gen)))
			c.Found = true
			return c, nil
		}
		c.Faults = append(c.Faults, Fault{File: snapName(gen), Err: err})
		clear(c.Entries)
		c.Head = cachedlist.Head{}
	}
	return c, nil
}

// generations lists those of which there is any file, in their order.
func generations(names []string) (gens []uint64) {
	for _, name := range names {
		var gen uint64
		var kind string
		if n, _ := fmt.Sscanf(name, stem+"%08d.%s", &gen, &kind); n == 2 && (kind == "snap" || kind == "log") {
			gens = append(gens, gen)
		}
	}
	slices.Sort(gens)
	return slices.Compact(gens)
}

func (c *Content) snapshot(disk FS, path, deployment string) error {
	f, err := disk.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	r := &reader{in: bufio.NewReaderSize(f, 64<<10)}
	o, err := r.open(deployment)
	if err != nil {
		return err
	}
	c.Head = cachedlist.Head(o.Head)
	c.Head.Deployment = o.Deployment
	for len(c.Entries) < o.Entries {
		var put []diskEntry
		if err := r.next(&put); errors.Is(err, io.EOF) {
			return errTorn
		} else if err != nil {
			return err
		}
		if len(put) == 0 {
			return errDamaged
		}
		if err := c.put(put); err != nil {
			return err
		}
	}
	if err := r.next(new([]diskEntry)); !errors.Is(err, io.EOF) || len(c.Entries) != o.Entries {
		return fmt.Errorf("%w: more than the %d entries that it names", errDamaged, o.Entries)
	}
	return nil
}

func (c *Content) put(entries []diskEntry) error {
	for i := range entries {
		if err := entries[i].check(); err != nil {
			return err
		}
	}
	for i := range entries {
		c.Entries[entries[i].Name] = cachedlist.Entry(entries[i])
	}
	return nil
}

// journal applies what changed since the snapshot, as far as it can be read. Each frame is whole or nothing, so that
// what stands is always what the broker held at some moment.
func (c *Content) journal(disk FS, path string) {
	err := func() error {
		f, err := disk.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		r := &reader{in: bufio.NewReaderSize(f, 64<<10)}
		if _, err := r.open(c.Head.Deployment); err != nil {
			return err
		}
		for {
			var ch change
			if err := r.next(&ch); err != nil {
				return err
			}
			if err := c.put(ch.Put); err != nil {
				return err
			}
			for _, name := range ch.Removed {
				delete(c.Entries, name)
			}
			deployment := c.Head.Deployment
			c.Head = cachedlist.Head(ch.Head)
			c.Head.Deployment = deployment
		}
	}()
	if !errors.Is(err, io.EOF) && !errors.Is(err, fs.ErrNotExist) {
		c.Faults = append(c.Faults, Fault{filepath.Base(path), err, errors.Is(err, errTorn)})
	}
}

// setAside renames what could not be read, so that it is neither trusted nor lost, and keeps the newest few of such.
func setAside(disk FS, dir string, faults []Fault) (lines []string) {
	for _, f := range faults {
		suffix := ".damaged"
		switch {
		case f.torn:
			continue // the next snapshot takes its place
		case errors.Is(f.Err, errOther):
			suffix = ".other-deployment"
		case errors.Is(f.Err, errVersion):
			suffix = ".later-version"
		case !errors.Is(f.Err, errDamaged) && !errors.Is(f.Err, errTorn):
			lines = append(lines, fmt.Sprintf("%s could not be read: %v", f.File, f.Err))
			continue
		}
		line := fmt.Sprintf("%s is set aside as %s: %v", f.File, f.File+suffix, f.Err)
		if err := disk.Rename(filepath.Join(dir, f.File), filepath.Join(dir, f.File+suffix)); err != nil {
			line = fmt.Sprintf("%s is not used: %v; it could not be set aside: %v", f.File, f.Err, err)
		}
		lines = append(lines, line)
	}
	names, _ := disk.ReadDir(dir)
	names = slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, stem) || !strings.Contains(name, ".snap.") && !strings.Contains(name, ".log.")
	})
	slices.Sort(names)
	for len(names) > keepAside {
		disk.Remove(filepath.Join(dir, names[0]))
		names = names[1:]
	}
	return lines
}
