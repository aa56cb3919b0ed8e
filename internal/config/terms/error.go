package terms

// This file owns the errors on a configuration file.

import "fmt"

// Unreadable is a configuration file that cannot be opened.
type Unreadable struct{ Err error }

func (e *Unreadable) Error() string { return fmt.Sprintf("configuration: %v", e.Err) }

func (e *Unreadable) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *Unreadable) Remedy() string {
	return "have --config or $RELAY_CONFIG name a file that the broker may read"
}

// Wrong is a configuration file that a broker cannot serve by; the error names the field.
type Wrong struct {
	Path string
	Err  error
}

func (e *Wrong) Error() string { return e.Err.Error() }

func (e *Wrong) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *Wrong) Remedy() string {
	return "have " + e.Path + " written anew by whoever deploys the broker, and try `flaxfront check`; a broker that runs keeps what it has"
}
