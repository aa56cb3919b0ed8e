// Package sru decodes requests and encodes responses of SRU: versions 1.1 and 1.2 as published by the Library of Congress, and 2.0 of
// OASIS searchRetrieve part 3. It also decodes the responses of other servers. It runs no searches. A request with a parameter that
// its version does not define is an error.
//
// Depends on protocols/query. Concurrency: the package keeps no state and starts no goroutines; its functions
// may be called from any goroutine, and the caller owns what they return.
package sru

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"flaxfront/internal/protocols/query"
)

// Version is a version of the protocol.
type Version uint8

// The supported versions.
const (
	V11 Version = iota
	V12
	V20
)

func (v Version) String() string { return [...]string{"1.1", "1.2", "2.0"}[v] }

// namespace returns the XML namespace of responses.
func (v Version) namespace() string {
	if v == V20 {
		return "http://docs.oasis-open.org/ns/search-ws/sruResponse"
	}
	return "http://www.loc.gov/zing/srw/"
}

// Diagnostic is a diagnostic of info:srw/diagnostic/1.
type Diagnostic struct {
	Code    int
	Details string
	Message string
}

func (d *Diagnostic) Error() string {
	return fmt.Sprintf("sru: diagnostic %d: %s: %s", d.Code, d.Message, d.Details)
}

// messages has the standard's message for each diagnostic that is sent.
var messages = map[int]string{1: "General system error", 2: "System temporarily unavailable", 4: "Unsupported operation", 5: "Unsupported version",
	6: "Unsupported parameter value", 7: "Mandatory parameter not supplied", 8: "Unsupported parameter", 10: "Query syntax error",
	16: "Unsupported index", 19: "Unsupported relation", 20: "Unsupported relation modifier", 27: "Empty term unsupported",
	28: "Masking character not supported", 37: "Unsupported boolean operator", 38: "Too many boolean operators in query",
	39: "Proximity not supported", 50: "Result sets not supported", 51: "Result set does not exist",
	59: "Result set created with valid partial results available", 61: "First record position out of range",
	66: "Unknown schema for retrieval", 67: "Record not available in this schema", 71: "Unsupported record packing", 80: "Sort not supported"}

// NewDiagnostic returns the diagnostic of a code, with formatted details.
func NewDiagnostic(code int, format string, args ...any) *Diagnostic {
	return &Diagnostic{code, fmt.Sprintf(format, args...), messages[code]}
}

// Request is a decoded request.
type Request struct {
	Version     Version
	Explain     bool
	QueryText   string // the query as received
	Query       *query.Query
	StartRecord int // position of the first record, counted from 1
	Most        int // maximumRecords; -1: not given
	Schema      string
	Escaped     bool // records are sent as escaped text, not as XML elements
}

// parameters lists the parameters of searchRetrieve by version, in lower case. Those with the prefix x- are extensions, which every
// version allows.
var parameters = map[Version][]string{
	V11: {"operation", "version", "query", "startrecord", "maximumrecords", "recordpacking", "recordschema", "recordxpath", "resultsetttl",
		"sortkeys", "stylesheet", "extrarequestdata"},
	V12: {"operation", "version", "query", "startrecord", "maximumrecords", "recordpacking", "recordschema", "resultsetttl", "stylesheet",
		"extrarequestdata"},
	V20: {"operation", "version", "query", "querytype", "startrecord", "maximumrecords", "recordxmlescaping", "recordpacking", "recordschema",
		"resultsetttl", "stylesheet", "sortkeys", "rendering", "httpaccept", "responsetype", "facetlimit", "facetstart", "facetsort", "facetcount"},
}

// Parse decodes the parameters of a request. The request has the version for the response even if there is a diagnostic.
func Parse(values url.Values) (r Request, d *Diagnostic) {
	r = Request{Version: V20, StartRecord: 1, Most: -1}
	get := func(name string) (value string) {
		for key, all := range values {
			if strings.EqualFold(key, name) && len(all) > 0 {
				if len(all) > 1 || value != "" {
					d = NewDiagnostic(6, "%s is given twice", name)
				}
				value = all[0]
			}
		}
		return value
	}
	operation, version := get("operation"), get("version")
	switch {
	case version == "" && operation == "":
	case version == "" || version == "1.2":
		r.Version = V12
	case version == "1.1":
		r.Version = V11
	case version == "2.0":
	default:
		r.Version = V12
		return r, NewDiagnostic(5, "1.2") // the highest version with this form of request
	}
	text := get("query")
	switch operation {
	case "explain":
		r.Explain = true
	case "searchRetrieve", "":
		r.Explain = operation == "" && text == ""
	default: // includes scan, which is not supported
		return r, NewDiagnostic(4, "%.40s", operation)
	}
	if d != nil || r.Explain {
		return r, d
	}
	for key := range values {
		if name := strings.ToLower(key); !strings.HasPrefix(name, "x-") && !slices.Contains(parameters[r.Version], name) {
			return r, NewDiagnostic(8, "%.40s", key)
		}
	}
	if text == "" {
		return r, NewDiagnostic(7, "query")
	}
	if kind := get("queryType"); kind != "" && !strings.EqualFold(kind, "cql") {
		return r, NewDiagnostic(6, "queryType %.40s", kind)
	}
	for _, n := range []struct {
		name  string
		to    *int
		least int
	}{{"startRecord", &r.StartRecord, 1}, {"maximumRecords", &r.Most, 0}} {
		if value := get(n.name); value != "" {
			x, err := strconv.Atoi(value)
			if err != nil || x < n.least || x > 1<<30 {
				return r, NewDiagnostic(6, "%s %.40s", n.name, value)
			}
			*n.to = x
		}
	}
	packing := get("recordPacking")
	if r.Version == V20 {
		packing = get("recordXMLEscaping")
	}
	switch packing {
	case "", "xml":
		r.Escaped = packing == "" && r.Version == V11 // the default of version 1.1 is string
	case "string":
		r.Escaped = true
	default:
		return r, NewDiagnostic(71, "%.40s", packing)
	}
	if get("sortKeys") != "" {
		return r, NewDiagnostic(80, "sortKeys")
	}
	r.Schema, r.QueryText = get("recordSchema"), text
	if d != nil {
		return r, d
	}
	var err error
	if r.Query, err = query.ParseCQL(text); err != nil {
		return r, Fault(err)
	}
	if len(r.Query.Sort) > 0 {
		return r, NewDiagnostic(80, "sortby %.40s", r.Query.Sort[0].Index)
	}
	return r, nil
}

// Fault returns the diagnostic for an error of package query.
func Fault(err error) *Diagnostic {
	var f *query.Fault
	if errors.As(err, &f) {
		return NewDiagnostic(f.SRU, "%s", f.Details)
	}
	return NewDiagnostic(10, "%.200s", err)
}

// MaxDepth bounds the nesting of a record's XML elements, MaxRecord a record's size in bytes.
const (
	MaxDepth  = 64
	MaxRecord = 1 << 20
)
