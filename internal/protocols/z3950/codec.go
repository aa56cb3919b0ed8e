package z3950

// This file reads, encodes and decodes messages. It never reads beyond the end of a message.

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// Reserve reserves bytes for a message that is being read, and reports false if they are not there. Its caller gives them back when it has done
// with the message, whether that could be read or not.
type Reserve func(bytes int) bool

// ErrNoMemory is returned for a message for which no memory could be reserved. The connection can't be used any longer.
var ErrNoMemory = errors.New("no memory for the message; send it again later, or a smaller one")

// Read reads one message. Memory is allocated only as bytes arrive, whatever length the message claims. The error io.EOF means that the
// connection ended between two messages.
func Read(r *bufio.Reader) (Message, error) { return read(r, MaxPDU, nil) }

// ReadWithin reads one message as Read does, and reserves the memory that it takes.
func ReadWithin(r *bufio.Reader, reserve Reserve) (Message, error) { return read(r, MaxPDU, reserve) }

// ReadRequestWithin reads one message of a client, and reserves the memory that it takes. As many clients may send at once, its size is bounded more
// tightly, by MaxRequest.
func ReadRequestWithin(r *bufio.Reader, reserve Reserve) (Message, error) {
	return read(r, MaxRequest, reserve)
}

// Reading takes chunks of a message; each byte of one is in memory up to three times, in a buffer that grows by doubling and in the decoded fields.
const (
	chunkBytes    = 16 << 10
	copiesOfBytes = 3
)

func read(r *bufio.Reader, limit int, reserve Reserve) (Message, error) {
	var b []byte
	for {
		if len(b) > 0 {
			n, err := ber.Length(b, limit)
			if err != nil {
				return nil, protocolError("%v", err)
			}
			if n > 0 && n <= len(b) {
				return Decode(b[:n])
			}
			if n > len(b) { // the length is known, so that no byte of the next message is read
				read := len(b)
				for read < n {
					chunk := min(n-read, chunkBytes)
					if reserve != nil && !reserve(chunk*copiesOfBytes) {
						return nil, ErrNoMemory
					}
					b = append(b, make([]byte, chunk)...)
					if _, err := io.ReadFull(r, b[read:]); errors.Is(err, io.EOF) {
						return nil, io.ErrUnexpectedEOF
					} else if err != nil {
						return nil, err
					}
					read += chunk
				}
				continue
			}
		}
		c, err := r.ReadByte()
		if err != nil {
			if len(b) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(b) == 0 && c>>5 != 5 { // no message begins with this byte, so a client of another protocol gets an error at once
			return nil, protocolError("first byte %#x", c)
		}
		// Only while the length is unknown is the message read byte by byte. With an indefinite length it is decoded again at each byte, so
		// its size is bounded.
		if b = append(b, c); len(b) > maxIndefinite {
			return nil, protocolError("an element of indefinite length beyond %d bytes", maxIndefinite)
		}
	}
}

// maxIndefinite bounds the bytes of a message of indefinite length, which Read decodes again at each byte.
const maxIndefinite = 4 << 10

// Encode returns a message's encoding.
func Encode(m Message) []byte {
	var w ber.Writer
	m.append(&w)
	return w.Bytes()
}

// Decode decodes one complete message.
func Decode(b []byte) (Message, error) {
	e, rest, err := ber.Next(b)
	if err != nil || len(rest) > 0 || e.Class != ber.Context || !e.Constructed {
		return nil, protocolError("%d bytes are no message: %v", len(b), err)
	}
	var m Message
	switch e.Tag {
	case tagInitRequest:
		x := &InitRequest{}
		m, err = x, x.read(&e, nil)
	case tagInitResponse:
		x := &InitResponse{}
		m, err = x, x.read(&e, &x.Accepted)
	case tagSearchRequest:
		x := &SearchRequest{}
		m, err = x, x.read(&e)
	case tagSearchResponse:
		x := &SearchResponse{}
		m, err = x, x.read(&e)
	case tagPresentRequest:
		x := &PresentRequest{}
		m, err = x, x.read(&e)
	case tagPresentResponse:
		x := &PresentResponse{}
		m, err = x, x.read(&e)
	case tagDeleteRequest:
		x := &DeleteRequest{}
		m, err = x, x.read(&e)
	case tagDeleteResponse:
		x := &DeleteResponse{}
		m, err = x, x.read(&e)
	case tagClose:
		x := &Close{}
		m, err = x, x.read(&e)
	default:
		return nil, protocolError("message %d", e.Tag)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: message %d: %w", ErrProtocol, e.Tag, err)
	}
	return m, nil
}

// fieldReader decodes the fields of a message and keeps the first error, so that callers need not check each field.
type fieldReader struct {
	err     error
	members presence
}

// sequence calls visit for each member of a message, none of which may come twice.
func (r *fieldReader) sequence(e *ber.Element, visit func(*ber.Element) error) {
	r.keepError(e.Each(func(x *ber.Element) error {
		if err := r.members.add(x); err != nil {
			return err
		}
		return visit(x)
	}))
}

// require records an error if a member is missing whose zero value would be taken for one that was sent.
func (r *fieldReader) require(tags ...uint32) { r.keepError(r.members.require(tags...)) }

func (r *fieldReader) int(e *ber.Element, to *int) {
	n, err := e.Int()
	if *to = n; err == nil && (n < -1<<31 || n > 1<<31) {
		err = fmt.Errorf("number %d", n)
	}
	r.keepError(err)
}

func (r *fieldReader) bool(e *ber.Element, to *bool) {
	value, err := e.Bool()
	*to = value
	r.keepError(err)
}

func (r *fieldReader) text(e *ber.Element, to *string) {
	b, err := e.Bytes()
	if *to = string(b); len(b) > query.MaxText {
		err = fmt.Errorf("a text of %d bytes", len(b))
	}
	r.keepError(err)
}

func (r *fieldReader) oid(e *ber.Element, to *string) {
	dotted, err := e.OID()
	*to = dotted
	r.keepError(err)
}

func (r *fieldReader) keepError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (c *Common) readReferenceID(r *fieldReader, e *ber.Element) {
	b, err := e.Bytes()
	if len(b) > 1024 {
		err = fmt.Errorf("a reference of %d bytes", len(b))
	}
	c.ReferenceID = append([]byte(nil), b...)
	r.keepError(err)
}

func (c *Common) write(w *ber.Writer) {
	if len(c.ReferenceID) > 0 {
		w.Text(2, string(c.ReferenceID))
	}
}
