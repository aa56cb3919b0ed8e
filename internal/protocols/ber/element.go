package ber

// This file decodes an element's contents: child elements, integers, strings, object identifiers.

import (
	"fmt"
	"math"
	"strings"
)

// Each calls visit for each child of a constructed element, until a call returns an error.
func (e *Element) Each(visit func(*Element) error) error {
	if !e.Constructed {
		return fmt.Errorf("%w: tag %d should hold others", ErrMalformed, e.Tag)
	}
	for rest := e.Body; len(rest) > 0; {
		var child Element
		var err error
		if child, rest, err = Next(rest); err != nil {
			return err
		}
		if err = visit(&child); err != nil {
			return err
		}
	}
	return nil
}

// Int returns the value of an integer.
func (e *Element) Int() (n int, err error) {
	if e.Constructed || len(e.Body) == 0 || len(e.Body) > 8 {
		return 0, fmt.Errorf("%w: an integer of %d bytes", ErrMalformed, len(e.Body))
	}
	n = int(int8(e.Body[0]))
	for _, c := range e.Body[1:] {
		n = n<<8 | int(c)
	}
	return n, nil
}

// Bool returns the value of a boolean.
func (e *Element) Bool() (bool, error) {
	if e.Constructed || len(e.Body) != 1 {
		return false, fmt.Errorf("%w: a boolean of %d bytes", ErrMalformed, len(e.Body))
	}
	return e.Body[0] != 0, nil
}

// Bytes returns the value of a string, whose encoding may be primitive or constructed of segments.
func (e *Element) Bytes() ([]byte, error) { return e.bytes(0) }

func (e *Element) bytes(depth int) (all []byte, err error) {
	if !e.Constructed {
		return e.Body, nil
	}
	if depth > MaxDepth {
		return nil, fmt.Errorf("%w: a string in too many pieces", ErrMalformed)
	}
	err = e.Each(func(piece *Element) error {
		b, err := piece.bytes(depth + 1)
		all = append(all, b...)
		return err
	})
	return all, err
}

// Bit reports whether the n-th bit of a bit string is set, counted from 0 at the left.
func (e *Element) Bit(n int) bool {
	return !e.Constructed && len(e.Body) > 1+n/8 && e.Body[1+n/8]&(0x80>>(n%8)) != 0
}

// OID returns the value of an object identifier in dotted form. It has the bounds of EncodeOID: what it returns can be encoded.
func (e *Element) OID() (string, error) {
	if e.Constructed || len(e.Body) == 0 || len(e.Body) > maxOIDArcs*5 {
		return "", fmt.Errorf("%w: an object identifier of %d bytes", ErrMalformed, len(e.Body))
	}
	var b strings.Builder
	n, first, arcs := uint64(0), true, 1
	for i, c := range e.Body {
		if n == 0 && c == 0x80 {
			return "", fmt.Errorf("%w: object identifier", ErrMalformed)
		}
		if n = n<<7 | uint64(c&0x7f); n > math.MaxUint32 {
			return "", fmt.Errorf("%w: object identifier with an arc above 32 bits", ErrMalformed)
		}
		if c&0x80 != 0 {
			if i == len(e.Body)-1 {
				return "", fmt.Errorf("%w: object identifier", ErrMalformed)
			}
			continue
		}
		if arcs++; arcs > maxOIDArcs {
			return "", fmt.Errorf("%w: object identifier of more than %d arcs", ErrMalformed, maxOIDArcs)
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
