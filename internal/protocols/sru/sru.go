// Package sru reads requests and writes responses of SRU: versions 1.1 and 1.2 as the Library of Congress publishes them, and 2.0 as
// OASIS searchRetrieve part 3 does. It owns their form. It must never search, or let a request through that its version does not
// know.
//
// Depends on protocols/query. Concurrency: it keeps no state and starts no goroutine, so that its functions
// may be called from any goroutine; what they return is the caller's.
package sru

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"flaxfront/internal/protocols/query"
)

// Version of the protocol.
type Version uint8

// The versions that are spoken.
const (
	V11 Version = iota
	V12
	V20
)

func (v Version) String() string { return [...]string{"1.1", "1.2", "2.0"}[v] }

// namespace of responses.
func (v Version) namespace() string {
	if v == V20 {
		return "http://docs.oasis-open.org/ns/search-ws/sruResponse"
	}
	return "http://www.loc.gov/zing/srw/"
}

// Diagnostic is one of info:srw/diagnostic/1.
type Diagnostic struct {
	Code    int
	Details string
	Message string
}

func (d *Diagnostic) Error() string {
	return fmt.Sprintf("sru: diagnostic %d: %s: %s", d.Code, d.Message, d.Details)
}

// Messages of the diagnostics that are given here.
var messages = map[int]string{1: "General system error", 2: "System temporarily unavailable", 4: "Unsupported operation", 5: "Unsupported version",
	6: "Unsupported parameter value", 7: "Mandatory parameter not supplied", 8: "Unsupported parameter", 10: "Query syntax error",
	16: "Unsupported index", 19: "Unsupported relation", 20: "Unsupported relation modifier", 27: "Empty term unsupported",
	28: "Masking character not supported", 37: "Unsupported boolean operator", 38: "Too many boolean operators in query",
	39: "Proximity not supported", 50: "Result sets not supported", 51: "Result set does not exist",
	59: "Result set created with valid partial results available", 61: "First record position out of range",
	66: "Unknown schema for retrieval", 67: "Record not available in this schema", 71: "Unsupported record packing", 80: "Sort not supported"}

// Diagnose makes a diagnostic.
func Diagnose(code int, format string, args ...any) *Diagnostic {
	return &Diagnostic{code, fmt.Sprintf(format, args...), messages[code]}
}

// Request is one request.
type Request struct {
	Version Version
	Explain bool
	Text    string // the query as it came
	Query   *query.Query
	Start   int // counted from 1
	Most    int // -1: the server's choice
	Schema  string
	Escaped bool // records as text, not as elements
}

// parameters of searchRetrieve by version; x- ones are anybody's own.
var parameters = map[Version][]string{
	V11: {"operation", "version", "query", "startrecord", "maximumrecords", "recordpacking", "recordschema", "recordxpath", "resultsetttl",
		"sortkeys", "stylesheet", "extrarequestdata"},
	V12: {"operation", "version", "query", "startrecord", "maximumrecords", "recordpacking", "recordschema", "resultsetttl", "stylesheet",
		"extrarequestdata"},
	V20: {"operation", "version", "query", "querytype", "startrecord", "maximumrecords", "recordxmlescaping", "recordpacking", "recordschema",
		"resultsetttl", "stylesheet", "sortkeys", "rendering", "httpaccept", "responsetype", "facetlimit", "facetstart", "facetsort", "facetcount"},
}

