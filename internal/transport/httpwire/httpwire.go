// Package httpwire reads and writes HTTP/1.1 messages, for clients and for discovery alike. It owns the framing:
// heads, bodies with a length or in chunks, and what makes either untrustworthy. It must never know what a message
// means, hold more of one than its limits, or guess where an unclear message ends.
//
// Depends on no package of this module. Concurrency: it keeps no state and starts no goroutine, so that its
// functions may be called from any goroutine; what they return is the caller's.
package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxBody bounds a body, maxLine a line, maxFields the header fields of a head and maxHead their bytes together.
const (
	MaxBody   = 64 << 10
	maxLine   = 4 << 10
	maxFields = 64
	maxHead   = 16 << 10

	usualFields = 8
)

// Fault is a message that can't be used. The connection it came on can't be trusted any more.
type Fault struct {
	Status int // what a client is told
	Why    string
}

func (f *Fault) Error() string { return f.Why }

func fault(status int, format string, args ...any) error {
	return &Fault{status, fmt.Sprintf(format, args...)}
}

// Field is one header field; its name is in lower case.
type Field struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	Method, Path, Query string // of a request
	Status              int    // of a response
	Fields              []Field
	Body                []byte
	Close               bool // the sender ends the connection after this
}

// Get returns the value of a header field and how often it stands there.
func (m *Message) Get(name string) (value string, times int) {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			value = m.Fields[i].Value
			times++
		}
	}
	return value, times
}

// ReadRequest reads one request whole. io.EOF means that none had begun.
func ReadRequest(r *bufio.Reader) (*Message, error) {
	line, err := readLine(r)
	if err == nil && line == "" { // one empty line before a request is forgiven
		line, err = readLine(r)
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || !strings.HasPrefix(target, "/") {
		return nil, fault(400, "request line %.60q", line)
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, fault(505, "version %.20q", version)
	}
	m := &Message{Method: method}
	m.Path, m.Query, _ = strings.Cut(target, "?")
	if err := m.readRest(r, version == "HTTP/1.0", false); err != nil {
		return nil, midway(err)
	}
	if _, hosts := m.Get("host"); hosts > 1 || hosts == 0 && version == "HTTP/1.1" {
		return nil, fault(400, "%d Host fields", hosts)
	}
	return m, nil
}

// ReadResponse reads one response whole. io.EOF means that none had begun.
func ReadResponse(r *bufio.Reader) (*Message, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, fault(502, "status line %.60q", line)
	}
	m := &Message{Status: status}
	if err := m.readRest(r, version == "HTTP/1.0", true); err != nil {
		return nil, midway(err)
	}
	return m, nil
}

// midway tells an end inside a message from one between two.
func midway(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (m *Message) readRest(r *bufio.Reader, old, response bool) (err error) {
	m.Close = old
	if m.Fields, err = readFields(r); err != nil {
		return err
	}
	length, chunked := -1, false
	for _, f := range m.Fields {
		switch f.Name {
		case "connection":
			for option := range strings.SplitSeq(f.Value, ",") {
				if option = strings.TrimSpace(option); strings.EqualFold(option, "close") {
					m.Close = true
				} else if old && strings.EqualFold(option, "keep-alive") {
					m.Close = false
				}
			}
		case "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || strings.HasPrefix(f.Value, "+") || length >= 0 && length != int(n) {
				return fault(400, "content-length %.40q", f.Value)
			}
			length = int(n)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(f.Value, "chunked") {
				return fault(501, "transfer-encoding %.40q", f.Value)
			}
			chunked = true
		case "expect":
			return fault(417, "expect %.40q", f.Value)
		}
	}
	switch {
	case chunked && (length >= 0 || old):
		return fault(400, "a length and chunks, or chunks in HTTP/1.0")
	case chunked:
		m.Body, err = readChunks(r)
	case length > MaxBody:
		return fault(413, "body of %d bytes", length)
	case length > 0 && r.Buffered() >= length: // it is all there
		m.Body = make([]byte, length)
		_, err = io.ReadFull(r, m.Body)
	case length > 0:
		var body bytes.Buffer
		_, err = io.CopyN(&body, r, int64(length)) // what is claimed is given room only as it comes
		m.Body = body.Bytes()
	case length < 0 && response && m.Status != 204 && m.Status != 304: // it ends with the connection
		m.Close = true
		if m.Body, err = io.ReadAll(io.LimitReader(r, MaxBody+1)); len(m.Body) > MaxBody {
			return fault(502, "body beyond %d bytes", MaxBody)
		}
	}
	return err
}

func readFields(r *bufio.Reader) (fields []Field, err error) {
	size := 0
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return fields, err
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, fault(400, "header line %.60q", line)
		}
		if fields == nil {
			fields = make([]Field, 0, usualFields)
		}
		if size += len(line); len(fields) == maxFields || size > maxHead {
			return nil, fault(431, "more than %d header fields, or %d bytes of them", maxFields, maxHead)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\x00\r") {
			return nil, fault(400, "control character in %s", name)
		}
		fields = append(fields, Field{lower(name), value})
	}
}

// known are names that come with most messages, as they are kept.
var known = [...]string{"host", "x-request-id", "x-tenant-id", "x-timeout-ms", "content-length", "cookie", "connection",
	"content-type", "x-retried", "transfer-encoding", "user-agent", "accept"}

// lower gives a name in lower case, the usual ones without making it anew.
func lower(name string) string {
	for _, k := range known {
		if len(k) == len(name) && strings.EqualFold(k, name) {
			return k
		}
	}
	return strings.ToLower(name)
}

func readChunks(r *bufio.Reader) ([]byte, error) {
	body := bytes.NewBuffer([]byte{})
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil || strings.HasPrefix(digits, "+") {
			return nil, fault(400, "chunk size %.40q", line)
		}
		if n == 0 {
			_, err := readFields(r)
			return body.Bytes(), err
		}
		if body.Len()+int(n) > MaxBody {
			return nil, fault(413, "chunks beyond %d bytes", MaxBody)
		}
		if _, err := io.CopyN(body, r, int64(n)); err != nil {
			return nil, err
		}
		if line, err := readLine(r); err != nil {
			return nil, err
		} else if line != "" {
			return nil, fault(400, "chunk longer than it says")
		}
	}
}

// readLine reads up to LF and drops the line's end; io.EOF means that not one byte came.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
		if len(line) > maxLine {
			err = bufio.ErrBufferFull
		}
	}
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", fault(431, "line beyond %d bytes", maxLine)
	case errors.Is(err, io.EOF) && len(line) > 0:
		return "", io.ErrUnexpectedEOF
	}
	return string(line), err
}

// NewReader makes a reader whose buffer holds the longest line.
func NewReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, maxLine+2) }

func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// AppendRequest encodes a request without a body.
func AppendRequest(b []byte, method, target, host string) []byte {
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, target, host)
}

// AppendResponse encodes a response with its length; fields are whole header lines without their end.
func AppendResponse(b []byte, status int, last bool, body []byte, fields ...string) []byte {
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reason(status)...), "\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(len(body)), 10), "\r\n"...)
	for _, f := range fields {
		b = append(append(b, f...), '\r', '\n')
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(append(b, '\r', '\n'), body...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 417:
		return "Expectation Failed"
	case 431:
		return "Request Header Fields Too Large"
	case 501:
		return "Not Implemented"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	default:
		return "Unknown"
	}
}
