package keys

// This file defines the errors of keys and certificates.

import (
	"fmt"
	"io/fs"
)

// NameError is returned for an identity with an invalid, possibly ambiguous, site or broker name.
type NameError struct{ ID ID }

func (e *NameError) Error() string {
	return fmt.Sprintf("invalid site %q or broker %q: each must be 1 to 63 of a-z, 0-9, dots and hyphens, and not begin with a dot or hyphen",
		e.ID.Site, e.ID.Broker)
}

// Remedy returns what an operator can do.
func (e *NameError) Remedy() string {
	return "name site and broker with a-z, 0-9, dots and hyphens only"
}

// ExposedKeyError is returned for a private key file that others may read.
type ExposedKeyError struct {
	Path string
	Mode fs.FileMode
}

func (e *ExposedKeyError) Error() string {
	return fmt.Sprintf("%s may be read by others (mode %o, must be 600)", e.Path, e.Mode)
}

// Remedy returns what an operator can do.
func (e *ExposedKeyError) Remedy() string {
	return "chmod 600 " + e.Path + "; if anybody else could have read it, issue a new one and revoke the old"
}

// FileError is returned for a file whose content is invalid.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *FileError) Remedy() string {
	return "copy or issue " + e.Path + " anew (flaxfront keys), then try `flaxfront keys check`"
}

// CertificateError is returned for a certificate that is rejected.
type CertificateError struct {
	Serial string // "": no certificate was presented
	Err    error
}

func (e *CertificateError) Error() string {
	if e.Serial == "" {
		return fmt.Sprintf("certificate: %v", e.Err)
	}
	return fmt.Sprintf("certificate %s: %v", e.Serial, e.Err)
}

func (e *CertificateError) Unwrap() error { return e.Err }

// Remedy returns what an operator can do.
func (e *CertificateError) Remedy() string {
	return "issue a certificate with `flaxfront keys issue`, or bring " + AuthorityCert + " and " + RevocationFile + " up to date, then send SIGHUP"
}
