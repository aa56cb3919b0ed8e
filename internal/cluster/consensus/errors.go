package consensus

import "fmt"

// NotLeaderError reports that only the leader can do what was requested. Leader is the leader as far as this voter knows; 0 if it
// knows none.
type NotLeaderError struct{ Leader uint64 }

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; voter %d leads", e.Leader)
}

// Remedy tells what an operator can do.
func (e *NotLeaderError) Remedy() string {
	if e.Leader == 0 {
		return "wait for an election; if there is no leader after some seconds, check that a majority of the voters runs and " +
			"that they reach each other"
	}
	return "send the request to the leader"
}

// BusyError reports that a limit on work in progress is reached, or that leadership is being transferred.
type BusyError struct{ Limit int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("too many requests are in progress (at most %d), or leadership is being transferred", e.Limit)
}

// Remedy tells what an operator can do.
func (e *BusyError) Remedy() string {
	return "retry in a moment; if it lasts, check the fsync times of the voters' disks and the network between them"
}

// EntrySizeError reports that a proposed entry is empty or too large.
type EntrySizeError struct {
	Bytes int
	Max   int
}

func (e *EntrySizeError) Error() string {
	return fmt.Sprintf("the entry has %d bytes; 1 to %d are accepted", e.Bytes, e.Max)
}

// Remedy tells what an operator can do.
func (e *EntrySizeError) Remedy() string {
	return "divide the proposal, such as a policy or a plan, into smaller parts"
}

// ReadTimeoutError reports that a read was not confirmed by a majority and applied before its deadline.
type ReadTimeoutError struct{}

func (e *ReadTimeoutError) Error() string { return "no majority confirmed the read in time" }

// Remedy tells what an operator can do.
func (e *ReadTimeoutError) Remedy() string {
	return "retry; if it lasts, check that a majority of the voters runs and that they reach each other"
}

// StoppedError reports that this voter has stopped. Cause is nil after a planned stop.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "this voter was stopped as planned"
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

// StorageError reports that the storage failed to save the voter's state, which stops the voter.
type StorageError struct{ Err error }

func (e *StorageError) Error() string {
	return fmt.Sprintf("the voter stopped because its state could not be saved: %v", e.Err)
}
func (e *StorageError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *StorageError) Remedy() string {
	return "make room on the disk or repair it, then restart the broker; it serves queries meanwhile, and the other voters go on " +
		"while they are a majority"
}

// InconsistentStateError reports that the voter's state contradicts its storage or the messages of other voters, which stops the voter.
type InconsistentStateError struct{ Detail string }

func (e *InconsistentStateError) Error() string {
	return "the voter stopped because its state is inconsistent: " + e.Detail
}

// Remedy tells what an operator can do.
func (e *InconsistentStateError) Remedy() string {
	return "keep a copy of the voter's directory for a bug report, and check whether it was lost, swapped or restored from a " +
		"backup; a voter whose state is lost must rejoin under a new ID, never under its own with an empty directory"
}

// VotersMismatchError reports that the configured voters are not those of the stored log.
type VotersMismatchError struct {
	Configured []uint64
	Stored     []uint64
}

func (e *VotersMismatchError) Error() string {
	return fmt.Sprintf("the settings list voters %v, but the log belongs to voters %v", e.Configured, e.Stored)
}

// Remedy tells what an operator can do.
func (e *VotersMismatchError) Remedy() string {
	return "configure the voters that the log was created with; other voters need a new directory on all of them at once"
}

// ConfigError reports an unusable Config.
type ConfigError struct{ Detail string }

func (e *ConfigError) Error() string { return "invalid consensus settings: " + e.Detail }

// Remedy tells what an operator can do.
func (e *ConfigError) Remedy() string {
	return "list 1, 3 or 5 different voters, this broker among them, and an election timeout of at least three heartbeat intervals"
}

// InvalidMessageError reports that a message was dropped as invalid.
type InvalidMessageError struct {
	From uint64
	Err  error
}

func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("dropped an invalid message of voter %d: %v", e.From, e.Err)
}
func (e *InvalidMessageError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *InvalidMessageError) Remedy() string {
	return "check that all brokers list the same voters with the same IDs, and that their versions are compatible"
}
