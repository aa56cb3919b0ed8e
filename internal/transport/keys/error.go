package keys

// This file owns the errors of keys and certificates.

import (
	"fmt"
	"io/fs"
)

// NameError is an identity that could be read in two ways.
type NameError struct{ ID ID }

func (e *NameError) Error() string {
	return fmt.Sprintf("site %q, broker %q: each is 1 to 63 of a-z, 0-9, dots and hyphens", e.ID.Site, e.ID.Broker)
}

// Remedy is what an operator can do.
func (e *NameError) Remedy() string {
	return "name site and broker with a-z, 0-9, dots and hyphens only"
}

// ExposedKeyError is a private key that others may read.
type ExposedKeyError struct {
	Path string
	Mode fs.FileMode
}

func (e *ExposedKeyError) Error() string {
	return fmt.Sprintf("%s may be read by others (mode %o); 600 is wanted", e.Path, e.Mode)
}

// Remedy is what an operator can do.
func (e *ExposedKeyError) Remedy() string {
	return "chmod 600 " + e.Path + "; if anybody else could have read it, issue a new one and revoke the old"
}

// FileError is a file that does not hold what it should.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *FileError) Remedy() string {
	return "copy or issue " + e.Path + " anew (flaxfront keys), then try `flaxfront keys check`"
}

// CertificateError is a certificate that does not count.
type CertificateError struct {
	Serial string // "": none was shown
	Err    error
}

func (e *CertificateError) Error() string {
	if e.Serial == "" {
		return fmt.Sprintf("certificate: %v", e.Err)
	}
	return fmt.Sprintf("certificate %s: %v", e.Serial, e.Err)
}

func (e *CertificateError) Unwrap() error { return e.Err }

// Remedy is what an operator can do.
func (e *CertificateError) Remedy() string {
	return "issue a certificate with `flaxfront keys issue`, or bring " + AuthorityCert + " and " + RevocationFile + " up to date, then send SIGHUP"
}
