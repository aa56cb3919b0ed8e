package form

// This file owns the error on a text that does not read.

import "fmt"

// Error is a text that does not read, with the place of what is wrong.
type Error struct {
	Kind, Path string // the kind of file, and the file
	Line       int    // 0: the text as a whole, or Err names the line
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

// Remedy is what an operator can do.
func (e *Error) Remedy() string {
	if e.Line == 0 {
		return "correct " + e.Path + "; until it reads as a whole nothing of it counts"
	}
	return fmt.Sprintf("correct line %d of %s; until it reads as a whole nothing of it counts", e.Line, e.Path)
}
