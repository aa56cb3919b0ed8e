// Package filesystem is the file system interface that the stores of this module use: files are written sequentially, and explicit calls
// make content and names durable. Local is the machine's file system; package crashfs has one for tests, which crashes at a chosen step.
//
// Two calls make data durable: File.Sync for the content of a file, FS.SyncDir for the names in a directory. A crash may undo all or part
// of what was done since.
//
// Local has no state and may be used by several goroutines at once; a File by one at a time.
package filesystem

import (
	"io"
)

// FS is a file system. Its errors are those of package os: errors.Is matches fs.ErrNotExist and the error numbers of the system.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names in a directory, without its path, in any order.
	ReadDir(dir string) (names []string, err error)
	Open(name string) (io.ReadCloser, error)
	// Create returns a new empty file, replacing any file of that name.
	Create(name string) (File, error)
	// Rename replaces any file with the new name.
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes durable the files created, renamed and removed in a directory so far.
	SyncDir(dir string) error
}

// File is a file that is written sequentially from its start.
type File interface {
	io.Writer
	// Sync makes durable the bytes written so far.
	Sync() error
	Close() error
}

// CreateSynced creates a file, writes content and syncs it. The file's name is not durable before SyncDir. The caller closes the file.
// After an error there is no file to close, and the content under that name is undefined.
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