// Parse reads the parameters of a request. The version of the answer is told in any case.
func Parse(values url.Values) (r Request, d *Diagnostic) {
	r = Request{Version: V20, Start: 1, Most: -1}
	get := func(name string) (value string) {
		for key, all := range values {
			if strings.EqualFold(key, name) && len(all) > 0 {
				if len(all) > 1 || value != "" {
					d = Diagnose(6, "%s is given twice", name)
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
		return r, Diagnose(5, "1.2") // the highest that has this form of request
	}
	text := get("query")
	switch operation {
	case "explain":
		r.Explain = true
	case "searchRetrieve", "":
		r.Explain = operation == "" && text == ""
	default: // scan among them
		return r, Diagnose(4, "%.40s", operation)
	}
	if d != nil || r.Explain {
		return r, d
	}
	for key := range values {
		if name := strings.ToLower(key); !strings.HasPrefix(name, "x-") && !slices.Contains(parameters[r.Version], name) {
			return r, Diagnose(8, "%.40s", key)
		}
	}
	if text == "" {
		return r, Diagnose(7, "query")
	}
	if kind := get("queryType"); kind != "" && !strings.EqualFold(kind, "cql") {
		return r, Diagnose(6, "queryType %.40s", kind)
	}
	for _, n := range []struct {
		name  string
		to    *int
		least int
	}{{"startRecord", &r.Start, 1}, {"maximumRecords", &r.Most, 0}} {
		if value := get(n.name); value != "" {
			x, err := strconv.Atoi(value)
			if err != nil || x < n.least || x > 1<<30 {
				return r, Diagnose(6, "%s %.40s", n.name, value)
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
		r.Escaped = packing == "" && r.Version == V11 // 1.1 has string for its default
	case "string":
		r.Escaped = true
	default:
		return r, Diagnose(71, "%.40s", packing)
	}
	if get("sortKeys") != "" {
		return r, Diagnose(80, "sortKeys")
	}
	r.Schema, r.Text = get("recordSchema"), text
	if d != nil {
		return r, d
	}
	var err error
	if r.Query, err = query.ParseCQL(text); err != nil {
		return r, Fault(err)
	}
	if len(r.Query.Sort) > 0 {
		return r, Diagnose(80, "sortby %.40s", r.Query.Sort[0].Index)
	}
	return r, nil
}

// Fault makes a diagnostic of what is wrong with a query.
func Fault(err error) *Diagnostic {
	var f *query.Fault
	if errors.As(err, &f) {
		return Diagnose(f.SRU, "%s", f.Details)
	}
	return Diagnose(10, "%.200s", err)
}

// Record is one of a response.
type Record struct {
	Schema   string
	Body     []byte
	Position int
	Fault    *Diagnostic // instead
}

// Response is one response.
type Response struct {
	Version     Version
	Count       int
	Partial     bool // not all parts are in: the count is the least there is
	ResultSet   string
	Records     []Record
	Escaped     bool
	Next        int // 0: there is none
	Diagnostics []*Diagnostic
	Query       string // echoed
}

// MaxDepth and MaxRecord bound what is taken for the XML of a record.
const (
	MaxDepth  = 64
	MaxRecord = 1 << 20
)

// WellFormed tells whether a record can stand among a response's elements: one element, nested no more than MaxDepth deep, no
// document type and no entities of its own. Danger: a record that opens another's elements, or one that expands without end.
func WellFormed(record []byte) error {
	if len(record) > MaxRecord {
		return fmt.Errorf("%d bytes", len(record))
	}
	d := xml.NewDecoder(bytes.NewReader(record))
	depth, roots := 0, 0
	for {
		tok, err := d.Token()
		switch {
		case errors.Is(err, io.EOF) && depth == 0 && roots == 1:
			return nil
		case err != nil:
			return err
		}
		switch t := tok.(type) {
		case xml.StartElement:
			if depth == 0 {
				roots++
			}
			if depth++; depth > MaxDepth || roots > 1 {
				return errors.New("nested too deep, or more than one element")
			}
		case xml.EndElement:
			depth--
		case xml.Directive, xml.ProcInst:
			return errors.New("a directive or an instruction within a record")
		case xml.CharData:
			if depth == 0 && len(bytes.TrimSpace(t)) > 0 {
				return errors.New("text beside the element")
			}
		}
	}
}

// Append writes a response.
func (r *Response) Append(b []byte) []byte {
	w := writer{b}
	w.raw(xml.Header)
	w.raw(`<searchRetrieveResponse xmlns="` + r.Version.namespace() + `">`)
	if r.Version == V20 {
		w.element("version", "2.0")
	} else {
		w.element("version", r.Version.String())
	}
	w.element("numberOfRecords", strconv.Itoa(r.Count))
	if r.ResultSet != "" {
		w.element("resultSetId", r.ResultSet)
	}
	if len(r.Records) > 0 {
		w.raw("<records>")
		for i := range r.Records {
			w.record(r, &r.Records[i])
		}
		w.raw("</records>")
	}
	if r.Next > 0 {
		w.element("nextRecordPosition", strconv.Itoa(r.Next))
	}
	if r.Query != "" {
		w.raw("<echoedSearchRetrieveRequest>")
		w.element("version", r.Version.String())
		w.element("query", r.Query)
		w.raw("</echoedSearchRetrieveRequest>")
	}
	if len(r.Diagnostics) > 0 {
		w.raw("<diagnostics>")
		for _, d := range r.Diagnostics {
			w.diagnostic(r.Version, d)
		}
		w.raw("</diagnostics>")
	}
	if r.Partial && r.Version == V20 {
		w.element("resultCountPrecision", "info:srw/vocabulary/resultCountPrecision/1/minimum")
	}
	w.raw("</searchRetrieveResponse>\n")
	return w.b
}

type writer struct{ b []byte }

func (w *writer) raw(text string) { w.b = append(w.b, text...) }

func (w *writer) escaped(text []byte) {
	var b bytes.Buffer
	xml.EscapeText(&b, text) // a buffer takes everything
	w.b = append(w.b, b.Bytes()...)
}

func (w *writer) element(name, text string) {
	w.raw("<" + name + ">")
	w.escaped([]byte(text))
	w.raw("</" + name + ">")
}

func (w *writer) record(r *Response, x *Record) {
	w.raw("<record>")
	schema, packing := x.Schema, "xml"
	if x.Fault != nil {
		schema = "info:srw/schema/1/diagnostics-v1.1"
	} else if r.Escaped {
		packing = "string"
	}
	w.element("recordSchema", schema)
	if r.Version == V20 {
		w.element("recordXMLEscaping", packing)
	} else {
		w.element("recordPacking", packing)
	}
	w.raw("<recordData>")
	switch {
	case x.Fault != nil:
		w.diagnostic(r.Version, x.Fault)
	case r.Escaped:
		w.escaped(x.Body)
	default:
		w.b = append(w.b, x.Body...)
	}
	w.raw("</recordData>")
	w.element("recordPosition", strconv.Itoa(x.Position))
	w.raw("</record>")
}

func (w *writer) diagnostic(v Version, d *Diagnostic) {
	space := "http://www.loc.gov/zing/srw/diagnostic/"
	if v == V20 {
		space = "http://docs.oasis-open.org/ns/search-ws/diagnostic"
	}
	w.raw(`<diagnostic xmlns="` + space + `">`)
	w.element("uri", fmt.Sprintf("info:srw/diagnostic/1/%d", d.Code))
	if d.Details != "" {
		w.element("details", d.Details)
	}
	w.element("message", d.Message)
	w.raw("</diagnostic>")
}

// Explain writes the record that tells what there is.
func Explain(v Version, host string, port int, database, title string, indexes []string, schemas [][2]string, most int) []byte {
	w := writer{}
	w.raw(xml.Header)
	w.raw(`<explainResponse xmlns="` + v.namespace() + `">`)
	w.element("version", v.String())
	w.raw(`<record><recordSchema>http://explain.z3950.org/dtd/2.0/</recordSchema><recordPacking>xml</recordPacking><recordData>`)
	w.raw(`<explain xmlns="http://explain.z3950.org/dtd/2.0/"><serverInfo protocol="SRU" version="` + v.String() + `">`)
	w.element("host", host)
	w.element("port", strconv.Itoa(port))
	w.element("database", database)
	w.raw("</serverInfo><databaseInfo>")
	w.element("title", title)
	w.raw("</databaseInfo><indexInfo>")
	for _, i := range indexes {
		set, name, _ := strings.Cut(i, ".")
		w.raw(`<index><map><name set="`)
		w.escaped([]byte(set))
		w.raw(`">`)
		w.escaped([]byte(name))
		w.raw("</name></map></index>")
	}
	w.raw("</indexInfo><schemaInfo>")
	for _, s := range schemas {
		w.raw(`<schema identifier="`)
		w.escaped([]byte(s[1]))
		w.raw(`" name="`)
		w.escaped([]byte(s[0]))
		w.raw(`"/>`)
	}
	w.raw("</schemaInfo><configInfo>")
	w.raw(`<setting type="maximumRecords">` + strconv.Itoa(most) + `</setting>`)
	w.raw("</configInfo></explain></recordData></record></explainResponse>\n")
	return w.b
}

// Indexes are the ones that can be searched, by the names of their context sets.
func Indexes() []string { return query.Indexes() }

// ParseResponse reads a response of any of the versions. Records are taken as they stand, between the tags round them.
func ParseResponse(b []byte) (*Response, error) {
	var doc struct {
		XMLName xml.Name
		Count   *int `xml:"numberOfRecords"`
		Records []struct {
			Schema   string `xml:"recordSchema"`
			Packing  string `xml:"recordPacking"`
			Escaping string `xml:"recordXMLEscaping"`
			Data     struct {
				Inner []byte `xml:",innerxml"`
				Text  string `xml:",chardata"`
			} `xml:"recordData"`
		} `xml:"records>record"`
		Diagnostics []struct {
			URI     string `xml:"uri"`
			Details string `xml:"details"`
			Message string `xml:"message"`
		} `xml:"diagnostics>diagnostic"`
	}
	if err := bounded(b); err != nil {
		return nil, fmt.Errorf("sru: response: %w", err)
	}
	if err := xml.Unmarshal(b, &doc); err != nil {
		return nil, fmt.Errorf("sru: response: %w", err)
	}
	if doc.XMLName.Local != "searchRetrieveResponse" || doc.Count == nil || *doc.Count < 0 {
		return nil, fmt.Errorf("sru: %.40q is no response to a search", doc.XMLName.Local)
	}
	r := &Response{Count: *doc.Count}
	for _, x := range doc.Records {
		one := Record{Schema: x.Schema, Body: bytes.TrimSpace(x.Data.Inner)}
		if x.Packing == "string" || x.Escaping == "string" {
			one.Body = []byte(x.Data.Text)
		}
		if strings.HasPrefix(x.Schema, "info:srw/schema/1/diagnostics") {
			one.Fault = Diagnose(65, "%.100s", x.Data.Text)
		}
		r.Records = append(r.Records, one)
	}
	for _, d := range doc.Diagnostics {
		code, _ := strconv.Atoi(d.URI[strings.LastIndexByte(d.URI, '/')+1:])
		r.Diagnostics = append(r.Diagnostics, &Diagnostic{code, d.Details, d.Message})
	}
	return r, nil
}

// bounded goes through a document before it is taken apart: depth, and neither document type nor entities of its own.
func bounded(b []byte) error {
	d := xml.NewDecoder(bytes.NewReader(b))
	for depth := 0; ; {
		tok, err := d.RawToken()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch tok.(type) {
		case xml.StartElement:
			if depth++; depth > 2*MaxDepth {
				return errors.New("nested too deep")
			}
		case xml.EndElement:
			depth--
		case xml.Directive:
			return errors.New("a directive")
		}
	}
}
