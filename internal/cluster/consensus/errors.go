package consensus

import "fmt"

// NotLeader refuses what only the leader may do. Leader is who leads as far as is known; 0 where none is.
type NotLeader struct{ Leader uint64 }

func (e *NotLeader) Error() string {
	if e.Leader == 0 {
		return "no leader is known"
	}
	return fmt.Sprintf("voter %d leads", e.Leader)
}

// Remedy tells what an operator can do.
func (e *NotLeader) Remedy() string {
	if e.Leader == 0 {
		return "wait for an election; if none ends within seconds, see that a majority of the voters runs and that they reach " +
			"each other"
	}
	return "ask the leader"
}

// Busy refuses what exceeds a limit on what is under way, or comes while the lead is handed over.
type Busy struct{ Most int }

func (e *Busy) Error() string { return fmt.Sprintf("too much is under way, %d at most", e.Most) }

// Remedy tells what an operator can do.
func (e *Busy) Remedy() string {
	return "try again in a moment; if it lasts, look at the voters' disks (fsync) and the links between them"
}

// BadEntry refuses an entry by its size.
type BadEntry struct{ Bytes, Most int }

func (e *BadEntry) Error() string {
	return fmt.Sprintf("an entry of %d bytes, 1 to %d are taken", e.Bytes, e.Most)
}

// Remedy tells what an operator can do.
func (e *BadEntry) Remedy() string {
	return "divide what is proposed, such as a policy or a plan, into smaller parts"
}

// Unconfirmed ends a read that no majority confirmed in time.
type Unconfirmed struct{}

func (e *Unconfirmed) Error() string { return "no majority confirmed the read in time" }

// Remedy tells what an operator can do.
func (e *Unconfirmed) Remedy() string {
	return "ask again; if it lasts, see that a majority of the voters runs and that they reach each other"
}

// Stopped refuses everything, since this voter has stopped. Why is nil after a planned stop.
type Stopped struct{ Why error }

func (e *Stopped) Error() string {
	if e.Why == nil {
		return "this voter was stopped"
	}
	return "this voter has stopped: " + e.Why.Error()
}

func (e *Stopped) Unwrap() error { return e.Why }

// Remedy tells what an operator can do.
func (e *Stopped) Remedy() string {
	if r, ok := e.Why.(interface{ Remedy() string }); ok {
		return r.Remedy()
	}
	return "start the broker again"
}

// DiskFailed ends a voter whose disk could not keep what it must.
type DiskFailed struct{ Err error }

func (e *DiskFailed) Error() string {
	return fmt.Sprintf("the voter's state could not be kept on disk, it votes no more: %v", e.Err)
}
func (e *DiskFailed) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *DiskFailed) Remedy() string {
	return "make room or mend the disk, then start the broker again; it serves searches meanwhile, and the other voters go on " +
		"while they are a majority"
}

// Broken ends a voter whose state contradicts what it is told or should do.
type Broken struct{ What string }

func (e *Broken) Error() string {
	return "the voter's state can't be right, it votes no more: " + e.What
}

// Remedy tells what an operator can do.
func (e *Broken) Remedy() string {
	return "keep a copy of the voter's directory for the report; was it lost, swapped or restored from a backup? A voter whose " +
		"state is lost must come back under a new number, never as itself with an empty directory"
}

// OtherVoters refuses to start with voters other than those that the log was written by.
type OtherVoters struct{ Here, There []uint64 }

func (e *OtherVoters) Error() string {
	return fmt.Sprintf("the settings name voters %v, the log is of voters %v", e.Here, e.There)
}

// Remedy tells what an operator can do.
func (e *OtherVoters) Remedy() string {
	return "put the voters back that the log was begun with; others need a new directory on all of them at once"
}

// BadConfig refuses settings.
type BadConfig struct{ What string }

func (e *BadConfig) Error() string { return "the settings of agreement can't be used: " + e.What }

// Remedy tells what an operator can do.
func (e *BadConfig) Remedy() string {
	return "name 1, 3 or 5 different voters, this broker among them, and an election time of three heartbeats at least"
}

// BadMessage tells of a message that was dropped.
type BadMessage struct {
	From uint64
	Err  error
}

func (e *BadMessage) Error() string {
	return fmt.Sprintf("a message of voter %d was dropped: %v", e.From, e.Err)
}
func (e *BadMessage) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *BadMessage) Remedy() string {
	return "see that all brokers name the same voters with the same numbers, and which versions they run"
}
