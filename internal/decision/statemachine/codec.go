package statemachine

import (
	"encoding/binary"
)

// codec writes and reads the same fields by the same code, so that what is written is what is read.
type codec struct {
	b       []byte
	reading bool
	bad     bool
}

func num[T ~uint8 | ~uint16 | ~uint32 | ~uint64](c *codec, v *T) {
	if !c.reading {
		c.b = binary.AppendUvarint(c.b, uint64(*v))
		return
	}
	x, n := binary.Uvarint(c.b)
	if n <= 0 || uint64(T(x)) != x {
		c.bad, c.b = true, nil
		return
	}
	*v, c.b = T(x), c.b[n:]
}

func (c *codec) flag(v *bool) {
	var x uint8
	if *v {
		x = 1
	}
	if num(c, &x); x > 1 {
		c.bad = true
	}
	*v = x == 1
}

func (c *codec) str(v *string) {
	n := uint64(len(*v))
	num(c, &n)
	if !c.reading {
		c.b = append(c.b, *v...)
		return
	}
	if c.bad || n > uint64(len(c.b)) {
		c.bad, c.b = true, nil
		return
	}
	*v, c.b = string(c.b[:n]), c.b[n:]
}

func (c *codec) node(v *NodeID) {
	if !c.reading {
		c.b = binary.BigEndian.AppendUint16(append(c.b, v.Addr[:]...), v.Port)
		return
	}
	if len(c.b) < 6 {
		c.bad, c.b = true, nil
		return
	}
	v.Addr, v.Port, c.b = [4]byte(c.b), binary.BigEndian.Uint16(c.b[4:]), c.b[6:]
}

// list never makes room by what a length claims: each element takes a byte at least, so that a short text can't ask for much.
func list[T any](c *codec, l *[]T, each func(*codec, *T)) {
	n := uint64(len(*l))
	num(c, &n)
	if !c.reading {
		for i := range *l {
			each(c, &(*l)[i])
		}
		return
	}
	*l = nil
	if n > uint64(len(c.b)) {
		c.bad, c.b = true, nil
		return
	}
	for range n {
		var x T
		if each(c, &x); c.bad {
			return
		}
		*l = append(*l, x)
	}
}
