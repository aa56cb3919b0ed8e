package ingress

import (
	"errors"
	"fmt"

	"flaxfront/internal/transport/httpwire"
)

// RequestError describes why a request can't be served. The client gets the status, and the detail as the body.
type RequestError struct {
	Status int
	Detail string // what is wrong, and the input at fault
	Err    error  // the cause; nil: none
}

func (e *RequestError) Error() string { return e.Detail }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// asRequestError returns the error answer for err: status 400 unless err carries another.
func asRequestError(err error) *RequestError {
	if bad, ok := errors.AsType[*RequestError](err); ok {
		return bad
	}
	if fault, ok := errors.AsType[*httpwire.MessageError](err); ok {
		return &RequestError{Status: fault.Status, Detail: fault.Reason, Err: err}
	}
	return &RequestError{Status: statusBadRequest, Detail: err.Error(), Err: err}
}

func requestError(status int, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Detail: fmt.Sprintf(format, args...)}
}
