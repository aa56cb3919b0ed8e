// Package ber implements the Basic Encoding Rules (ITU-T X.690) as far as Z39.50 needs them: tags of any class, definite and indefinite
// lengths, integers, object identifiers, bit and octet strings. It never reads beyond an element's length, bounds the nesting, and
// allocates no memory for bytes that have not arrived.
//
// Depends on no package of this module. Concurrency: the package takes no locks and starts no goroutines; a value is
// used by one goroutine at a time.
package ber

import (
	"errors"
	"fmt"
)

// Class is the class of a tag.
type Class uint8

// The classes that Z39.50 uses.
const (
	Universal Class = 0
	Context   Class = 2
)

// Universal tags.
const (
	TagBool            = 1
	TagInteger         = 2
	TagBitString       = 3
	TagOctetString     = 4
	TagNull            = 5
	TagOID             = 6
	TagExternal        = 8
	TagSequence        = 16
	TagVisibleString   = 26
	TagGeneralString   = 27
	TagGeneralizedTime = 24
)

// MaxDepth bounds nesting. A few kilobytes can open thousands of levels, which would exhaust the stack of a recursive reader.
const MaxDepth = 64

var (
	// ErrTruncated means that the bytes end before the element does.
	ErrTruncated = errors.New("ber: an element is cut short")
	// ErrMalformed means that the bytes are not a valid element.
	ErrMalformed = errors.New("ber: malformed element")
)

// Element is one decoded tag with its contents.
type Element struct {
	Class       Class
	Tag         uint32
	Constructed bool
	Body        []byte // without the end-of-contents octets of an indefinite length
}

// IsContext reports whether the element has the given tag of the context-specific class.
func (e *Element) IsContext(tag uint32) bool { return e.Class == Context && e.Tag == tag }

// IsUniversal reports whether the element has the given universal tag.
func (e *Element) IsUniversal(tag uint32) bool { return e.Class == Universal && e.Tag == tag }

// readHeader decodes an element's tag and the length of its contents, which is -1 if it is indefinite. size is that of the header
// in bytes.
func readHeader(b []byte) (e Element, length, size int, err error) {
	if len(b) < 2 {
		return e, 0, 0, ErrTruncated
	}
	e.Class, e.Constructed, e.Tag = Class(b[0]>>6), b[0]&0x20 != 0, uint32(b[0]&0x1f)
	size = 1
	if e.Tag == 0x1f {
		e.Tag = 0
		for {
			if size >= len(b) {
				return e, 0, 0, ErrTruncated
			}
			c := b[size]
			size++
			if e.Tag > 1<<21 {
				return e, 0, 0, fmt.Errorf("%w: a tag without end", ErrMalformed)
			}
			if e.Tag = e.Tag<<7 | uint32(c&0x7f); c&0x80 == 0 {
				break
			}
		}
	}
	if size >= len(b) {
		return e, 0, 0, ErrTruncated
	}
	first := b[size]
	size++
	switch {
	case first < 0x80:
		return e, int(first), size, nil
	case first == 0x80:
		if !e.Constructed {
			return e, 0, 0, fmt.Errorf("%w: a primitive of indefinite length", ErrMalformed)
		}
		return e, -1, size, nil
	case first > 0x84:
		return e, 0, 0, fmt.Errorf("%w: a length of %d bytes", ErrMalformed, first&0x7f)
	}
	for range int(first & 0x7f) {
		if size >= len(b) {
			return e, 0, 0, ErrTruncated
		}
		length = length<<8 | int(b[size])
		size++
	}
	return e, length, size, nil
}

// Next decodes the first element of b and returns the bytes behind it.
func Next(b []byte) (e Element, rest []byte, err error) { return next(b, 0) }

func next(b []byte, depth int) (e Element, rest []byte, err error) {
	if depth > MaxDepth {
		return e, nil, fmt.Errorf("%w: nested more than %d deep", ErrMalformed, MaxDepth)
	}
	e, length, size, err := readHeader(b)
	if err != nil {
		return e, nil, err
	}
	b = b[size:]
	if length >= 0 {
		if length > len(b) {
			return e, nil, ErrTruncated
		}
		e.Body = b[:length]
		return e, b[length:], nil
	}
	remaining := b // the contents end with the end-of-contents octets, two zero bytes
	for {
		if len(remaining) >= 2 && remaining[0] == 0 && remaining[1] == 0 {
			e.Body = b[:len(b)-len(remaining)]
			return e, remaining[2:], nil
		}
		if _, remaining, err = next(remaining, depth+1); err != nil {
			return e, nil, err
		}
	}
}

// Length returns the length in bytes of the first element of b, with its header, or 0 if more bytes are needed to know it. A length
// above limit is an error.
func Length(b []byte, limit int) (int, error) {
	_, length, size, err := readHeader(b)
	switch {
	case errors.Is(err, ErrTruncated):
		return 0, nil
	case err != nil:
		return 0, err
	case length >= 0 && size+length > limit:
		return 0, fmt.Errorf("%w: %d bytes, %d at most", ErrMalformed, size+length, limit)
	case length >= 0:
		return size + length, nil
	}
	_, rest, err := next(b, 0)
	switch {
	case errors.Is(err, ErrTruncated) && len(b) >= limit:
		return 0, fmt.Errorf("%w: more than %d bytes", ErrMalformed, limit)
	case errors.Is(err, ErrTruncated):
		return 0, nil
	case err != nil:
		return 0, err
	}
	return len(b) - len(rest), nil
}
