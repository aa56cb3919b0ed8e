package statemachine

import (
	"encoding/binary"
)

// codec encodes and decodes fields by the same code, so that both directions agree. Numbers are unsigned varints; strings and lists
// begin with their length.
type codec struct {
	data    []byte // bytes written so far, or still to be read
	reading bool
	failed  bool
}

func (c *codec) fail() {
	c.failed = true
	c.data = nil
}

func uintField[T ~uint8 | ~uint16 | ~uint32 | ~uint64](c *codec, v *T) {
	if !c.reading {
		c.data = binary.AppendUvarint(c.data, uint64(*v))
		return
	}
	x, n := binary.Uvarint(c.data)
	if n <= 0 || uint64(T(x)) != x {
		c.fail()
		return
	}
	*v = T(x)
	c.data = c.data[n:]
}

func (c *codec) boolField(v *bool) {
	var x uint8
	if *v {
		x = 1
	}
	uintField(c, &x)
	if x > 1 {
		c.failed = true
	}
	*v = x == 1
}

func (c *codec) stringField(v *string) {
	n := uint64(len(*v))
	uintField(c, &n)
	if !c.reading {
		c.data = append(c.data, *v...)
		return
	}
	if c.failed || n > uint64(len(c.data)) {
		c.fail()
		return
	}
	*v = string(c.data[:n])
	c.data = c.data[n:]
}

// nodeIDBytes is the encoded size of a node: an IPv4 address and a port.
const nodeIDBytes = 6

func (c *codec) nodeField(v *NodeID) {
	if !c.reading {
		c.data = append(c.data, v.Addr[:]...)
		c.data = binary.BigEndian.AppendUint16(c.data, v.Port)
		return
	}
	if len(c.data) < nodeIDBytes {
		c.fail()
		return
	}
	v.Addr = [4]byte(c.data)
	v.Port = binary.BigEndian.Uint16(c.data[len(v.Addr):])
	c.data = c.data[nodeIDBytes:]
}

// listField encodes or decodes a list. It does not allocate by the encoded length, and rejects one that exceeds the remaining bytes (each
// element takes at least one), so that short malformed input cannot cause a large allocation.
func listField[T any](c *codec, l *[]T, element func(*codec, *T)) {
	n := uint64(len(*l))
	uintField(c, &n)
	if !c.reading {
		for i := range *l {
			element(c, &(*l)[i])
		}
		return
	}
	*l = nil
	if n > uint64(len(c.data)) {
		c.fail()
		return
	}
	for range n {
		var x T
		element(c, &x)
		if c.failed {
			return
		}
		*l = append(*l, x)
	}
}

// pointerField returns a function that encodes or decodes a field behind a pointer that is never nil.
func pointerField[T any](element func(*codec, *T)) func(*codec, **T) {
	return func(c *codec, p **T) {
		if c.reading {
			*p = new(T)
		}
		element(c, *p)
	}
}

// optionalField encodes or decodes a field that may be absent, which is a nil pointer.
func optionalField[T any](c *codec, p **T, element func(*codec, *T)) {
	present := *p != nil
	c.boolField(&present)
	if present && !c.failed {
		pointerField(element)(c, p)
	}
}
