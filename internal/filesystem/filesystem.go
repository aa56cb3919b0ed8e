// Package filesystem is what the stores of this module need of a file system: writing a file from its start, and saying when what
// was written or renamed survives a crash. Local is the machine's; package crashfs has one for tests, which crashes at a chosen step.
//
// Two calls make data durable: File.Sync for the content of a file, FS.SyncDir for the names of a directory. What was done since is
// lost in a crash, or is there in part.
//
// An FS has no state of its own here. Local may be used from any goroutine; a File by one at a time.
package filesystem

import (
	"io"
)

// FS is a file system. Its errors are those of package os: errors.Is finds fs.ErrNotExist and what the system reports.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names in a directory, without its path, in any order.
	ReadDir(dir string) (names []string, err error)
	Open(name string) (io.ReadCloser, error)
	// Create returns an empty file; what stood under the name is gone.
	Create(name string) (File, error)
	// Rename replaces what stood under the new name.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes durable what was created, renamed and removed in a directory so far.
	SyncDir(dir string) error
}

// File is a file that is written from its start to its end.
type File interface {
	io.Writer
	// Sync makes durable what was written so far.
	Sync() error
	Close() error
}

// CreateSynced writes a file whole and syncs it. Its name is not durable before SyncDir. The caller closes the file; after an error
// there is none to close, and what stands under the name is undefined.
func CreateSynced(fs FS, name string, content []byte) (File, error) {
	f, err := fs.Create(name)
	if err != nil {
		return nil, err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
