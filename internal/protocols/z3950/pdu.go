// Package z3950 encodes and decodes the messages of Z39.50 version 3 (ANSI/NISO Z39.50-2003, appendix A) that the front for clients and
// the connections to nodes need: init, search, present, delete, close. It opens no connections and keeps no sessions. The size of a
// message is bounded.
//
// Depends on protocols/ber, protocols/query. Concurrency: the package keeps no state and starts no goroutines;
// its functions may be called from any goroutine, and the caller owns what they return.
package z3950

import (
	"errors"
	"fmt"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// Object identifiers of record syntaxes and of the diagnostic set.
const (
	MARC21          = "1.2.840.10003.5.10"
	SUTRS           = "1.2.840.10003.5.101"
	XML             = "1.2.840.10003.5.109.10"
	Bib1Diagnostics = "1.2.840.10003.4.1" // diagnostic set Bib-1
)

// MaxPDU bounds the bytes of a message, against lengths that claim gigabytes and indefinite lengths that never end.
const MaxPDU = 1 << 20

// MaxRequest bounds the bytes of a client's message. A query within the bounds of package query takes less than half of it.
const MaxRequest = 256 << 10

// Tags of the messages (PDUs).
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

// Common has the field that every message may have.
type Common struct {
	ReferenceID []byte // the client's reference, which the answer repeats
}

// InitRequest opens a session.
type InitRequest struct {
	Common
	Version3                                    bool
	Search, Present                             bool
	Delete                                      bool
	NamedResultSets                             bool
	Concurrent                                  bool
	PreferredMessageSize, ExceptionalRecordSize int // in bytes
	User, Group, Password                       string
	ImplementationID, ImplementationName        string
	ImplementationVersion                       string
}

// InitResponse answers an InitRequest.
type InitResponse struct {
	InitRequest
	Accepted bool
}

// SearchRequest asks the server to run a query and to create a result set. The response includes all records of a set of at most
// SmallSetUpperBound, none of a set of at least LargeSetLowerBound, and MediumSetPresentNumber records of one in between.
type SearchRequest struct {
	Common
	SmallSetUpperBound, LargeSetLowerBound, MediumSetPresentNumber int
	Replace                                                        bool
	ResultSet                                                      string
	Databases                                                      []string
	Syntax                                                         string // preferred record syntax, an object identifier
	AttributeSet                                                   string // object identifier of the query's attribute set
	Query                                                          *query.RPN
}

// Result set statuses of a search that failed or has a partial result (Subset, Interim).
const (
	Subset      = 1
	Interim     = 2
	NoResultSet = 3
)

// SearchResponse answers a SearchRequest.
type SearchResponse struct {
	Common
	Count, Returned, NextPosition int
	OK                            bool
	ResultSetStatus               int // 0: not given
	PresentStatus                 int // 0: not given
	Records                       Records
}

// PresentRequest asks for records of a result set, by the position of the first, counted from 1, and their number (Want).
type PresentRequest struct {
	Common
	ResultSet      string
	Start, Want    int
	ElementSetName string // such as F (full) or B (brief)
	Syntax         string
}

// Present statuses.
const (
	Success  = 0
	Partial1 = 1 // not all records, because of access control
	Partial2 = 2 // not all records fit into a message
	Partial3 = 3 // not all records, because of resource control, at the client's request
	Partial4 = 4 // not all records, because of resource control, by the server
	Failure  = 5
)

// PresentResponse answers a PresentRequest.
type PresentResponse struct {
	Common
	Returned, NextPosition, Status int
	Records                        Records
}

// DeleteRequest asks the server to delete the named result sets, or all.
type DeleteRequest struct {
	Common
	All        bool
	ResultSets []string
}

// DeleteResponse answers a DeleteRequest. Status 0 is success, 1 means that a result set did not exist.
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

// Record is one record of a response, or a surrogate diagnostic in its place.
type Record struct {
	Database string
	Syntax   string
	Body     []byte
	Fault    *Fault
}

// Records has the records of a response, or a diagnostic that says why there are none.
type Records struct {
	All   []Record
	Fault *Fault // a non-surrogate diagnostic
}

// Fault is a Bib-1 diagnostic.
type Fault struct {
	Code int
	Text string
}

// Message is any of the messages above.
type Message interface{ append(w *ber.Writer) }

// ErrProtocol is the error of a malformed message. The connection must be closed, as it is not known where the next message begins.
var ErrProtocol = errors.New("z39.50: protocol error")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Bits of the options in init.
const (
	optSearch          = 0
	optPresent         = 1
	optDelete          = 2
	optConcurrent      = 13
	optNamedResultSets = 14
)
