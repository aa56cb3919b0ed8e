// Package ber reads and writes the Basic Encoding Rules (ITU-T X.690) as far as Z39.50 needs them: tags of any class, definite and
// indefinite lengths, integers, object identifiers, bit and octet strings. It owns the form alone. It must never read beyond what a
// length claims, follow nesting without end, or give room for bytes that have not come.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package ber

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Class of a tag.
type Class uint8

// The classes that are used here.
const (
	Universal Class = 0
	Context   Class = 2
)

// Universal tags.
const (
	TagBool        = 1
	TagInteger     = 2
	TagBits        = 3
	TagOctets      = 4
	TagNull        = 5
	TagOID         = 6
	TagExternal    = 8
	TagSequence    = 16
	TagVisible     = 26
	TagGeneral     = 27
	TagGeneralTime = 24
)

// MaxDepth bounds nesting. Danger: a few kilobytes can open thousands of levels, and a reader that follows them runs out of stack.
const MaxDepth = 64

var (
	// ErrShort tells that the bytes end before the element does.
	ErrShort = errors.New("ber: an element is cut short")
	// ErrForm tells that the bytes are no element.
	ErrForm = errors.New("ber: malformed element")
)

// Element is one tagged value.
type Element struct {
	Class       Class
	Tag         uint32
	Constructed bool
	Body        []byte // without the end mark of an indefinite length
}

// Is tells whether an element has a tag of the context class.
func (e *Element) Is(tag uint32) bool { return e.Class == Context && e.Tag == tag }

// IsUniversal tells whether an element has a universal tag.
func (e *Element) IsUniversal(tag uint32) bool { return e.Class == Universal && e.Tag == tag }

// head reads a tag and a length; length -1 is an indefinite one.
func head(b []byte) (e Element, length, size int, err error) {
	if len(b) < 2 {
		return e, 0, 0, ErrShort
	}
	e.Class, e.Constructed, e.Tag = Class(b[0]>>6), b[0]&0x20 != 0, uint32(b[0]&0x1f)
	size = 1
	if e.Tag == 0x1f {
		e.Tag = 0
		for {
			if size >= len(b) {
				return e, 0, 0, ErrShort
			}
			c := b[size]
			size++
			if e.Tag > 1<<21 {
				return e, 0, 0, fmt.Errorf("%w: a tag without end", ErrForm)
			}
			if e.Tag = e.Tag<<7 | uint32(c&0x7f); c&0x80 == 0 {
				break
			}
		}
	}
	if size >= len(b) {
		return e, 0, 0, ErrShort
	}
	first := b[size]
	size++
	switch {
	case first < 0x80:
		return e, int(first), size, nil
	case first == 0x80:
		if !e.Constructed {
			return e, 0, 0, fmt.Errorf("%w: a primitive of indefinite length", ErrForm)
		}
		return e, -1, size, nil
	case first > 0x84:
		return e, 0, 0, fmt.Errorf("%w: a length of %d bytes", ErrForm, first&0x7f)
	}
	for range int(first & 0x7f) {
		if size >= len(b) {
			return e, 0, 0, ErrShort
		}
		length = length<<8 | int(b[size])
		size++
	}
	return e, length, size, nil
}

// Next reads the first element of some bytes and returns the rest.
func Next(b []byte) (e Element, rest []byte, err error) { return next(b, 0) }

func next(b []byte, depth int) (e Element, rest []byte, err error) {
	if depth > MaxDepth {
		return e, nil, fmt.Errorf("%w: nested more than %d deep", ErrForm, MaxDepth)
	}
	e, length, size, err := head(b)
	if err != nil {
		return e, nil, err
	}
	b = b[size:]
	if length >= 0 {
		if length > len(b) {
			return e, nil, ErrShort
		}
		e.Body = b[:length]
		return e, b[length:], nil
	}
	at := b // up to two zero bytes, element by element
	for {
		if len(at) >= 2 && at[0] == 0 && at[1] == 0 {
			e.Body = b[:len(b)-len(at)]
			return e, at[2:], nil
		}
		if _, at, err = next(at, depth+1); err != nil {
			return e, nil, err
		}
	}
}

