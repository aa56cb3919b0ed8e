package terms

// This file owns the errors on a configuration file.

import "fmt"

// FileError is a configuration file that cannot be opened.
type FileError struct{ Err error }

func (e *FileError) Error() string { return fmt.Sprintf("configuration: %v", e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *FileError) Remedy() string {
	return "have --config or $RELAY_CONFIG name a file that the broker may read"
}

// InvalidConfigError is a configuration file that a broker cannot serve by; the error names the field.
type InvalidConfigError struct {
	Path string
	Err  error
}

func (e *InvalidConfigError) Error() string { return e.Err.Error() }

func (e *InvalidConfigError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *InvalidConfigError) Remedy() string {
	return "have " + e.Path + " written anew by whoever deploys the broker, and try `flaxfront check`; a broker that runs keeps what it has"
}
