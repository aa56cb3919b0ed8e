// Package remedy owns the form of errors that an operator reads: each has a type of its own, which says what went wrong and
// what can be done. It depends on nothing, so that every package may give its errors the method without importing it. It must
// never act on an error, or make up advice where the error has none.
//
// Depends on no package of this module. Concurrency: it keeps no state and starts no goroutine, so that its
// functions may be called from any goroutine; what they return is the caller's.
package remedy

import (
	"errors"
	"slices"
	"strings"
)

// Error is an error with a remedy: one line of what an operator can do, without a full stop.
type Error interface {
	error
	Remedy() string
}

// Of is the remedy of an error: that of the outermost fault on its chain, as what wraps knows more; of errors that were joined
// each one's, in their order. "" where there is none.
func Of(err error) string {
	var all []string
	collect(err, &all)
	return strings.Join(all, "; ")
}

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
