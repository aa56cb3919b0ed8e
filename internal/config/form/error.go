package form

// This file defines the error about a file that cannot be decoded.

import "fmt"

// Error reports a file that is invalid, with the line and field at fault.
type Error struct {
	Kind, Path string // the kind of file in words, and its path
	Line       int    // 0: the error is about the file as a whole, or Err names the line
	Field      string
	Err        error
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Path, e.Err)
	}
	return fmt.Sprintf("%s: %s:%d: %s: %v", e.Kind, e.Path, e.Line, e.Field, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *Error) Remedy() string {
	if e.Line == 0 {
		return "correct " + e.Path + "; until all of it is valid, none of it is applied"
	}
	return fmt.Sprintf("correct line %d of %s; until all of it is valid, none of it is applied", e.Line, e.Path)
}
