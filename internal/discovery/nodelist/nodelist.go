// Package nodelist stores the endpoint list on disk, so that a broker can start while discovery is down (the cached list). What an
// entry is worth is decided in package cachedlist.
//
// # Files
//
// A directory belongs to one broker of one deployment:
//
//	list-00000007.snap   generation 7: a header, then all entries sorted by name
//	list-00000007.log    its journal: a header, then one frame for each write
//	list-00000006.*      the generation before, kept until the next one
//	list.new             the next snapshot while it is being written
//	lock                 locked (flock) by the process that writes
//	asks/NUMBER.ask      what `flaxfront nodes import` and `forget` ask of the broker that runs
//	*.damaged, *.other-deployment, *.later-version   files set aside, the four newest
//
// Each file is a line of text and then frames with a length and a checksum:
//
//	+------------------------+--------+-------+-------+ -
//	| "flaxfront node list"  | header | frame | frame | ...
//	+------------------------+--------+-------+-------+ -
//
//	when                                        what is written
//	first write of a process, or after a fault  a new generation: list.new, fsync, rename, the journal, fsync of the directory
//	journal larger than its bound               a new generation
//	any other write                             one frame at the end of the journal, then fsync
//
// # After a crash
//
// A start finds what the last successful write left, or the write under way. Read takes the newest snapshot that is whole and of this
// deployment, and applies its journal up to the first frame that can't be read. A journal that ends within a frame is what a crash
// leaves; any other file that can't be read is set aside under a name that says why, and reported.
//
// Open is called at the start of a broker whose settings name a directory, and by the commands that change the list; `flaxfront nodes
// show`, `verify` and `export` only read. Nothing wrong with the disk stops a broker: it is logged once, and tried again later.
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
	snapshotAside = "." + snapshotKind + "." // in the name of a snapshot that was set aside
	journalAside  = "." + journalKind + "."
)

func snapshotName(generation uint64) string { return fmt.Sprintf(nameFormat, generation, snapshotKind) }
func journalName(generation uint64) string  { return fmt.Sprintf(nameFormat, generation, journalKind) }

// generationsOf lists the generations of which there is any file, oldest first.
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

// Content is what a directory holds.
type Content struct {
	Head       cachedlist.Head
	Entries    map[string]cachedlist.Entry // by name
	Found      bool                        // a list was there and could be read
	FileErrors []FileError                 // of files that could not be read whole

	generation uint64 // the highest of any file
}

// Unsorted returns the entries in any order.
func (c *Content) Unsorted() []cachedlist.Entry { return slices.Collect(maps.Values(c.Entries)) }

// SortedByName returns the entries by name.
func (c *Content) SortedByName() []cachedlist.Entry {
	byName := func(x, y cachedlist.Entry) int { return cmp.Compare(x.Name, y.Name) }
	return slices.SortedFunc(maps.Values(c.Entries), byName)
}

// Read reads a directory and changes nothing in it; a broker may write there meanwhile. It takes a list of the named deployment only,
// or of any if deployment is empty. The error is that of listing the directory; what is wrong with files is in the content.
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
