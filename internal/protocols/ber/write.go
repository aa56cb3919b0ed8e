package ber

// This file encodes elements.

import (
	"strconv"
	"strings"
)

// AppendElement appends an element to b. body holds its encoded contents.
func AppendElement(b []byte, class Class, tag uint32, constructed bool, body []byte) []byte {
	first := byte(class) << 6
	if constructed {
		first |= 0x20
	}
	if tag < 0x1f {
		b = append(b, first|byte(tag))
	} else {
		b = append(b, first|0x1f)
		significant := false
		for shift := 28; shift >= 0; shift -= 7 {
			c := byte(tag>>shift) & 0x7f
			if significant = significant || c != 0 || shift == 0; !significant {
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

// Writer encodes a sequence of elements.
type Writer struct{ b []byte }

// Bytes returns the encoded elements.
func (w *Writer) Bytes() []byte { return w.b }

// Raw appends elements that are encoded already.
func (w *Writer) Raw(b []byte) { w.b = append(w.b, b...) }

// Int appends an integer with a context-specific tag.
func (w *Writer) Int(tag uint32, n int) { w.b = AppendElement(w.b, Context, tag, false, encodeInt(n)) }

// UniversalInt appends an integer with the universal tag.
func (w *Writer) UniversalInt(n int) {
	w.b = AppendElement(w.b, Universal, TagInteger, false, encodeInt(n))
}

func encodeInt(n int) []byte {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (56 - 8*i))
	}
	start := 0
	for start < 7 && (b[start] == 0 && b[start+1] < 0x80 || b[start] == 0xff && b[start+1] >= 0x80) {
		start++
	}
	return b[start:]
}

// Bool appends a boolean with a context-specific tag.
func (w *Writer) Bool(tag uint32, value bool) {
	body := []byte{0}
	if value {
		body[0] = 0xff
	}
	w.b = AppendElement(w.b, Context, tag, false, body)
}

// Text appends a string with a context-specific tag.
func (w *Writer) Text(tag uint32, text string) {
	w.b = AppendElement(w.b, Context, tag, false, []byte(text))
}

// Universal appends a primitive element with a universal tag.
func (w *Writer) Universal(tag uint32, body []byte) {
	w.b = AppendElement(w.b, Universal, tag, false, body)
}

// BitString appends a bit string with a context-specific tag, in which the given bits are set, counted from 0 at the left.
func (w *Writer) BitString(tag uint32, set ...int) {
	body := []byte{0}
	for _, n := range set {
		for len(body) < 2+n/8 {
			body = append(body, 0)
		}
		body[1+n/8] |= 0x80 >> (n % 8)
	}
	w.b = AppendElement(w.b, Context, tag, false, body)
}

// Constructed appends a constructed element. fill writes its contents.
func (w *Writer) Constructed(class Class, tag uint32, fill func(*Writer)) {
	var inner Writer
	fill(&inner)
	w.b = AppendElement(w.b, class, tag, true, inner.b)
}

// maxOIDArcs bounds the arcs of an object identifier, each of which has at most 32 bits.
const maxOIDArcs = 32

// EncodeOID returns the contents of an object identifier that is given in dotted form. It reports false if the form is invalid.
func EncodeOID(dotted string) (b []byte, ok bool) {
	parts := strings.Split(dotted, ".")
	if len(parts) < 2 || len(parts) > maxOIDArcs {
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
		var encoded [10]byte
		start := len(encoded) - 1
		encoded[start] = byte(v & 0x7f)
		for v >>= 7; v > 0; v >>= 7 {
			start--
			encoded[start] = byte(v&0x7f) | 0x80
		}
		b = append(b, encoded[start:]...)
	}
	return b, true
}

// OID appends an object identifier with a context-specific tag, or with the universal tag if tag is negative.
func (w *Writer) OID(tag int, dotted string) {
	body, _ := EncodeOID(dotted)
	if tag < 0 {
		w.Universal(TagOID, body)
		return
	}
	w.b = AppendElement(w.b, Context, uint32(tag), false, body)
}