// Length tells how long the first element of some bytes is, as far as that can be told by now: 0 means that more must come. Most
// bounds it.
func Length(b []byte, most int) (int, error) {
	_, length, size, err := head(b)
	switch {
	case errors.Is(err, ErrShort):
		return 0, nil
	case err != nil:
		return 0, err
	case length >= 0 && size+length > most:
		return 0, fmt.Errorf("%w: %d bytes, %d at most", ErrForm, size+length, most)
	case length >= 0:
		return size + length, nil
	}
	_, rest, err := next(b, 0)
	switch {
	case errors.Is(err, ErrShort) && len(b) >= most:
		return 0, fmt.Errorf("%w: more than %d bytes", ErrForm, most)
	case errors.Is(err, ErrShort):
		return 0, nil
	case err != nil:
		return 0, err
	}
	return len(b) - len(rest), nil
}

// Each visits the elements of a constructed one, until one fails.
func (e *Element) Each(visit func(*Element) error) error {
	if !e.Constructed {
		return fmt.Errorf("%w: tag %d should hold others", ErrForm, e.Tag)
	}
	for rest := e.Body; len(rest) > 0; {
		var one Element
		var err error
		if one, rest, err = Next(rest); err != nil {
			return err
		}
		if err = visit(&one); err != nil {
			return err
		}
	}
	return nil
}

// Int is the value of an integer.
func (e *Element) Int() (n int, err error) {
	if e.Constructed || len(e.Body) == 0 || len(e.Body) > 8 {
		return 0, fmt.Errorf("%w: an integer of %d bytes", ErrForm, len(e.Body))
	}
	n = int(int8(e.Body[0]))
	for _, c := range e.Body[1:] {
		n = n<<8 | int(c)
	}
	return n, nil
}

// Bool is the value of a boolean.
func (e *Element) Bool() (bool, error) {
	if e.Constructed || len(e.Body) != 1 {
		return false, fmt.Errorf("%w: a boolean of %d bytes", ErrForm, len(e.Body))
	}
	return e.Body[0] != 0, nil
}

// Bytes is the value of a string, whole or in pieces.
func (e *Element) Bytes() ([]byte, error) { return e.bytes(0) }

func (e *Element) bytes(depth int) (all []byte, err error) {
	if !e.Constructed {
		return e.Body, nil
	}
	if depth > MaxDepth {
		return nil, fmt.Errorf("%w: a string in too many pieces", ErrForm)
	}
	err = e.Each(func(piece *Element) error {
		b, err := piece.bytes(depth + 1)
		all = append(all, b...)
		return err
	})
	return all, err
}

// Bit tells whether a bit of a bit string is set, counted from the left.
func (e *Element) Bit(n int) bool {
	return !e.Constructed && len(e.Body) > 1+n/8 && e.Body[1+n/8]&(0x80>>(n%8)) != 0
}

// OID is the value of an object identifier, with dots.
func (e *Element) OID() (string, error) {
	if e.Constructed || len(e.Body) == 0 || len(e.Body) > 64 {
		return "", fmt.Errorf("%w: an object identifier of %d bytes", ErrForm, len(e.Body))
	}
	var b strings.Builder
	n, first := uint64(0), true
	for i, c := range e.Body {
		if n > 1<<50 || n == 0 && c == 0x80 {
			return "", fmt.Errorf("%w: object identifier", ErrForm)
		}
		if n = n<<7 | uint64(c&0x7f); c&0x80 != 0 {
			if i == len(e.Body)-1 {
				return "", fmt.Errorf("%w: object identifier", ErrForm)
			}
			continue
		}
		if first {
			top := min(n/40, 2)
			fmt.Fprintf(&b, "%d.%d", top, n-40*top)
			first = false
		} else {
			fmt.Fprintf(&b, ".%d", n)
		}
		n = 0
	}
	return b.String(), nil
}

