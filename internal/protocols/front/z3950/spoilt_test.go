package z3950

// This file tests searches that are well-formed BER, but no valid query.

import (
	"errors"
	"io"
	"testing"

	"flaxfront/internal/lab/archive"
	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
	"flaxfront/internal/protocols/z3950"
)

// encodedSearch returns the encoding of a search whose query write writes.
func encodedSearch(write func(*ber.Writer)) []byte {
	var w ber.Writer
	w.Constructed(ber.Context, 22, func(w *ber.Writer) {
		w.Int(13, 0)
		w.Int(14, 1)
		w.Int(15, 0)
		w.Bool(16, true)
		w.Text(17, "a")
		w.Constructed(ber.Context, 18, func(w *ber.Writer) { w.Text(105, "x") })
		w.Constructed(ber.Context, 21, func(w *ber.Writer) {
			w.Constructed(ber.Context, 1, func(w *ber.Writer) {
				w.OID(-1, query.Bib1)
				write(w)
			})
		})
	})
	return w.Bytes()
}

// operation writes an operator's element around its operands and the operator.
func operation(parts ...func(*ber.Writer)) func(*ber.Writer) {
	return func(w *ber.Writer) {
		w.Constructed(ber.Context, 1, func(w *ber.Writer) {
			for _, write := range parts {
				write(w)
			}
		})
	}
}

func joinedBy(tag uint32) func(*ber.Writer) {
	return func(w *ber.Writer) {
		w.Constructed(ber.Context, 46, func(w *ber.Writer) { w.Text(tag, "") })
	}
}

// operand writes an operand with one attribute for each pair of type and value, and the given terms.
func operand(attributes [][2]int, terms ...string) func(*ber.Writer) {
	return func(w *ber.Writer) {
		w.Constructed(ber.Context, 0, func(w *ber.Writer) {
			w.Constructed(ber.Context, 102, func(w *ber.Writer) {
				w.Constructed(ber.Context, 44, func(w *ber.Writer) {
					for _, a := range attributes {
						w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
							w.Int(120, a[0])
							if a[1] >= 0 {
								w.Int(121, a[1])
							}
						})
					}
				})
				for _, term := range terms {
					w.Text(45, term)
				}
			})
		})
	}
}

// Guards against the broker's end by a search whose operator lacks an operand: its session is closed with an error, all others go on.
func TestSearchLackingOperandEndsOnlyItsSession(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := startFront(t, b, testOptions())
	usual := dial(t, f, defaultInit)
	hold := make(chan struct{})
	b.Update(func(b *archive.Broker) { b.Gate = hold })
	usual.Write(z3950.Encode(searchRequest(t, "a", "cat")))
	waitUntil(t, func() bool { return b.Queries() == 1 })
	cat := operand(nil, "cat")
	lacking := operation(cat, joinedBy(0))
	for name, write := range map[string]func(*ber.Writer){"one operand": lacking, "nested": operation(lacking, cat, joinedBy(0))} {
		c := dial(t, f, defaultInit)
		c.Write(encodedSearch(write))
		if m, is := c.receive().(*z3950.Close); !is || m.Reason != 6 {
			t.Errorf("%s: %+v", name, m)
		}
		if _, err := z3950.Read(c.reader); !errors.Is(err, io.EOF) {
			t.Errorf("%s: the connection is not closed: %v", name, err)
		}
	}
	close(hold)
	if r, is := usual.receive().(*z3950.SearchResponse); !is || !r.OK {
		t.Errorf("search in flight: %+v", r)
	}
	if b.Queries() != 1 {
		t.Errorf("%d queries ran, of 1 valid one", b.Queries())
	}
}

// Guards against a search that runs as another than was sent, as its query lacks a part, has one twice, or can't be passed on as it is.
func TestAmbiguousSearchDoesNotRun(t *testing.T) {
	b := archive.New(archive.TextRecord)
	f := startFront(t, b, testOptions())
	cat, dog := operand(nil, "cat"), operand(nil, "dog")
	incomplete := func(w *ber.Writer) {
		w.Constructed(ber.Context, 46, func(w *ber.Writer) {
			w.Constructed(ber.Context, 3, func(w *ber.Writer) { w.Int(4, 2) })
		})
	}
	empty := func(w *ber.Writer) { w.Constructed(ber.Context, 46, func(*ber.Writer) {}) }
	for name, write := range map[string]func(*ber.Writer){
		"no operator":                    operation(cat, dog),
		"two operators":                  operation(cat, dog, joinedBy(1), joinedBy(0)),
		"an empty operator":              operation(cat, dog, empty),
		"proximity without its distance": operation(cat, dog, incomplete),
		"two terms":                      operand(nil, "cat", "dog"),
		"no term":                        operand([][2]int{{1, 4}}),
		"an attribute without value":     operand([][2]int{{1, -1}}, "cat"),
		"an attribute of value 0":        operand([][2]int{{1, 0}}, "cat"),
		"two use attributes":             operand([][2]int{{1, 4}, {1, 1003}}, "cat"),
		"a term that is not UTF-8":       operand(nil, "caf\xe9"),
		"two queries":                    func(w *ber.Writer) { cat(w); dog(w) },
	} {
		c := dial(t, f, defaultInit)
		c.Write(encodedSearch(write))
		switch m := c.receive().(type) {
		case *z3950.Close:
			if m.Reason != 6 {
				t.Errorf("%s: %+v", name, m)
			}
		case *z3950.SearchResponse:
			if m.OK || m.Records.Fault == nil || m.Records.Fault.Code < 100 {
				t.Errorf("%s: %+v, %+v", name, m, m.Records.Fault)
			}
		}
		if n := b.Queries(); n != 0 {
			t.Errorf("%s: ran as a query", name)
			b.Update(func(b *archive.Broker) { b.QueryCount = 0 })
		}
		c.Close()
	}
	c := dial(t, f, defaultInit)
	c.Write(encodedSearch(operation(cat, dog, joinedBy(0))))
	if r, is := c.receive().(*z3950.SearchResponse); !is || !r.OK {
		t.Errorf("valid search: %+v", r)
	}
}
