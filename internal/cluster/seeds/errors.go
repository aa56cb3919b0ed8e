package seeds

import (
	"errors"
	"fmt"
)

// Reasons to reject a file, wrapped in FileError.
var (
	errNotAddress = errors.New("is not an ADDRESS:PORT")
	errTooMany    = errors.New("too many addresses")
	errTooLarge   = errors.New("the file is too large")
)

// FileError reports that a file of addresses can't be read or written.
type FileError struct {
	File string
	Line int // from 1; 0 if the error concerns no single line
	Err  error
}

func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("seeds: %s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("seeds: %s:%d: %v", e.File, e.Line, e.Err)
}

func (e *FileError) Unwrap() error { return e.Err }

// Remedy tells what an operator can do.
func (e *FileError) Remedy() string {
	if e.Line > 0 || errors.Is(e.Err, errTooLarge) {
		return "remove the file; the broker writes it again once it has found the other members by the seeds of its configuration"
	}
	return "check that the file's directory exists, that the broker can read and write it, and that the disk has free space"
}
