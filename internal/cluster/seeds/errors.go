package seeds

import (
	"errors"
	"fmt"
)

// What is wrong with a file, wrapped in FileError.
var (
	errNotAddress = errors.New("is no ADDRESS:PORT")
	errTooMany    = errors.New("one too many addresses")
	errTooLarge   = errors.New("the file is too large")
)

// FileError says that a file of addresses can't be read or written.
type FileError struct {
	File string
	Line int // from 1; 0: none in particular
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
		return "remove the file: it is written anew once the broker knows the others, by the seeds of its configuration"
	}
	return "see that its directory is there, that the broker may read and write it, and that the disk has room"
}
