package raftlog

import "fmt"

// MissingError refuses to begin a log anew where one should be.
type MissingError struct{ Directory string }

func (e *MissingError) Error() string { return "no voter's log in " + e.Directory }

// Remedy tells what an operator can do.
func (e *MissingError) Remedy() string {
	return "is the directory the right one, and mounted? Only the first start of a cluster may begin a log; a voter whose log is " +
		"lost must not come back as itself, since it may have voted and acknowledged what it no longer knows"
}

// DamagedError refuses a log with a damaged place before its end.
type DamagedError struct {
	File   string
	Offset int
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d", e.File, e.Offset)
}

// Remedy tells what an operator can do.
func (e *DamagedError) Remedy() string {
	return "keep a copy of the directory and test the disk; this voter must not go on from what is left, since it may have " +
		"acknowledged what is damaged: the others go on while they are a majority"
}

// MismatchError refuses the log of another cluster, voter or set of voters.
type MismatchError struct{ File, Configured, Stored string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s is of %s, not of %s", e.File, e.Stored, e.Configured)
}

// Remedy tells what an operator can do.
func (e *MismatchError) Remedy() string {
	return "put the right directory in its place, or the settings that this one was written with"
}

// NewerVersionError refuses a form that a later version wrote.
type NewerVersionError struct {
	File    string
	Version int
}

func (e *NewerVersionError) Error() string {
	return fmt.Sprintf("%s has form %d, this program reads up to %d", e.File, e.Version, version)
}

// Remedy tells what an operator can do.
func (e *NewerVersionError) Remedy() string { return "start the later version of the program again" }

// LockedError refuses a directory that another process votes from.
type LockedError struct{ Directory string }

func (e *LockedError) Error() string { return "another process holds " + e.Directory }

// Remedy tells what an operator can do.
func (e *LockedError) Remedy() string {
	return "wait until the former process has ended, or give each broker a directory of its own"
}

// IOError tells of a disk that failed; nothing is written after it.
type IOError struct {
	Operation string
	Err       error
}

func (e *IOError) Error() string {
	return fmt.Sprintf("the voter's log failed at %s: %v", e.Operation, e.Err)
}
func (e *IOError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *IOError) Remedy() string {
	return "make room or mend the disk, then start the broker again"
}
