package nodelist

import (
	"errors"
	"fmt"
)

// The reasons for which a file is not used, wrapped in FileError.
var (
	errTorn            = errors.New("file ends within a frame")
	errDamaged         = errors.New("file damaged")
	errNewerVersion    = errors.New("file written by a later version")
	errOtherDeployment = errors.New("file belongs to another deployment")
	errFrameTooLarge   = errors.New("frame too large")
)

// FileError says that a file of the directory can't be read whole, or belongs to another deployment.
type FileError struct {
	File string // name without the directory
	Err  error

	crashRemnant bool // a journal that a crash cut off within its last frame: all frames before it are read
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }
func (e *FileError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *FileError) Remedy() string {
	switch {
	case e.crashRemnant:
		return "nothing to do: the next write replaces the journal"
	case errors.Is(e.Err, errOtherDeployment):
		return "if the directory is another broker's, give this broker its own and rename the file back"
	case errors.Is(e.Err, errNewerVersion):
		return "start the later version again, or continue without the cached list: discovery fills a new one"
	case errors.Is(e.Err, errDamaged), errors.Is(e.Err, errTorn):
		return "keep the file to investigate the disk; the previous generation of the list is used if there is one"
	}
	return "check that the broker may read the directory, and test the disk"
}

// LockedError says that another process writes to the directory.
type LockedError struct{ Directory string }

func (e *LockedError) Error() string { return "another process writes to " + e.Directory }

// Remedy returns what an operator can do about the error.
func (e *LockedError) Remedy() string {
	return "give each broker a directory of its own; after a restart this error ends when the old process ends"
}

// RequestsPendingError says that too many operators' requests wait, as no broker carries them out.
type RequestsPendingError struct {
	Directory string
	Pending   int
}

func (e *RequestsPendingError) Error() string {
	return fmt.Sprintf("%d operators' requests wait in %s, no more are accepted", e.Pending, e.Directory)
}

// Remedy returns what an operator can do about the error.
func (e *RequestsPendingError) Remedy() string {
	return "check that the broker that uses the directory runs; it carries requests out within a second"
}

// StorageError says that an operation on the directory failed. The store retries by itself.
type StorageError struct {
	Operation string // what failed, as in "append to the journal"
	Directory string
	Err       error // of the file system; it names the file
}

func (e *StorageError) Error() string {
	return fmt.Sprintf("can't %s in %s: %v", e.Operation, e.Directory, e.Err)
}
func (e *StorageError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *StorageError) Remedy() string {
	return "free disk space or repair the disk, and check that the broker may write to the directory; it retries by itself"
}
