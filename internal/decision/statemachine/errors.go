package statemachine

import "fmt"

// UnknownEntryError is an entry of a newer version. A broker that skipped it would go on with another state than the rest, so it
// applies nothing from there on, keeps what it has, and is to be brought up to date.
type UnknownEntryError struct {
	Index   uint64
	Version uint64
	Kind    uint64
}

func (e *UnknownEntryError) Error() string {
	return fmt.Sprintf("state machine: entry %d is of kind %d, version %d, which this program can't read: stopped before it",
		e.Index, e.Kind, e.Version)
}

// Remedy says what an operator can do.
func (e *UnknownEntryError) Remedy() string {
	return "start the newer version of the program on this broker; it goes on from the entry by itself"
}

// MalformedEntryError is an entry that no version has written. It changes nothing, at no broker.
type MalformedEntryError struct {
	Kind uint64 // 0: not even the kind could be read
}

func (e *MalformedEntryError) Error() string {
	return fmt.Sprintf("state machine: malformed entry of kind %d", e.Kind)
}

// Remedy says what an operator can do.
func (e *MalformedEntryError) Remedy() string {
	return "report it: a broker has proposed something that is no entry"
}

// AlreadyAppliedError is an entry that this machine has applied already, or that is older than one it has.
type AlreadyAppliedError struct {
	Index   uint64
	Applied uint64 // the last index applied
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("state machine: entry %d comes after entry %d was applied", e.Index, e.Applied)
}

// Remedy says what an operator can do.
func (e *AlreadyAppliedError) Remedy() string { return "none needed: it has taken effect once" }

// SnapshotError is a snapshot that can't be restored.
type SnapshotError struct{ Cause string }

func (e *SnapshotError) Error() string {
	return "state machine: snapshot can't be restored: " + e.Cause
}

// Remedy says what an operator can do.
func (e *SnapshotError) Remedy() string {
	return "if its version is newer than the program, start the newer one; else remove the broker's copy: it is sent a new one"
}

// RejectedError is an entry that was applied everywhere and changed nothing but that. Detail is stored in snapshots: its texts
// must be the same in all versions of a tier.
type RejectedError struct {
	Reason Reason
	Detail string
}

func (e *RejectedError) Error() string {
	if int(e.Reason) >= len(reasonTexts) {
		return "state machine: rejected: " + e.Detail
	}
	return fmt.Sprintf("state machine: rejected: %s (%s)", reasonTexts[e.Reason].meaning, e.Detail)
}

// Remedy says what an operator can do.
func (e *RejectedError) Remedy() string {
	if int(e.Reason) >= len(reasonTexts) {
		return "report it"
	}
	return reasonTexts[e.Reason].remedy
}

func reject(r Reason, format string, args ...any) error {
	return &RejectedError{Reason: r, Detail: fmt.Sprintf(format, args...)}
}
