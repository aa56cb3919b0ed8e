package controlplane

import (
	"errors"
	"fmt"

	"flaxfront/internal/config/remedy"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/transport/keys"
)

// VoterConfigError reports a voter that lacks a directory or a listener.
type VoterConfigError struct{ Name string }

func (e *VoterConfigError) Error() string {
	return fmt.Sprintf("%s is listed in fleet.voters, but its fleet.directory or fleet.listen is not set", e.Name)
}

// Remedy says what an operator can do.
func (e *VoterConfigError) Remedy() string {
	return "set both on this broker; the directory must survive restarts and belong to this broker alone"
}

// UncertainOutcomeError reports a proposal or request that may or may not have taken effect.
type UncertainOutcomeError struct{ Cause error }

func (e *UncertainOutcomeError) Error() string {
	return fmt.Sprintf("not known to be committed (%v); it may still take effect", e.Cause)
}
func (e *UncertainOutcomeError) Unwrap() error { return e.Cause }

// Remedy says what an operator can do.
func (e *UncertainOutcomeError) Remedy() string {
	return "check `flaxfront fleet status` before you repeat the request; if this persists, check that a majority of the voters is running"
}

// NotLeaderError rejects a request that only the leader may answer.
type NotLeaderError struct{ Leader string } // name of the leader; empty: unknown

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known to this broker"
	}
	return e.Leader + " is the leader, not this broker"
}

// Remedy says what an operator can do.
func (e *NotLeaderError) Remedy() string {
	if e.Leader == "" {
		return "check that a majority of the voters is running and that they reach one another; queries are served meanwhile"
	}
	return "send the request to the leader"
}

// InvalidRequestError rejects an operator's request.
type InvalidRequestError struct{ Reason string }

func (e *InvalidRequestError) Error() string { return e.Reason }

// Remedy says what an operator can do.
func (e *InvalidRequestError) Remedy() string {
	return "correct the request; `flaxfront fleet --help` lists the verbs"
}

// SlotConflictError reports that another broker of the tier is registered in this broker's slot.
type SlotConflictError struct {
	Slot   statemachine.Slot
	Holder string
}

func (e *SlotConflictError) Error() string {
	return fmt.Sprintf("slot %d is held by %s, which is still in the tier", e.Slot, e.Holder)
}

// Remedy says what an operator can do.
func (e *SlotConflictError) Remedy() string {
	return "give each broker its own fleet.slot, and restart the broker whose slot was wrong"
}

// RejectedError is the error of another broker's response, with its remedy.
type RejectedError struct{ Message, Advice string }

func (e *RejectedError) Error() string { return e.Message }

// Remedy says what an operator can do.
func (e *RejectedError) Remedy() string { return e.Advice }

// FrameError reports a frame that cannot be decoded, or that is not allowed at that point of a connection.
type FrameError struct {
	Reason string
	Cause  error // may be nil
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
	return "compare the versions of both brokers; the frame was ignored"
}

// OtherSiteError rejects a peer whose certificate belongs to another site.
type OtherSiteError struct{ Peer, Own keys.ID }

func (e *OtherSiteError) Error() string {
	return fmt.Sprintf("%s does not belong to site %s", e.Peer, e.Own.Site)
}

// Remedy says what an operator can do.
func (e *OtherSiteError) Remedy() string {
	return "list only brokers of this site in fleet.voters and fleet.sources"
}

// errSessionLost ends the proposals of an incarnation that the tier has marked as lost.
var errSessionLost = errors.New("the session was lost")

func isUnknownEntry(err error) bool { return errors.As(err, new(*statemachine.UnknownEntryError)) }

// remedyOf returns the remedy of the first error in a chain that has one, or an empty string.
func remedyOf(err error) string {
	var fault remedy.Error
	if errors.As(err, &fault) {
		return fault.Remedy()
	}
	return ""
}
