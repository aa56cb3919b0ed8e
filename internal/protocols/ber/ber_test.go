package ber

import (
	"bytes"
	"errors"
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

// Encoded elements decode to the same values: integers of every size, tags above 30, strings, object identifiers, bit strings, nesting.
func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tag := rapid.Uint32Range(0, 1<<20).Draw(t, "tag")
		n := rapid.Int().Draw(t, "number")
		text := rapid.StringN(0, 300, -1).Draw(t, "text")
		bit := rapid.IntRange(0, 40).Draw(t, "bit")
		oid := "1.2.840.10003.3." + strings.Repeat("9", rapid.IntRange(1, 8).Draw(t, "digits"))
		var w Writer
		w.Constructed(Context, tag, func(w *Writer) {
			w.Int(tag, n)
			w.Text(5, text)
			w.OID(-1, oid)
			w.BitString(3, bit)
			w.Bool(4, n > 0)
		})
		e, rest, err := Next(w.Bytes())
		if err != nil || len(rest) > 0 || !e.IsContext(tag) {
			t.Fatalf("%+v, %v", e, err)
		}
		var got []Element
		e.Each(func(x *Element) error {
			got = append(got, *x)
			return nil
		})
		back, err1 := got[0].Int()
		b, err2 := got[1].Bytes()
		o, err3 := got[2].OID()
		yes, err4 := got[4].Bool()
		if errors.Join(err1, err2, err3, err4) != nil || back != n || string(b) != text || o != oid || !got[3].Bit(bit) || got[3].Bit(bit+1) || yes != (n > 0) {
			t.Fatalf("%d, %q, %s, %v", back, b, o, errors.Join(err1, err2, err3, err4))
		}
		if size, err := Length(w.Bytes(), 1<<20); err != nil || size != len(w.Bytes()) {
			t.Fatalf("%d of %d bytes, %v", size, len(w.Bytes()), err)
		}
	})
}

// Elements of indefinite length, also nested ones, decode like those of definite length.
func TestIndefinite(t *testing.T) {
	b := []byte{0xa1, 0x80, 0xa2, 0x80, 0x83, 1, 7, 0, 0, 0x84, 2, 'h', 'i', 0, 0, 'x'}
	e, rest, err := Next(b)
	if err != nil || string(rest) != "x" || !e.IsContext(1) {
		t.Fatalf("%+v, %q, %v", e, rest, err)
	}
	n := 0
	if err := e.Each(func(*Element) error { n++; return nil }); err != nil || n != 2 {
		t.Errorf("%d elements, %v", n, err)
	}
	for cut := range len(b) - 1 {
		if size, err := Length(b[:cut], 100); size != 0 || err != nil {
			t.Errorf("of %d bytes: %d, %v", cut, size, err)
		}
	}
	if size, _ := Length(b, 100); size != len(b)-1 {
		t.Errorf("%d bytes", size)
	}
}

// Excessive lengths, endless tags, primitives of indefinite length and excessive nesting are errors, which are
// found quickly.
func TestHostile(t *testing.T) {
	for name, b := range map[string][]byte{
		"nesting":           bytes.Repeat([]byte{0xa1, 0x80}, 100_000),
		"length of 5 bytes": {0xa1, 0x85, 1, 1, 1, 1, 1},
		"primitive":         {0x81, 0x80, 0, 0},
		"tag":               bytes.Repeat([]byte{0xff}, 20),
		"too long":          {0xa1, 0x84, 0x7f, 0xff, 0xff, 0xff},
	} {
		if size, err := Length(b, 1<<16); err == nil || size != 0 {
			t.Errorf("%s: %d, %v", name, size, err)
		}
	}
	if _, _, err := Next([]byte{0xa1, 5, 1}); !errors.Is(err, ErrTruncated) {
		t.Error(err)
	}
	if size, err := Length(append([]byte{0xa1, 0x80}, bytes.Repeat([]byte{0x81, 0}, 1000)...), 100); size != 0 || err == nil {
		t.Errorf("endless element: length %d, error %v", size, err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte{0xa1, 0x80, 0x02, 1, 5, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		size, err := Length(b, 1<<16)
		if err == nil && size > 0 && size <= len(b) {
			if _, rest, err := Next(b); err == nil && len(b)-len(rest) != size {
				t.Fatalf("%d bytes according to Length, %d according to Next", size, len(b)-len(rest))
			}
		}
		var walk func(e *Element, depth int)
		walk = func(e *Element, depth int) {
			e.Int()
			e.OID()
			e.Bytes()
			if depth < 5 && e.Constructed {
				e.Each(func(x *Element) error { walk(x, depth+1); return nil })
			}
		}
		if e, _, err := Next(b); err == nil {
			walk(&e, 0)
		}
	})
}
