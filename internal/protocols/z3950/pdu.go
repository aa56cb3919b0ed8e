// Package z3950 reads and writes the messages of Z39.50 version 3 (ANSI/NISO Z39.50-2003, appendix A) that a catalogue's front
// and back need: init, search, present, delete, close. It owns their form. It must never open a connection, keep a session, or read
// a message beyond its bounds.
//
// Depends on protocols/ber, protocols/query. Concurrency: it keeps no state and starts no goroutine, so
// that its functions may be called from any goroutine; what they return is the caller's.
package z3950

import (
	"errors"
	"fmt"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// Object identifiers of record syntaxes and diagnostics.
const (
	MARC21          = "1.2.840.10003.5.10"
	SUTRS           = "1.2.840.10003.5.101"
	XML             = "1.2.840.10003.5.109.10"
	Bib1Diagnostics = "1.2.840.10003.4.1" // Bib-1's set of diagnostics
)

// MaxPDU bounds a message. Danger: a length that claims gigabytes, or an indefinite one that never ends.
const MaxPDU = 1 << 20

// Tags of messages.
const (
	tagInitRequest     = 20
	tagInitResponse    = 21
	tagSearchRequest   = 22
	tagSearchResponse  = 23
	tagPresentRequest  = 24
	tagPresentResponse = 25
	tagDeleteRequest   = 26
	tagDeleteResponse  = 27
	tagClose           = 48
)

// Common is what any message may carry.
type Common struct {
	ReferenceID []byte // what the other side wants back with the answer
}

// InitRequest opens a session.
type InitRequest struct {
	Common
	Version3                                    bool
	Search, Present                             bool
	Delete                                      bool
	NamedResultSets                             bool
	Concurrent                                  bool
	PreferredMessageSize, ExceptionalRecordSize int // bytes of a message, of a record
	User, Group, Password                       string
	ImplementationID, ImplementationName        string
	ImplementationVersion                       string
}

// InitResponse answers it.
type InitResponse struct {
	InitRequest
	Accepted bool
}

// SearchRequest asks for a result set.
type SearchRequest struct {
	Common
	SmallSetUpperBound, LargeSetLowerBound, MediumSetPresentNumber int // upper bound of small sets, lower of large ones, records of those between
	Replace                                                        bool
	ResultSet                                                      string
	Databases                                                      []string
	Syntax                                                         string // preferred, an object identifier
	AttributeSet                                                   string // of attributes
	Query                                                          *query.RPN
}

// Statuses of a result set after a search that failed.
const (
	Subset      = 1
	Interim     = 2
	NoResultSet = 3
)

// SearchResponse answers it.
type SearchResponse struct {
	Common
	Count, Returned, NextPosition int
	OK                            bool
	ResultSetStatus               int // 0: none is told
	PresentStatus                 int // 0: none is told
	Records                       Records
}

// PresentRequest asks for records of a result set.
type PresentRequest struct {
	Common
	ResultSet      string
	Start, Want    int
	ElementSetName string // such as F or B
	Syntax         string
}

// Statuses of presenting.
const (
	Success  = 0
	Partial1 = 1 // not all, as asked by access control
	Partial2 = 2 // not all fit into a message
	Partial3 = 3
	Partial4 = 4
	Failure  = 5
)

// PresentResponse answers it.
type PresentResponse struct {
	Common
	Returned, NextPosition, Status int
	Records                        Records
}

// DeleteRequest drops result sets: those named, or all.
type DeleteRequest struct {
	Common
	All        bool
	ResultSets []string
}

// DeleteResponse answers it: 0 success, 1 there was none such.
type DeleteResponse struct {
	Common
	Status int
}

// Close ends a session.
type Close struct {
	Common
	Reason int // 0 finished, 1 shutdown, 2 system problem, 3 cost limit, 4 resources, 5 security violation, 6 protocol error, 7 lack of activity
	Text   string
}

// Record is one of a response: a record, or a diagnostic in its place.
type Record struct {
	Database string
	Syntax   string
	Body     []byte
	Fault    *Fault
}

// Records are those of a response, or why there are none.
type Records struct {
	All   []Record
	Fault *Fault // a non-surrogate diagnostic
}

// Fault is a diagnostic of Bib-1.
type Fault struct {
	Code int
	Text string
}

// Message is any of the above.
type Message interface{ append(w *ber.Writer) }

// ErrProtocol is a message that can't be used. The connection can't be trusted any more.
var ErrProtocol = errors.New("z39.50: protocol error")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Options of init, by their bits.
const (
	optSearch          = 0
	optPresent         = 1
	optDelete          = 2
	optConcurrent      = 13
	optNamedResultSets = 14
)
