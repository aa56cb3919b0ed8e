package raftlog

import "fmt"

// Missing refuses to begin a log anew where one should be.
type Missing struct{ Dir string }

func (e *Missing) Error() string { return "no voter's log in " + e.Dir }

// Remedy tells what an operator can do.
func (e *Missing) Remedy() string {
	return "is the directory the right one, and mounted? Only the first start of a cluster may begin a log; a voter whose log is " +
		"lost must not come back as itself, since it may have voted and acknowledged what it no longer knows"
}

// Damaged refuses a log with a damaged place before its end.
type Damaged struct {
	File   string
	Offset int
}

func (e *Damaged) Error() string { return fmt.Sprintf("%s is damaged at byte %d", e.File, e.Offset) }

// Remedy tells what an operator can do.
func (e *Damaged) Remedy() string {
	return "keep a copy of the directory and test the disk; this voter must not go on from what is left, since it may have " +
		"acknowledged what is damaged: the others go on while they are a majority"
}

// Other refuses the log of another cluster, voter or set of voters.
type Other struct{ File, Here, There string }

func (e *Other) Error() string { return fmt.Sprintf("%s is of %s, not of %s", e.File, e.There, e.Here) }

// Remedy tells what an operator can do.
func (e *Other) Remedy() string {
	return "put the right directory in its place, or the settings that this one was written with"
}

// Later refuses a form that a later version wrote.
type Later struct {
	File    string
	Version int
}

func (e *Later) Error() string {
	return fmt.Sprintf("%s has form %d, this program reads up to %d", e.File, e.Version, version)
}

// Remedy tells what an operator can do.
func (e *Later) Remedy() string { return "start the later version of the program again" }

// Locked refuses a directory that another process votes from.
type Locked struct{ Dir string }

func (e *Locked) Error() string { return "another process holds " + e.Dir }

// Remedy tells what an operator can do.
func (e *Locked) Remedy() string {
	return "wait until the former process has ended, or give each broker a directory of its own"
}

// Failed tells of a disk that failed; nothing is written after it.
type Failed struct {
	What string
	Err  error
}

func (e *Failed) Error() string {
	return fmt.Sprintf("the voter's log failed at %s: %v", e.What, e.Err)
}
func (e *Failed) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *Failed) Remedy() string {
	return "make room or mend the disk, then start the broker again"
}