// AppendElement writes an element with a body that is there already.
func AppendElement(b []byte, class Class, tag uint32, constructed bool, body []byte) []byte {
	first := byte(class) << 6
	if constructed {
		first |= 0x20
	}
	if tag < 0x1f {
		b = append(b, first|byte(tag))
	} else {
		b = append(b, first|0x1f)
		started := false
		for shift := 28; shift >= 0; shift -= 7 {
			c := byte(tag>>shift) & 0x7f
			if started = started || c != 0 || shift == 0; !started {
				continue
			}
			if shift > 0 {
				c |= 0x80
			}
			b = append(b, c)
		}
	}
	return append(appendLength(b, len(body)), body...)
}

func appendLength(b []byte, n int) []byte {
	switch {
	case n < 0x80:
		return append(b, byte(n))
	case n < 1<<8:
		return append(b, 0x81, byte(n))
	case n < 1<<16:
		return append(b, 0x82, byte(n>>8), byte(n))
	case n < 1<<24:
		return append(b, 0x83, byte(n>>16), byte(n>>8), byte(n))
	default:
		return append(b, 0x84, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	}
}

// Writer builds one constructed element.
type Writer struct{ b []byte }

// Bytes are what was written.
func (w *Writer) Bytes() []byte { return w.b }

// Raw adds elements that are encoded already.
func (w *Writer) Raw(b []byte) { w.b = append(w.b, b...) }

// Int adds an integer under a tag of the context class.
func (w *Writer) Int(tag uint32, n int) { w.b = AppendElement(w.b, Context, tag, false, intBody(n)) }

// UniversalInt adds an integer under its own tag.
func (w *Writer) UniversalInt(n int) {
	w.b = AppendElement(w.b, Universal, TagInteger, false, intBody(n))
}

func intBody(n int) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (56 - 8*i))
	}
	at := 0
	for at < 7 && (b[at] == 0 && b[at+1] < 0x80 || b[at] == 0xff && b[at+1] >= 0x80) {
		at++
	}
	return b[at:]
}

// Bool adds a boolean.
func (w *Writer) Bool(tag uint32, yes bool) {
	body := []byte{0}
	if yes {
		body[0] = 0xff
	}
	w.b = AppendElement(w.b, Context, tag, false, body)
}

// Text adds a string of bytes.
func (w *Writer) Text(tag uint32, text string) {
	w.b = AppendElement(w.b, Context, tag, false, []byte(text))
}

// Universal adds a primitive under a universal tag.
func (w *Writer) Universal(tag uint32, body []byte) {
	w.b = AppendElement(w.b, Universal, tag, false, body)
}

// Bits adds a bit string in which some bits are set.
func (w *Writer) Bits(tag uint32, set ...int) {
	body := []byte{0}
	for _, n := range set {
		for len(body) < 2+n/8 {
			body = append(body, 0)
		}
		body[1+n/8] |= 0x80 >> (n % 8)
	}
	w.b = AppendElement(w.b, Context, tag, false, body)
}

// Within adds a constructed element.
func (w *Writer) Within(class Class, tag uint32, fill func(*Writer)) {
	var inner Writer
	fill(&inner)
	w.b = AppendElement(w.b, class, tag, true, inner.b)
}

// OIDBody encodes an object identifier; false: it is none.
func OIDBody(dots string) (b []byte, ok bool) {
	parts := strings.Split(dots, ".")
	if len(parts) < 2 || len(parts) > 32 {
		return nil, false
	}
	var n []uint64
	for _, p := range parts {
		v, err := strconv.ParseUint(p, 10, 32)
		if err != nil {
			return nil, false
		}
		n = append(n, v)
	}
	if n[0] > 2 || n[0] < 2 && n[1] > 39 {
		return nil, false
	}
	n[1] += 40 * n[0]
	for _, v := range n[1:] {
		var piece [10]byte
		at := len(piece) - 1
		piece[at] = byte(v & 0x7f)
		for v >>= 7; v > 0; v >>= 7 {
			at--
			piece[at] = byte(v&0x7f) | 0x80
		}
		b = append(b, piece[at:]...)
	}
	return b, true
}

// OID adds an object identifier under a tag of the context class, or its own where the tag is negative.
func (w *Writer) OID(tag int, dots string) {
	body, _ := OIDBody(dots)
	if tag < 0 {
		w.Universal(TagOID, body)
		return
	}
	w.b = AppendElement(w.b, Context, uint32(tag), false, body)
}
