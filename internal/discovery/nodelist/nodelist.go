// Package nodelist stores the endpoint list on disk (the cached list), so that a broker can start while discovery is down. Package
// cachedlist decides how far an entry is trusted.
//
// # Files
//
// A directory belongs to one broker of one deployment:
//
//	list-00000007.snap   generation 7: a header, then all entries sorted by name
//	list-00000007.log    its journal: a header, then one frame for each write
//	list-00000006.*      the previous generation, kept until the next one begins
//	list.new             the next snapshot while it is being written
//	lock                 locked (flock) by the process that writes
//	asks/NUMBER.ask      requests of `flaxfront nodes import` and `forget` to the running broker
//	*.damaged, *.other-deployment, *.later-version   files that were set aside, the four newest
//
// Each file is a line of text followed by frames, each with a length and a checksum:
//
//	+------------------------+--------+-------+-------+ -
//	| "flaxfront node list"  | header | frame | frame | ...
//	+------------------------+--------+-------+-------+ -
//
//	when                                        what is written
//	first write of a process, or after a fault  a new generation: list.new, fsync, rename, the journal, fsync of the directory
//	journal longer than its limit               a new generation
//	any other write                             one frame at the end of the journal, then fsync
//
// # After a crash
//
// After a crash the directory holds the state of the last successful write or of the write that was in progress. Read uses the newest
// snapshot that is whole and of this deployment, and applies its journal up to the first frame that can't be read. A journal that ends
// within a frame is the normal result of a crash; any other file that can't be read is renamed (set aside) with a suffix that says why,
// and logged.
//
// Open is called at the start of a broker whose settings name a directory, and by the commands that change the list; `flaxfront nodes
// show`, `verify` and `export` only read. A fault of the disk never stops a broker: it is logged once, and the operation is retried later.
//
// Store.Enqueue, Counters and Read may be used from any goroutine; the rest of a Store belongs to the goroutine that calls Run.
package nodelist

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"flaxfront/internal/decision/cachedlist"
	"flaxfront/internal/filesystem"
)

const (
	lockName     = "lock"
	tempSnapshot = "list.new"

	namePrefix    = "list-"
	snapshotKind  = "snap"
	journalKind   = "log"
	nameFormat    = namePrefix + "%08d.%s" // generation and kind
	nameParts     = 2
	snapshotAside = "." + snapshotKind + "." // in the name of a snapshot that was set aside, before the reason
	journalAside  = "." + journalKind + "."
)

func snapshotName(generation uint64) string { return fmt.Sprintf(nameFormat, generation, snapshotKind) }
func journalName(generation uint64) string  { return fmt.Sprintf(nameFormat, generation, journalKind) }

// generationsOf returns the generations of which there is a snapshot or a journal, oldest first.
func generationsOf(names []string) (generations []uint64) {
	for _, name := range names {
		var generation uint64
		var kind string
		n, _ := fmt.Sscanf(name, nameFormat, &generation, &kind)
		if n == nameParts && (kind == snapshotKind || kind == journalKind) {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return slices.Compact(generations)
}

// Content is the list that a directory holds.
type Content struct {
	Head       cachedlist.Head
	Entries    map[string]cachedlist.Entry // by name
	Found      bool                        // a list was found and could be read
	FileErrors []FileError                 // files that could not be read whole

	generation uint64 // the highest of any snapshot or journal
}

// Unsorted returns the entries in no particular order.
func (c *Content) Unsorted() []cachedlist.Entry { return slices.Collect(maps.Values(c.Entries)) }

// SortedByName returns the entries sorted by name.
func (c *Content) SortedByName() []cachedlist.Entry {
	byName := func(x, y cachedlist.Entry) int { return cmp.Compare(x.Name, y.Name) }
	return slices.SortedFunc(maps.Values(c.Entries), byName)
}

// Read reads a directory without changing it; a broker may write to it at the same time. It reads a list of the given deployment only, or
// of any if deployment is empty. It returns an error if the directory can't be listed; faults of files are in Content.FileErrors.
func Read(fs filesystem.FS, directory, deployment string) (*Content, error) {
	c := &Content{Entries: map[string]cachedlist.Entry{}}
	names, err := fs.ReadDir(directory)
	if err != nil {
		return c, err
	}
	for _, generation := range slices.Backward(generationsOf(names)) {
		c.generation = max(c.generation, generation)
		if !slices.Contains(names, snapshotName(generation)) {
			continue
		}
		err := c.readSnapshot(fs, filepath.Join(directory, snapshotName(generation)), deployment)
		if err == nil {
			c.readJournal(fs, filepath.Join(directory, journalName(generation)))
			c.Found = true
			return c, nil
		}
		c.FileErrors = append(c.FileErrors, FileError{File: snapshotName(generation), Err: err})
		clear(c.Entries)
		c.Head = cachedlist.Head{}
	}
	return c, nil
}
