// Package z3950 reads and writes the messages of Z39.50 version 3 (ANSI/NISO Z39.50-2003, appendix A) that a catalogue's front
// and back need: init, search, present, delete, close. It owns their form. It must never open a connection, keep a session, or read
// a message beyond its bounds.
//
// Depends on protocols/ber, protocols/query. Concurrency: it keeps no state and starts no goroutine, so
// that its functions may be called from any goroutine; what they return is the caller's.
package z3950

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// Object identifiers of record syntaxes and diagnostics.
const (
	MARC21     = "1.2.840.10003.5.10"
	SUTRS      = "1.2.840.10003.5.101"
	XML        = "1.2.840.10003.5.109.10"
	Diagnostic = "1.2.840.10003.4.1" // Bib-1's set of diagnostics
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
	Reference []byte // what the other side wants back with the answer
}

// InitRequest opens a session.
type InitRequest struct {
	Common
	Version3         bool
	Search, Present  bool
	Delete           bool
	NamedResultSets  bool
	Concurrent       bool
	Preferred, Most  int // bytes of a message, of a record
	User, Group, Key string
	ID, Name         string
	Release          string
}

// InitResponse answers it.
type InitResponse struct {
	InitRequest
	Accepted bool
}

// SearchRequest asks for a result set.
type SearchRequest struct {
	Common
	Small, Large, Medium int // upper bound of small sets, lower of large ones, records of those between
	Replace              bool
	ResultSet            string
	Databases            []string
	Syntax               string // preferred, an object identifier
	Set                  string // of attributes
	Query                *query.RPN
}

// Statuses of a result set after a search that failed.
const (
	Subset  = 1
	Interim = 2
	NoSet   = 3
)

// SearchResponse answers it.
type SearchResponse struct {
	Common
	Count, Returned, Next int
	OK                    bool
	SetStatus             int // 0: none is told
	PresentStatus         int // 0: none is told
	Records               Records
}

// PresentRequest asks for records of a result set.
type PresentRequest struct {
	Common
	ResultSet   string
	Start, Want int
	Elements    string // such as F or B
	Syntax      string
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
	Returned, Next, Status int
	Records                Records
}

// DeleteRequest drops result sets: those named, or all.
type DeleteRequest struct {
	Common
	All  bool
	Sets []string
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

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Read reads one message. What it claims to hold is given room only as it comes. io.EOF means that none had begun.
func Read(r *bufio.Reader) (Message, error) {
	var b []byte
	for {
		if len(b) > 0 {
			n, err := ber.Length(b, MaxPDU)
			if err != nil {
				return nil, bad("%v", err)
			}
			if n > 0 && n <= len(b) {
				return Decode(b[:n])
			}
			if n > len(b) { // the rest is known: no byte of what follows is read
				at := len(b)
				for at < n {
					piece := min(n-at, 16<<10)
					b = append(b, make([]byte, piece)...)
					if _, err := io.ReadFull(r, b[at:]); errors.Is(err, io.EOF) {
						return nil, io.ErrUnexpectedEOF
					} else if err != nil {
						return nil, err
					}
					at += piece
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
		if len(b) == 0 && c>>5 != 5 { // no message begins so: whoever speaks another protocol hears it at once
			return nil, bad("first byte %#x", c)
		}
		// Byte by byte only while the length is unknown; of an indefinite one that costs what reading it again takes, so it is bounded.
		if b = append(b, c); len(b) > maxIndefinite {
			return nil, bad("an element of indefinite length beyond %d bytes", maxIndefinite)
		}
	}
}

// maxIndefinite bounds messages of indefinite length, which are looked at anew with each byte.
const maxIndefinite = 4 << 10

// Encode writes a message.
func Encode(m Message) []byte {
	var w ber.Writer
	m.append(&w)
	return w.Bytes()
}

// Decode reads a message that is there whole.
func Decode(b []byte) (Message, error) {
	e, rest, err := ber.Next(b)
	if err != nil || len(rest) > 0 || e.Class != ber.Context || !e.Constructed {
		return nil, bad("%d bytes are no message: %v", len(b), err)
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
		return nil, bad("message %d", e.Tag)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: message %d: %w", ErrProtocol, e.Tag, err)
	}
	return m, nil
}

// reading gathers the first fault, so that decoding reads as a list of fields.
type reading struct{ err error }

func (r *reading) int(e *ber.Element, to *int) {
	n, err := e.Int()
	if *to = n; err == nil && (n < -1<<31 || n > 1<<31) {
		err = fmt.Errorf("number %d", n)
	}
	r.keep(err)
}

func (r *reading) bool(e *ber.Element, to *bool) {
	yes, err := e.Bool()
	*to = yes
	r.keep(err)
}

func (r *reading) text(e *ber.Element, to *string) {
	b, err := e.Bytes()
	if *to = string(b); len(b) > query.MaxText {
		err = fmt.Errorf("a text of %d bytes", len(b))
	}
	r.keep(err)
}

func (r *reading) oid(e *ber.Element, to *string) {
	dots, err := e.OID()
	*to = dots
	r.keep(err)
}

func (r *reading) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (c *Common) reference(r *reading, e *ber.Element) {
	b, err := e.Bytes()
	if len(b) > 1024 {
		err = fmt.Errorf("a reference of %d bytes", len(b))
	}
	c.Reference = append([]byte(nil), b...)
	r.keep(err)
}

func (c *Common) write(w *ber.Writer) {
	if len(c.Reference) > 0 {
		w.Text(2, string(c.Reference))
	}
}

// Options of init, by their bits.
const (
	optSearch     = 0
	optPresent    = 1
	optDelete     = 2
	optConcurrent = 13
	optNamed      = 14
)

func (m *InitRequest) read(e *ber.Element, accepted *bool) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(3):
			m.Version3 = x.Bit(2)
		case x.Is(4):
			m.Search, m.Present, m.Delete = x.Bit(optSearch), x.Bit(optPresent), x.Bit(optDelete)
			m.Concurrent, m.NamedResultSets = x.Bit(optConcurrent), x.Bit(optNamed)
		case x.Is(5):
			r.int(x, &m.Preferred)
		case x.Is(6):
			r.int(x, &m.Most)
		case x.Is(12) && accepted != nil:
			r.bool(x, accepted)
		case x.Is(7):
			m.authentication(&r, x)
		case x.Is(110):
			r.text(x, &m.ID)
		case x.Is(111):
			r.text(x, &m.Name)
		case x.Is(112):
			r.text(x, &m.Release)
		}
		return r.err
	}))
	return r.err
}

