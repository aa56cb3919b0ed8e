package sru

// This file encodes the explain response and decodes the search responses of other servers, within bounds.

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"flaxfront/internal/protocols/query"
)

// Explain returns an explain response: the server's address and database, its indexes and record schemas, and the most records that
// one response has.
func Explain(v Version, host string, port int, database, title string, indexes []string, schemas [][2]string, maximumRecords int) []byte {
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
	w.raw(`<setting type="maximumRecords">` + strconv.Itoa(maximumRecords) + `</setting>`)
	w.raw("</configInfo></explain></recordData></record></explainResponse>\n")
	return w.b
}

// Indexes returns the names of the supported indexes, each with its context set.
func Indexes() []string { return query.Indexes() }

// ParseResponse decodes a searchRetrieve response of any version. A record's body is the content of recordData, unescaped if the
// record is sent as a string.
func ParseResponse(b []byte) (*Response, error) {
	var doc struct {
		XMLName xml.Name
		Counts  []int `xml:"numberOfRecords"`
		Records []struct {
			Schema   string `xml:"recordSchema"`
			Packing  string `xml:"recordPacking"`
			Escaping string `xml:"recordXMLEscaping"`
			Data     []struct {
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
	if err := checkBounds(b); err != nil {
		return nil, fmt.Errorf("sru: response: %w", err)
	}
	if err := xml.Unmarshal(b, &doc); err != nil {
		return nil, fmt.Errorf("sru: response: %w", err)
	}
	if doc.XMLName.Local != "searchRetrieveResponse" || len(doc.Counts) != 1 || doc.Counts[0] < 0 {
		return nil, fmt.Errorf("sru: response: %.40q is not a searchRetrieveResponse with one numberOfRecords", doc.XMLName.Local)
	}
	r := &Response{Count: doc.Counts[0]}
	for i, x := range doc.Records {
		if len(x.Data) != 1 {
			return nil, fmt.Errorf("sru: response: record %d has %d elements recordData instead of 1", i+1, len(x.Data))
		}
		data := x.Data[0]
		record := Record{Schema: x.Schema, Body: bytes.TrimSpace(data.Inner)}
		if x.Packing == "string" || x.Escaping == "string" {
			record.Body = []byte(data.Text)
		}
		if strings.HasPrefix(x.Schema, "info:srw/schema/1/diagnostics") {
			record.Fault = NewDiagnostic(65, "%.100s", data.Text)
		}
		r.Records = append(r.Records, record)
	}
	for _, d := range doc.Diagnostics {
		code, _ := strconv.Atoi(d.URI[strings.LastIndexByte(d.URI, '/')+1:])
		r.Diagnostics = append(r.Diagnostics, &Diagnostic{code, d.Details, d.Message})
	}
	return r, nil
}

// checkBounds checks a document before it is decoded: its nesting is bounded, and it declares neither a document type nor entities.
func checkBounds(b []byte) error {
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
				return errors.New("elements nested too deep")
			}
		case xml.EndElement:
			depth--
		case xml.Directive:
			return errors.New("XML directives are not allowed")
		}
	}
}
