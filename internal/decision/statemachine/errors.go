package statemachine

import "fmt"

// UnknownEntryError is returned for an entry of a newer version. A broker that skipped it would diverge from the others' state, so it
// applies no further entries and keeps its state until the program is upgraded.
type UnknownEntryError struct {
	Index   uint64
	Version uint64
	Kind    uint64
}

func (e *UnknownEntryError) Error() string {
	return fmt.Sprintf("state machine: stopped before entry %d: this program can't read its kind %d, version %d",
		e.Index, e.Kind, e.Version)
}

// Remedy says what an operator can do.
func (e *UnknownEntryError) Remedy() string {
	return "start the newer version of the program on this broker; it resumes at this entry by itself"
}

// MalformedEntryError is returned for bytes that no version writes. Such an entry changes nothing on any broker.
type MalformedEntryError struct {
	Kind uint64 // 0: the kind could not be read
}

func (e *MalformedEntryError) Error() string {
	return fmt.Sprintf("state machine: malformed entry of kind %d", e.Kind)
}

// Remedy says what an operator can do.
func (e *MalformedEntryError) Remedy() string {
	return "report it as a bug: a broker has proposed bytes that are not an entry"
}

// AlreadyAppliedError is returned for an entry at or before the last applied index.
type AlreadyAppliedError struct {
	Index   uint64
	Applied uint64 // the last index applied
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("state machine: entry %d not applied again: entries up to %d are applied", e.Index, e.Applied)
}

// Remedy says what an operator can do.
func (e *AlreadyAppliedError) Remedy() string { return "none needed: the entry has taken effect once" }

// SnapshotError is returned for a snapshot that can't be restored.
type SnapshotError struct{ Cause string }

func (e *SnapshotError) Error() string {
	return "state machine: snapshot can't be restored: " + e.Cause
}

// Remedy says what an operator can do.
func (e *SnapshotError) Remedy() string {
	return "if the snapshot is of a newer version, start that version of the program; else remove the broker's copy, and the leader sends a new one"
}

// RejectedError is returned for an entry that every broker rejects in the same way. The entry changes nothing but the applied index and the
// stored results. Those include Detail, so its texts must be the same in all versions of a tier.
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
		return "report it as a bug: the reason is unknown to this program"
	}
	return reasonTexts[e.Reason].remedy
}

// reject returns a *RejectedError. The formats in its calls must not change, so some have older words: units are connections, floors are
// reserved connections.
func reject(r Reason, format string, args ...any) error {
	return &RejectedError{Reason: r, Detail: fmt.Sprintf(format, args...)}
}