// authentication reads an open form, user/key, or the one of user, group and password.
func (m *InitRequest) authentication(r *reading, e *ber.Element) {
	r.keep(e.Each(func(x *ber.Element) error {
		if x.IsUniversal(ber.TagVisible) || x.IsUniversal(ber.TagGeneral) {
			r.text(x, &m.User)
		} else if x.IsUniversal(ber.TagSequence) {
			return x.Each(func(y *ber.Element) error {
				switch {
				case y.Is(0):
					r.text(y, &m.Group)
				case y.Is(1):
					r.text(y, &m.User)
				case y.Is(2):
					r.text(y, &m.Key)
				}
				return r.err
			})
		}
		return r.err
	}))
}

func (m *InitRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagInitRequest, func(w *ber.Writer) { m.fill(w, nil) })
}

func (m *InitResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagInitResponse, func(w *ber.Writer) { m.fill(w, &m.Accepted) })
}

func (m *InitRequest) fill(w *ber.Writer, accepted *bool) {
	m.write(w)
	versions, options := []int{0, 1}, []int{}
	if m.Version3 {
		versions = append(versions, 2)
	}
	for _, o := range []struct {
		on  bool
		bit int
	}{{m.Search, optSearch}, {m.Present, optPresent}, {m.Delete, optDelete}, {m.Concurrent, optConcurrent}, {m.NamedResultSets, optNamed}} {
		if o.on {
			options = append(options, o.bit)
		}
	}
	w.Bits(3, versions...)
	w.Bits(4, options...)
	w.Int(5, m.Preferred)
	w.Int(6, m.Most)
	if accepted != nil {
		w.Bool(12, *accepted)
	}
	if m.User != "" && accepted == nil {
		w.Within(ber.Context, 7, func(w *ber.Writer) {
			w.Within(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
				if m.Group != "" {
					w.Text(0, m.Group)
				}
				w.Text(1, m.User)
				w.Text(2, m.Key)
			})
		})
	}
	for i, text := range []string{m.ID, m.Name, m.Release} {
		if text != "" {
			w.Text(uint32(110+i), text)
		}
	}
}

func (m *SearchRequest) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(13):
			r.int(x, &m.Small)
		case x.Is(14):
			r.int(x, &m.Large)
		case x.Is(15):
			r.int(x, &m.Medium)
		case x.Is(16):
			r.bool(x, &m.Replace)
		case x.Is(17):
			r.text(x, &m.ResultSet)
		case x.Is(18):
			return x.Each(func(y *ber.Element) error {
				var name string
				r.text(y, &name)
				if m.Databases = append(m.Databases, name); len(m.Databases) > 100 {
					return errors.New("more than 100 databases")
				}
				return r.err
			})
		case x.Is(104):
			r.oid(x, &m.Syntax)
		case x.Is(21):
			r.keep(m.readQuery(x))
		}
		return r.err
	}))
	if r.err == nil && m.Query == nil {
		r.err = errors.New("no Type-1 query")
	}
	return r.err
}

