package raftlog

import (
	"errors"
	"fmt"
)

// What is wrong at a place of a file, wrapped in DamagedError.
var (
	errFileHeader    = errors.New("the file's header is not valid")
	errFrameHeader   = errors.New("no frame begins there")
	errFrameShort    = errors.New("the frame is longer than the file")
	errChecksum      = errors.New("checksum mismatch")
	errFramesMissing = errors.New("the file ends before the frames that it was begun with")
	errRecord        = errors.New("the frame's content is not valid")
)

// Why something can't be stored, wrapped in RecordError.
var (
	errEntryOrder    = errors.New("entries do not follow on the stored ones")
	errFrameTooLarge = errors.New("frame too large")
)

// MissingError says that the directory holds no log, and Options.Create is not set.
type MissingError struct{ Directory string }

func (e *MissingError) Error() string { return "no voter's log in " + e.Directory }

// Remedy tells what an operator can do.
func (e *MissingError) Remedy() string {
	return "is the directory the right one, and mounted? Only the first start of a cluster may begin a log; a voter whose log is " +
		"lost must not come back as itself, since it may have voted and acknowledged what it no longer knows"
}

// DamagedError says that what was synced can't be read any more.
type DamagedError struct {
	File   string
	Offset int // in bytes, of the frame that can't be read
	Err    error
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", e.File, e.Offset, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *DamagedError) Remedy() string {
	return "keep a copy of the directory and test the disk; this voter must not go on from what is left, since it may have " +
		"acknowledged what is damaged: the others go on while they are a majority"
}

// MismatchError says that the log belongs to another cluster, voter or set of voters.
type MismatchError struct {
	File       string
	Configured string // cluster, voter and voters of the settings
	Stored     string // and of the file
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s is of %s, not of %s", e.File, e.Stored, e.Configured)
}

// Remedy tells what an operator can do.
func (e *MismatchError) Remedy() string {
	return "put the right directory in its place, or the settings that this one was written with"
}

// NewerVersionError says that a later version of the program wrote the log.
type NewerVersionError struct {
	File    string
	Version int // of the format
}

func (e *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this program reads up to %d", e.File, e.Version, formatVersion)
}

// Remedy tells what an operator can do.
func (e *NewerVersionError) Remedy() string { return "start the later version of the program again" }

// LockedError says that another process votes from the directory.
type LockedError struct{ Directory string }

func (e *LockedError) Error() string { return "another process holds the lock in " + e.Directory }

// Remedy tells what an operator can do.
func (e *LockedError) Remedy() string {
	return "wait until the former process has ended, or give each broker a directory of its own"
}

// RecordError says that what a Save was given can't be stored. The log has failed.
type RecordError struct{ Err error }

func (e *RecordError) Error() string {
	return fmt.Sprintf("the voter's log can't store a record: %v", e.Err)
}
func (e *RecordError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *RecordError) Remedy() string {
	return "start the broker again; if it comes back, keep a copy of the directory for the report"
}

// IOError says that the disk failed. The log has failed, and writes nothing more.
type IOError struct {
	Operation string // what the log was about to do
	Directory string
	Err       error // that of the file system, which names the file
}

func (e *IOError) Error() string {
	return fmt.Sprintf("the voter's log in %s can't %s: %v", e.Directory, e.Operation, e.Err)
}
func (e *IOError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *IOError) Remedy() string { return "make room or mend the disk, then start the broker again" }
