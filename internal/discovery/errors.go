package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// errSilent is the context's cause for a request that was not answered in time.
var errSilent = errors.New("discovery did not answer in time")

// isConnectionLost reports whether an established connection ended during a request, as opposed to a connection that discovery did not
// accept or an answer that can't be used.
func isConnectionLost(err error) bool {
	if errors.As(err, new(*UnreachableError)) {
		return false
	}
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed)
}

// SilentError says that discovery did not answer a request in time. After this error, as after every other one of this file, the current
// list stays in use.
type SilentError struct {
	Service  string
	Duration time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("discovery at %s has not answered for %v", e.Service, e.Duration.Round(time.Millisecond))
}

// Remedy returns what an operator can do about the error.
func (e *SilentError) Remedy() string {
	return "it is polled again on a new connection; if that goes on, check discovery and the network path to it"
}

// UnreachableError says that no connection to discovery could be established.
type UnreachableError struct {
	Service string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no connection to discovery at %s: %v", e.Service, e.Err)
}
func (e *UnreachableError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *UnreachableError) Remedy() string {
	return `check that discovery runs and that "discovery" in the configuration names it; SIGHUP applies a new address`
}

// StatusError says that discovery answered with an HTTP status other than 200.
type StatusError struct {
	Service string
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery at %s answered with status %d", e.Service, e.Status)
}

// Remedy returns what an operator can do about the error.
func (e *StatusError) Remedy() string {
	return "503 means down or too many callers, and discovery is polled with a growing backoff; any other status is a fault of discovery"
}

// UnreadableListError says that an answer can't be decoded whole; nothing of it is applied.
type UnreadableListError struct {
	Service string
	Err     error
}

func (e *UnreadableListError) Error() string {
	return fmt.Sprintf("discovery at %s sent a list that can't be read: %v", e.Service, e.Err)
}
func (e *UnreadableListError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do about the error.
func (e *UnreadableListError) Remedy() string {
	return "the current list stays in use and the full list is requested next; correct the entry that the error names, " +
		"or compare the versions of the two programs"
}

// ListError says which part of a list can't be decoded.
type ListError struct {
	Field   string // path in the document; "" if none of it could be decoded
	Problem string
	Err     error // of the JSON decoder; nil: the JSON is valid
}

func (e *ListError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("node list: %v", e.Err)
	}
	return fmt.Sprintf("node list: %s: %s", e.Field, e.Problem)
}
func (e *ListError) Unwrap() error { return e.Err }

// OutdatedListError says that discovery sent an update older than the current version.
type OutdatedListError struct {
	Service        string
	Version        uint64
	CurrentVersion uint64
}

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("discovery at %s sent an update to version %d, older than the current version %d",
		e.Service, e.Version, e.CurrentVersion)
}

// Remedy returns what an operator can do about the error.
func (e *OutdatedListError) Remedy() string {
	return "the full list is requested next and applied as it is; check whether discovery lost its state or answers from two copies"
}
