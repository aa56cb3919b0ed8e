package nodelist

// This file owns the one way to the disk, so that tests can cut it off at every step.

import (
	"io"
	"os"
)

// FS is what the list needs of a file system.
type FS interface {
	MkdirAll(dir string) error
	ReadDir(dir string) (names []string, err error)
	Open(name string) (io.ReadCloser, error)
	Create(name string) (File, error) // empty, whatever was there
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // what was created, renamed or removed in it lasts from then on
}

// File is a file that is written from its start.
type File interface {
	io.Writer
	Sync() error // what was written lasts from then on
	Close() error
}

// Disk is the file system of the machine.
type Disk struct{}

func (Disk) MkdirAll(dir string) error               { return os.MkdirAll(dir, 0o755) }
func (Disk) Open(name string) (io.ReadCloser, error) { return os.Open(name) }
func (Disk) Create(name string) (File, error)        { return os.Create(name) }
func (Disk) Rename(from, to string) error            { return os.Rename(from, to) }
func (Disk) Remove(name string) error                { return os.Remove(name) }
func (Disk) ReadDir(dir string) (names []string, err error) {
	all, err := os.ReadDir(dir)
	for _, e := range all {
		names = append(names, e.Name())
	}
	return names, err
}

func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
