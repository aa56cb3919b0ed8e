// Package httpwire reads and writes HTTP/1.1 messages on connections from clients, and to discovery and nodes that speak SRU. It handles
// framing: heads, and bodies with a length or in chunks. It does not interpret messages. It must never keep more of a message than its limits
// allow, or guess where an ambiguous message ends.
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

// Limits in bytes: of a body (MaxBody), a line (maxLine) and all header fields together (maxHead). maxFields limits the number of header fields.
const (
	MaxBody   = 64 << 10
	maxLine   = 4 << 10
	maxFields = 64
	maxHead   = 16 << 10

	initialFields = 8  // header fields for which memory is allocated at first
	bytesPerField = 64 // of memory, beside its line: the slice of fields grows by doubling
	growthFactor  = 2  // memory of a buffer that grows by doubling, for each byte in it
)

// MessageError is returned for an invalid message. The connection can't be used any longer, as the end of the message is not known.
type MessageError struct {
	Status int // HTTP status for the client
	Reason string
}

func (f *MessageError) Error() string { return f.Reason }

func messageErrorf(status int, format string, args ...any) error {
	return &MessageError{status, fmt.Sprintf(format, args...)}
}

// Field is a header field; its name is in lower case.
type Field struct{ Name, Value string }

// Message is a request or a response.
type Message struct {
	Method, Path, Query string // of a request
	Status              int    // of a response
	Fields              []Field
	Body                []byte
	Close               bool // the sender closes the connection after this message
}

// Get returns the value of a header field, the last one if it is repeated, and the number of times it occurs.
func (m *Message) Get(name string) (value string, times int) {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			value = m.Fields[i].Value
			times++
		}
	}
	return value, times
}

// Reserve reserves bytes for a message that is being read, and reports false if they are not there. Its caller gives them back when it has done
// with the message, whether that could be read or not.
type Reserve func(bytes int) bool

// ErrNoMemory is returned for a message for which no memory could be reserved.
var ErrNoMemory = errors.New("no memory for the message; send it again later, or a smaller one")

// source is where a message is read from.
type source struct {
	*bufio.Reader
	reserve Reserve // nil: nothing is reserved
}

// take reserves bytes before they are kept.
func (s source) take(bytes int) error {
	if s.reserve == nil || s.reserve(bytes) {
		return nil
	}
	return ErrNoMemory
}

// ReadRequest reads one complete request. It returns io.EOF if the connection ended before the request began.
func ReadRequest(r *bufio.Reader) (*Message, error) { return ReadRequestWithin(r, nil) }

// ReadRequestWithin reads one complete request, and reserves the memory that it takes.
func ReadRequestWithin(r *bufio.Reader, reserve Reserve) (*Message, error) {
	s := source{r, reserve}
	line, err := s.readLine()
	if err == nil && line == "" { // one empty line before a request is ignored
		line, err = s.readLine()
	}
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, ok := strings.Cut(rest, " ")
	if !ok || !isToken(method) || !strings.HasPrefix(target, "/") {
		return nil, messageErrorf(400, "invalid request line %.60q", line)
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, messageErrorf(505, "unsupported HTTP version %.20q", version)
	}
	m := &Message{Method: method}
	m.Path, m.Query, _ = strings.Cut(target, "?")
	if err := m.readFieldsAndBody(s, version == "HTTP/1.0", false); err != nil {
		return nil, insideMessage(err)
	}
	if _, hosts := m.Get("host"); hosts > 1 || hosts == 0 && version == "HTTP/1.1" {
		return nil, messageErrorf(400, "request with %d Host fields", hosts)
	}
	return m, nil
}

// ReadResponse reads one complete response. It returns io.EOF if the connection ended before the response began.
func ReadResponse(r *bufio.Reader) (*Message, error) { return ReadResponseWithin(r, nil) }

// ReadResponseWithin reads one complete response, and reserves the memory that it takes.
func ReadResponseWithin(r *bufio.Reader, reserve Reserve) (*Message, error) {
	s := source{r, reserve}
	line, err := s.readLine()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, messageErrorf(502, "invalid status line %.60q", line)
	}
	m := &Message{Status: status}
	if err := m.readFieldsAndBody(s, version == "HTTP/1.0", true); err != nil {
		return nil, insideMessage(err)
	}
	return m, nil
}

// insideMessage returns an error that occurred inside a message: io.EOF becomes io.ErrUnexpectedEOF.
func insideMessage(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (m *Message) readFieldsAndBody(s source, http10, response bool) (err error) {
	m.Close = http10
	if m.Fields, err = s.readFields(); err != nil {
		return err
	}
	framing := newFraming(!http10)
	for _, f := range m.Fields {
		switch f.Name {
		case "connection":
			for option := range strings.SplitSeq(f.Value, ",") {
				if option = strings.TrimSpace(option); strings.EqualFold(option, "close") {
					m.Close = true
				} else if http10 && strings.EqualFold(option, "keep-alive") {
					m.Close = false
				}
			}
		case "expect":
			return messageErrorf(417, "unsupported expect %.40q", f.Value)
		default:
			if err := framing.addField(f.Name, f.Value); err != nil {
				return err
			}
		}
	}
	if err := framing.check(); err != nil {
		return err
	}
	switch {
	case framing.chunked:
		m.Body, err = s.readChunks()
	case framing.length > MaxBody:
		return messageErrorf(413, "body of %d bytes is too large", framing.length)
	case framing.length > 0:
		m.Body, err = s.readBody(framing.length)
	case framing.length == unstatedLength && response && m.Status != 204 && m.Status != 304: // the body ends with the connection
		m.Close = true
		m.Body, err = s.readToEnd()
	}
	return err
}

// readBody reads a body of a known length.
func (s source) readBody(length int) ([]byte, error) {
	if s.reserve == nil && s.Buffered() < length {
		var body bytes.Buffer
		_, err := io.CopyN(&body, s, int64(length)) // memory is allocated as bytes arrive, not by the stated length
		return body.Bytes(), err
	}
	if err := s.take(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(s, body)
	return body, err
}

// readToEnd reads a body that ends with the connection.
func (s source) readToEnd() ([]byte, error) {
	if err := s.take(growthFactor * MaxBody); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(s, MaxBody+1))
	if len(body) > MaxBody {
		return nil, messageErrorf(502, "body longer than %d bytes", MaxBody)
	}
	return body, err
}

// bufferSize is that of a reader: a usual request fits, and longer lines are read in pieces. Many connections have a reader each.
const bufferSize = 1 << 10

// NewReader returns a reader for messages.
func NewReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, bufferSize) }
