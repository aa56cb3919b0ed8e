package sru

// This file encodes search responses and checks that records are well-formed XML.

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Record is one record of a response.
type Record struct {
	Schema   string
	Body     []byte
	Position int
	Fault    *Diagnostic // sent instead of Body, if not nil
}

// Response is a searchRetrieve response.
type Response struct {
	Version            Version
	Count              int
	Partial            bool // the result is partial, and Count the least number of records
	ResultSet          string
	Records            []Record
	Escaped            bool
	NextRecordPosition int // 0: no further records
	Diagnostics        []*Diagnostic
	Query              string // the request's query, which the response echoes
}

// CheckWellFormed returns an error unless a record can be embedded in a response: it must be one element, nested at most MaxDepth deep,
// without document type and entities. Otherwise a record could close or add elements of the response, or expand without bound.
func CheckWellFormed(record []byte) error {
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

// Sizes of an encoded response, in bytes. A buffer that grows by doubling has twice what is in it.
const (
	responseOverhead = 1 << 10
	recordOverhead   = 512
	growthFactor     = 2
	escapeFactor     = 6 // the longest escape of one character
)

// Bytes returns an estimate of the memory that encoding the response takes.
func (r *Response) Bytes() int {
	perByte := growthFactor
	if r.Escaped {
		perByte *= escapeFactor
	}
	size := responseOverhead + len(r.Query)*growthFactor*escapeFactor
	for i := range r.Records {
		size += recordOverhead + len(r.Records[i].Body)*perByte
	}
	return size
}

// Append appends the encoded response to b.
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
	if r.NextRecordPosition > 0 {
		w.element("nextRecordPosition", strconv.Itoa(r.NextRecordPosition))
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
	xml.EscapeText(&b, text) // a bytes.Buffer returns no error
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
	namespace := "http://www.loc.gov/zing/srw/diagnostic/"
	if v == V20 {
		namespace = "http://docs.oasis-open.org/ns/search-ws/diagnostic"
	}
	w.raw(`<diagnostic xmlns="` + namespace + `">`)
	w.element("uri", fmt.Sprintf("info:srw/diagnostic/1/%d", d.Code))
	if d.Details != "" {
		w.element("details", d.Details)
	}
	w.element("message", d.Message)
	w.raw("</diagnostic>")
}
