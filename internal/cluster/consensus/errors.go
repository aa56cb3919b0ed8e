package consensus

import "fmt"

// NotLeaderError refuses what only the leader may do. Leader is who leads as far as is known; 0 where none is.
type NotLeaderError struct{ Leader uint64 }

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader is known"
	}
	return fmt.Sprintf("voter %d leads", e.Leader)
}

// Remedy tells what an operator can do.
func (e *NotLeaderError) Remedy() string {
	if e.Leader == 0 {
		return "wait for an election; if none ends within seconds, see that a majority of the voters runs and that they reach " +
			"each other"
	}
	return "ask the leader"
}

// BusyError refuses what exceeds a limit on what is in progress, or comes while leadership is being transferred.
type BusyError struct{ Limit int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("too much is in progress, %d at most", e.Limit)
}

// Remedy tells what an operator can do.
func (e *BusyError) Remedy() string {
	return "try again in a moment; if it lasts, look at the voters' disks (fsync) and the links between them"
}

// EntrySizeError refuses an entry by its size.
type EntrySizeError struct {
	Bytes int
	Max   int
}

func (e *EntrySizeError) Error() string {
	return fmt.Sprintf("an entry of %d bytes, 1 to %d are accepted", e.Bytes, e.Max)
}

// Remedy tells what an operator can do.
func (e *EntrySizeError) Remedy() string {
	return "divide what is proposed, such as a policy or a plan, into smaller parts"
}

// ReadTimeoutError ends a read that no majority confirmed in time.
type ReadTimeoutError struct{}

func (e *ReadTimeoutError) Error() string { return "no majority confirmed the read in time" }

// Remedy tells what an operator can do.
func (e *ReadTimeoutError) Remedy() string {
	return "try again; if it lasts, see that a majority of the voters runs and that they reach each other"
}

// StoppedError refuses everything, since this voter has stopped. Cause is nil after a planned stop.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "this voter was stopped"
	}
	return "this voter has stopped: " + e.Cause.Error()
}

func (e *StoppedError) Unwrap() error { return e.Cause }

// Remedy tells what an operator can do.
func (e *StoppedError) Remedy() string {
	if r, ok := e.Cause.(interface{ Remedy() string }); ok {
		return r.Remedy()
	}
	return "start the broker again"
}

// StorageError ends a voter whose storage could not save what it must.
type StorageError struct{ Err error }

func (e *StorageError) Error() string {
	return fmt.Sprintf("the voter's state could not be saved, it votes no more: %v", e.Err)
}
func (e *StorageError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *StorageError) Remedy() string {
	return "make room or mend the disk, then start the broker again; it serves queries meanwhile, and the other voters go on " +
		"while they are a majority"
}

// InconsistentStateError ends a voter whose state contradicts what it is told or should do.
type InconsistentStateError struct{ Detail string }

func (e *InconsistentStateError) Error() string {
	return "the voter's state can't be right, it votes no more: " + e.Detail
}

// Remedy tells what an operator can do.
func (e *InconsistentStateError) Remedy() string {
	return "keep a copy of the voter's directory for the report; was it lost, swapped or restored from a backup? A voter whose " +
		"state is lost must come back under a new number, never as itself with an empty directory"
}

// VotersMismatchError refuses to start with voters other than those that the log was written by.
type VotersMismatchError struct {
	Configured []uint64
	Stored     []uint64
}

func (e *VotersMismatchError) Error() string {
	return fmt.Sprintf("the settings name voters %v, the log is of voters %v", e.Configured, e.Stored)
}

// Remedy tells what an operator can do.
func (e *VotersMismatchError) Remedy() string {
	return "put the voters back that the log was begun with; others need a new directory on all of them at once"
}

// ConfigError refuses settings.
type ConfigError struct{ Detail string }

func (e *ConfigError) Error() string { return "the settings of consensus can't be used: " + e.Detail }

// Remedy tells what an operator can do.
func (e *ConfigError) Remedy() string {
	return "name 1, 3 or 5 different voters, this broker among them, and an election timeout of three heartbeat intervals at least"
}

// InvalidMessageError tells of a message that was dropped.
type InvalidMessageError struct {
	From uint64
	Err  error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("a message of voter %d was dropped: %v", e.From, e.Err)
}
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *InvalidMessageError) Remedy() string {
	return "see that all brokers name the same voters with the same numbers, and which versions they run"
}
