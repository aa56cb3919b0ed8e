package raftlog

import (
	"errors"
	"fmt"
)

// Kinds of damage to a file, wrapped in DamagedError.
var (
	errFileHeader    = errors.New("invalid file header")
	errFrameHeader   = errors.New("no frame begins here")
	errFrameShort    = errors.New("the file ends within the frame")
	errChecksum      = errors.New("checksum mismatch")
	errFramesMissing = errors.New("frames that were written with the file's header are missing")
	errRecord        = errors.New("invalid record in the frame")
)

// Reasons why a record can't be stored, wrapped in RecordError.
var (
	errEntryOrder    = errors.New("the entries' indexes do not continue the stored log")
	errFrameTooLarge = errors.New("frame too large")
)

// MissingError reports that the directory holds no log, and Options.Create is not set.
type MissingError struct{ Directory string }

func (e *MissingError) Error() string { return "no voter's log in " + e.Directory }

// Remedy tells what an operator can do.
func (e *MissingError) Remedy() string {
	return "check that the directory is the right one, and mounted; only the first start of a cluster may create a log, and a voter " +
		"whose log is lost must not rejoin under its own ID, since it no longer knows what it has voted for and acknowledged"
}

// DamagedError reports that data which was synced can't be read any more.
type DamagedError struct {
	File   string
	Offset int // of the unreadable frame, in bytes
	Err    error
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", e.File, e.Offset, e.Err)
}

func (e *DamagedError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *DamagedError) Remedy() string {
	return "keep a copy of the directory and test the disk; this voter must not go on with the rest of the log, since it may have " +
		"acknowledged the damaged part; the other voters go on while they are a majority"
}

// MismatchError reports that the log belongs to another cluster, voter or set of voters.
type MismatchError struct {
	File       string
	Configured string // cluster, voter and voters in the settings
	Stored     string // cluster, voter and voters in the file
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s is the log of %s, not of %s", e.File, e.Stored, e.Configured)
}

// Remedy tells what an operator can do.
func (e *MismatchError) Remedy() string {
	return "restore the right directory, or the settings that this one was written with"
}

// NewerVersionError reports that a later version of the program wrote the log.
type NewerVersionError struct {
	File    string
	Version int // format version of the log
}

func (e *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has format version %d; this program reads versions up to %d", e.File, e.Version, formatVersion)
}

// Remedy tells what an operator can do.
func (e *NewerVersionError) Remedy() string { return "go back to the later version of the program" }

// LockedError reports that another process uses the directory.
type LockedError struct{ Directory string }

func (e *LockedError) Error() string {
	return "another process holds the lock of the directory " + e.Directory
}

// Remedy tells what an operator can do.
func (e *LockedError) Remedy() string {
	return "wait until the other process has ended, or give each broker its own directory"
}

// RecordError reports that the arguments of a Save can't be stored. The log has failed.
type RecordError struct{ Err error }

func (e *RecordError) Error() string {
	return fmt.Sprintf("the voter's log can't store a record: %v", e.Err)
}
func (e *RecordError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *RecordError) Remedy() string {
	return "restart the broker; if the error recurs, keep a copy of the directory for a bug report"
}

// IOError reports that a disk operation failed. The log has failed and writes nothing more.
type IOError struct {
	Operation string // verb and object, such as "list the directory"
	Directory string
	Err       error // of the file system, with the file's name
}

func (e *IOError) Error() string {
	return fmt.Sprintf("the voter's log in %s failed to %s: %v", e.Directory, e.Operation, e.Err)
}
func (e *IOError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *IOError) Remedy() string {
	return "make room on the disk or repair it, then restart the broker"
}
