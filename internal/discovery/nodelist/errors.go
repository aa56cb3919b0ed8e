package nodelist

import (
	"errors"
	"fmt"
)

// Why a file is not used, wrapped in FileError.
var (
	errTorn            = errors.New("ends within a frame")
	errDamaged         = errors.New("damaged")
	errNewerVersion    = errors.New("written by a later version")
	errOtherDeployment = errors.New("belongs to another deployment")
	errFrameTooLarge   = errors.New("frame too large")
)

// FileError says that a file of the directory can't be read whole, or is not of this deployment.
type FileError struct {
	File string // without the directory
	Err  error

	crashRemnant bool // a journal that a crash cut off: nothing of it is lost that was ever written whole
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }
func (e *FileError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *FileError) Remedy() string {
	switch {
	case e.crashRemnant:
		return "nothing: the next write replaces the journal"
	case errors.Is(e.Err, errOtherDeployment):
		return "if the directory was another broker's, give this one its own and rename the file back"
	case errors.Is(e.Err, errNewerVersion):
		return "start the later version again, or go on without the list: discovery fills it anew"
	case errors.Is(e.Err, errDamaged), errors.Is(e.Err, errTorn):
		return "keep the file for whoever looks into the disk; the list before it is used where there is one"
	}
	return "see that the broker may read the directory, and test the disk"
}

// LockedError says that another process writes to the directory.
type LockedError struct{ Directory string }

func (e *LockedError) Error() string { return "another process writes to " + e.Directory }

// Remedy tells what an operator can do.
func (e *LockedError) Remedy() string {
	return "give each broker a directory of its own; after a restart this ends with the former process"
}

// RequestsPendingError says that operators' requests wait, and nobody takes them.
type RequestsPendingError struct {
	Directory string
	Pending   int
}

func (e *RequestsPendingError) Error() string {
	return fmt.Sprintf("%d operators' requests wait in %s", e.Pending, e.Directory)
}

// Remedy tells what an operator can do.
func (e *RequestsPendingError) Remedy() string {
	return "see that the broker that holds the directory runs; it takes them within a second"
}

// StorageError says that the disk refused a write. The store tries again by itself.
type StorageError struct {
	Operation string // what the store was about to do
	Directory string
	Err       error // that of the file system, which names the file
}

func (e *StorageError) Error() string {
	return fmt.Sprintf("can't %s in %s: %v", e.Operation, e.Directory, e.Err)
}
func (e *StorageError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *StorageError) Remedy() string {
	return "make room or mend the disk, and see that the broker may write to the directory; it tries again by itself"
}
