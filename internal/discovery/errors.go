package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// This file owns what can go wrong with a call, and what an operator can do about it. The list held stands in each case.

// errSilent is why a call that was not answered in time was ended.
var errSilent = errors.New("discovery says nothing")

// broken tells whether a connection ended under a call, and discovery neither refused it nor answered what can't be used.
func broken(err error) bool {
	if errors.As(err, new(*UnreachableError)) {
		return false
	}
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed)
}

// SilentError is a call that discovery took and did not answer.
type SilentError struct {
	Service  string
	Duration time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("discovery at %s has said nothing for %v", e.Service, e.Duration.Round(time.Millisecond))
}

// Remedy is what an operator can do.
func (e *SilentError) Remedy() string {
	return "it is asked again at once, on a new connection; if that goes on, look at discovery and at the way to it"
}

// UnreachableError is a connection that discovery did not take.
type UnreachableError struct {
	Service string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("discovery at %s takes no connection: %v", e.Service, e.Err)
}
func (e *UnreachableError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *UnreachableError) Remedy() string {
	return `see that discovery runs and that "discovery" in the configuration names it; SIGHUP takes a new address over`
}

// StatusError is an answer that is no list.
type StatusError struct {
	Service string
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery at %s answered with status %d", e.Service, e.Status)
}

// Remedy is what an operator can do.
func (e *StatusError) Remedy() string {
	return "503 means down or too many callers, and it is asked again ever more seldom; any other status is discovery's fault"
}

// UnreadableListError is an answer that can't be read whole. Nothing of it is taken.
type UnreadableListError struct {
	Service string
	Err     error
}

func (e *UnreadableListError) Error() string {
	return fmt.Sprintf("discovery at %s told what can't be read: %v", e.Service, e.Err)
}
func (e *UnreadableListError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *UnreadableListError) Remedy() string {
	return "the list held stands and the whole list is asked for next; correct the entry that the error names, or compare the versions of the two programs"
}

// OutdatedListError is a list from before the one held.
type OutdatedListError struct {
	Service              string
	Version, HeldVersion uint64
}

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("discovery at %s told version %d after %d", e.Service, e.Version, e.HeldVersion)
}

// Remedy is what an operator can do.
func (e *OutdatedListError) Remedy() string {
	return "the whole list is asked for next and taken as it is; see whether discovery lost its state or answers from two copies"
}
