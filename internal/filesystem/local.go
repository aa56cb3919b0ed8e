package filesystem

import (
	"io"
	"os"
)

// directoryMode is the mode of directories that Local creates, before the umask is applied.
const directoryMode = 0o755

// Local is the file system of the machine.
type Local struct{}

var _ FS = Local{}

// MkdirAll creates a directory and its missing parents.
func (Local) MkdirAll(dir string) error { return os.MkdirAll(dir, directoryMode) }

// Open opens a file for reading.
func (Local) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

// Create creates an empty file, or truncates an existing one.
func (Local) Create(name string) (File, error) { return os.Create(name) }

// Rename renames a file, replacing any file with the new name.
func (Local) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Local) Remove(name string) error { return os.Remove(name) }

// ReadDir returns the names in a directory. With an error it returns the names read before it.
func (Local) ReadDir(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir calls fsync on a directory.
func (Local) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
