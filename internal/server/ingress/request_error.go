package ingress

import (
	"errors"
	"fmt"

	"flaxfront/internal/transport/httpwire"
)

// RequestError is a request that can't be served. Its client gets the status, and the detail as the body.
type RequestError struct {
	Status int
	Detail string // what is wrong, and the input at fault
	Err    error  // beneath; nil: none
}

func (e *RequestError) Error() string { return e.Detail }

// Unwrap returns the error beneath.
func (e *RequestError) Unwrap() error { return e.Err }

// asRequestError finds the answer that an error is owed.
func asRequestError(err error) *RequestError {
	if bad, ok := errors.AsType[*RequestError](err); ok {
		return bad
	}
	if fault, ok := errors.AsType[*httpwire.Fault](err); ok {
		return &RequestError{Status: fault.Status, Detail: fault.Why, Err: err}
	}
	return &RequestError{Status: statusBadRequest, Detail: err.Error(), Err: err}
}

func requestError(status int, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Detail: fmt.Sprintf(format, args...)}
}
