package controlplane

import (
	"errors"
	"fmt"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// VoterConfigError refuses to start a voter without what it needs.
type VoterConfigError struct{ Name string }

func (e *VoterConfigError) Error() string {
	return fmt.Sprintf("%s is one of fleet.voters, but has no fleet.directory or no fleet.listen", e.Name)
}

// Remedy says what an operator can do.
func (e *VoterConfigError) Remedy() string {
	return "give this broker both; the directory lasts over restarts and is of this broker alone"
}

// UncertainOutcomeError ends a proposal of which it is not known whether it took effect.
type UncertainOutcomeError struct{ Cause error }

func (e *UncertainOutcomeError) Error() string {
	return fmt.Sprintf("not agreed in time (%v); it may yet take effect", e.Cause)
}
func (e *UncertainOutcomeError) Unwrap() error { return e.Cause }

// Remedy says what an operator can do.
func (e *UncertainOutcomeError) Remedy() string {
	return "look at `flaxfront fleet status` before asking again; if it lasts, see that a majority of the voters runs"
}

// NotLeaderError refuses what only the leader may answer.
type NotLeaderError struct{ Leader string } // its name; empty: none is known

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known here"
	}
	return e.Leader + " leads"
}

// Remedy says what an operator can do.
func (e *NotLeaderError) Remedy() string {
	if e.Leader == "" {
		return "see that a majority of the voters runs and that they reach one another; queries go on meanwhile"
	}
	return "ask there"
}

// InvalidRequestError refuses what an operator asked for.
type InvalidRequestError struct{ Reason string }

func (e *InvalidRequestError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *InvalidRequestError) Remedy() string {
	return "correct the request; `flaxfront fleet --help` tells the verbs"
}

// SlotConflictError tells that another broker of the tier has this one's place.
type SlotConflictError struct {
	Slot   statemachine.Slot
	Holder string
}

func (e *SlotConflictError) Error() string {
	return fmt.Sprintf("slot %d is that of %s, which lives", e.Slot, e.Holder)
}

// Remedy says what an operator can do.
func (e *SlotConflictError) Remedy() string {
	return "give each broker a fleet.slot of its own, and restart the one that has the wrong one"
}

// RejectedError is a fault as it came over the wire.
type RejectedError struct{ Message, Advice string }

func (e *RejectedError) Error() string { return e.Message }

// Remedy says what an operator can do.
func (e *RejectedError) Remedy() string { return e.Advice }

// FrameError is a frame that can't be read, or does not belong where it came.
type FrameError struct {
	Reason string
	Cause  error // nil: none
}

func (e *FrameError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("bad frame: %s: %v", e.Reason, e.Cause)
	}
	return "bad frame: " + e.Reason
}

func (e *FrameError) Unwrap() error { return e.Cause }

// Remedy says what an operator can do.
func (e *FrameError) Remedy() string {
	return "compare the versions of both brokers; nothing of the frame was used"
}

// OtherSiteError is a peer whose certificate is of another site.
type OtherSiteError struct{ Peer, Own keys.ID }

func (e *OtherSiteError) Error() string { return fmt.Sprintf("%s is not of %s", e.Peer, e.Own.Site) }

// Remedy says what an operator can do.
func (e *OtherSiteError) Remedy() string {
	return "name brokers of this site alone under fleet.voters and fleet.sources"
}

// errSessionLost ends proposals of an incarnation that the tier has given up.
var errSessionLost = errors.New("the session was lost")

func isUnknownEntry(err error) bool { return errors.As(err, new(*statemachine.UnknownEntryError)) }

// remedyOf is the remedy of the first error in a chain that has one; empty: none has.
func remedyOf(err error) string {
	var fault remedy.Fault
	if errors.As(err, &fault) {
		return fault.Remedy()
	}
	return ""
}
