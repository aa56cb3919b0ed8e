// Package remedy finds the remedy of an error: what an operator can do about it. Each such error has a type of its own with a Remedy
// method, which packages define without importing this one. Errors without the method have no remedy.
//
// Depends on no package of this module. Its functions keep no state and start no goroutine, may be called from any goroutine, and return
// values that the caller owns.
package remedy

import (
	"errors"
	"slices"
	"strings"
)

// Error is an error with a remedy: one line that says what an operator can do, without a full stop.
type Error interface {
	error
	Remedy() string
}

// Of returns the remedy of an error, or "" if there is none. On a chain of wrapped errors the outermost remedy counts, as the wrapping error
// knows more; the different remedies of joined errors are joined in their order.
func Of(err error) string {
	var all []string
	collect(err, &all)
	return strings.Join(all, "; ")
}

// collect appends the remedies of err to all, without duplicates.
func collect(err error, all *[]string) {
	if fault, ok := err.(Error); ok && fault.Remedy() != "" {
		if r := fault.Remedy(); !slices.Contains(*all, r) {
			*all = append(*all, r)
		}
		return
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, one := range joined.Unwrap() {
			collect(one, all)
		}
	} else if err != nil {
		collect(errors.Unwrap(err), all)
	}
}