func (m *SearchRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagSearchRequest, func(w *ber.Writer) {
		m.write(w)
		w.Int(13, m.Small)
		w.Int(14, m.Large)
		w.Int(15, m.Medium)
		w.Bool(16, m.Replace)
		w.Text(17, m.ResultSet)
		w.Within(ber.Context, 18, func(w *ber.Writer) {
			for _, d := range m.Databases {
				w.Text(105, d)
			}
		})
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
		w.Within(ber.Context, 21, func(w *ber.Writer) { writeQuery(w, m.Set, m.Query) })
	})
}

func (m *SearchResponse) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(23):
			r.int(x, &m.Count)
		case x.Is(24):
			r.int(x, &m.Returned)
		case x.Is(25):
			r.int(x, &m.Next)
		case x.Is(22):
			r.bool(x, &m.OK)
		case x.Is(26):
			r.int(x, &m.SetStatus)
		case x.Is(27):
			r.int(x, &m.PresentStatus)
		default:
			r.keep(m.Records.read(x))
		}
		return r.err
	}))
	return r.err
}

func (m *SearchResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagSearchResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(23, m.Count)
		w.Int(24, m.Returned)
		w.Int(25, m.Next)
		w.Bool(22, m.OK)
		if m.SetStatus != 0 {
			w.Int(26, m.SetStatus)
		}
		if m.PresentStatus != 0 || len(m.Records.All) > 0 {
			w.Int(27, m.PresentStatus)
		}
		m.Records.write(w)
	})
}

func (m *PresentRequest) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(31):
			r.text(x, &m.ResultSet)
		case x.Is(30):
			r.int(x, &m.Start)
		case x.Is(29):
			r.int(x, &m.Want)
		case x.Is(19):
			return x.Each(func(y *ber.Element) error {
				if y.Is(0) {
					r.text(y, &m.Elements)
				}
				return r.err
			})
		case x.Is(104):
			r.oid(x, &m.Syntax)
		}
		return r.err
	}))
	return r.err
}

func (m *PresentRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagPresentRequest, func(w *ber.Writer) {
		m.write(w)
		w.Text(31, m.ResultSet)
		w.Int(30, m.Start)
		w.Int(29, m.Want)
		if m.Elements != "" {
			w.Within(ber.Context, 19, func(w *ber.Writer) { w.Text(0, m.Elements) })
		}
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
	})
}

func (m *PresentResponse) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(24):
			r.int(x, &m.Returned)
		case x.Is(25):
			r.int(x, &m.Next)
		case x.Is(27):
			r.int(x, &m.Status)
		default:
			r.keep(m.Records.read(x))
		}
		return r.err
	}))
	return r.err
}

func (m *PresentResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagPresentResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(24, m.Returned)
		w.Int(25, m.Next)
		w.Int(27, m.Status)
		m.Records.write(w)
	})
}

func (m *DeleteRequest) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(32):
			all := 0
			r.int(x, &all)
			m.All = all == 1
		case x.IsUniversal(ber.TagSequence):
			return x.Each(func(y *ber.Element) error {
				var name string
				r.text(y, &name)
				if m.Sets = append(m.Sets, name); len(m.Sets) > 1000 {
					return errors.New("more than 1000 result sets")
				}
				return r.err
			})
		}
		return r.err
	}))
	return r.err
}

func (m *DeleteRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagDeleteRequest, func(w *ber.Writer) {
		m.write(w)
		all := 0
		if m.All {
			all = 1
		}
		w.Int(32, all)
		if len(m.Sets) > 0 {
			w.Within(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
				for _, s := range m.Sets {
					w.Text(31, s)
				}
			})
		}
	})
}

func (m *DeleteResponse) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(0):
			r.int(x, &m.Status)
		}
		return r.err
	}))
	return r.err
}

func (m *DeleteResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagDeleteResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(0, m.Status)
	})
}

func (m *Close) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(211):
			r.int(x, &m.Reason)
		case x.Is(3):
			r.text(x, &m.Text)
		}
		return r.err
	}))
	return r.err
}

func (m *Close) append(w *ber.Writer) {
	w.Within(ber.Context, tagClose, func(w *ber.Writer) {
		m.write(w)
		w.Int(211, m.Reason)
		if m.Text != "" {
			w.Text(3, m.Text)
		}
	})
}

// validText is a text as records and diagnostics may carry it.
func validText(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return fmt.Sprintf("%q", b)
}
