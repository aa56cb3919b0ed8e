package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// errSilent is the cause of the end of a request that was not answered in time.
var errSilent = errors.New("discovery did not answer in time")

// isConnectionLost reports whether a connection ended under a request, and discovery neither refused it nor answered what can't be used.
func isConnectionLost(err error) bool {
	if errors.As(err, new(*UnreachableError)) {
		return false
	}
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed)
}

// SilentError is a request that discovery did not answer in time. As after each of these errors, the list held stands.
type SilentError struct {
	Service  string
	Duration time.Duration
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("discovery at %s has not answered for %v", e.Service, e.Duration.Round(time.Millisecond))
}

// Remedy is what an operator can do.
func (e *SilentError) Remedy() string {
	return "it is polled again on a new connection; if that goes on, look at discovery and at the way to it"
}

// UnreachableError is a connection that discovery did not accept.
type UnreachableError struct {
	Service string
	Err     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("discovery at %s accepts no connection: %v", e.Service, e.Err)
}
func (e *UnreachableError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *UnreachableError) Remedy() string {
	return `see that discovery runs and that "discovery" in the configuration names it; SIGHUP applies a new address`
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
	return "503 means down or too many callers, and it is polled with a growing backoff; any other status is discovery's fault"
}

// UnreadableListError is an answer that can't be read whole; nothing of it is applied.
type UnreadableListError struct {
	Service string
	Err     error
}

func (e *UnreadableListError) Error() string {
	return fmt.Sprintf("discovery at %s sent a list that can't be read: %v", e.Service, e.Err)
}
func (e *UnreadableListError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *UnreadableListError) Remedy() string {
	return "the list held stands and the full list is asked for next; correct the entry that the error names, " +
		"or compare the versions of the two programs"
}

// ListError says what of a list can't be read.
type ListError struct {
	Field   string // of the document; "" where all of it can't be read
	Problem string
	Err     error // of the JSON decoder, or nil
}

func (e *ListError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("node list: %v", e.Err)
	}
	return fmt.Sprintf("node list: %s: %s", e.Field, e.Problem)
}
func (e *ListError) Unwrap() error { return e.Err }

// OutdatedListError is an update older than the version held.
type OutdatedListError struct {
	Service        string
	Version        uint64
	CurrentVersion uint64
}

func (e *OutdatedListError) Error() string {
	return fmt.Sprintf("discovery at %s sent version %d after %d", e.Service, e.Version, e.CurrentVersion)
}

// Remedy is what an operator can do.
func (e *OutdatedListError) Remedy() string {
	return "the full list is asked for next and applied as it is; see whether discovery lost its state or answers from two copies"
}
