package z3950

// This file encodes and decodes records and diagnostics.

import (
	"fmt"

	"flaxfront/internal/protocols/ber"
)

const maxRecords = 10_000

// read decodes a response's field if it has the records or the diagnostics, and ignores any other.
func (r *Records) read(e *ber.Element) error {
	switch {
	case e.IsContext(28): // records
		return e.Each(func(x *ber.Element) error {
			record := Record{}
			if err := record.read(x); err != nil {
				return err
			}
			if r.All = append(r.All, record); len(r.All) > maxRecords {
				return fmt.Errorf("more than %d records", maxRecords)
			}
			return nil
		})
	case e.IsContext(130): // a non-surrogate diagnostic
		f, err := readFault(e)
		r.Fault = f
		return err
	case e.IsContext(205): // several non-surrogate diagnostics, of which the first is kept
		return e.Each(func(x *ber.Element) error {
			f, err := readFault(x)
			if r.Fault == nil {
				r.Fault = f
			}
			return err
		})
	}
	return nil
}

func (r *Record) read(e *ber.Element) error {
	return e.Each(func(x *ber.Element) error {
		switch {
		case x.IsContext(0):
			b, err := x.Bytes()
			r.Database = validText(b)
			return err
		case x.IsContext(1):
			return x.Each(func(y *ber.Element) error { return r.readBody(y) })
		}
		return nil
	})
}

func (r *Record) readBody(e *ber.Element) error {
	switch {
	case e.IsContext(1): // retrieval record, an EXTERNAL
		return e.Each(func(x *ber.Element) error { return r.readExternal(x) })
	case e.IsContext(2): // surrogate diagnostic
		return e.Each(func(x *ber.Element) (err error) {
			r.Fault, err = readFault(x)
			return err
		})
	}
	return nil
}

func (r *Record) readExternal(e *ber.Element) error {
	return e.Each(func(x *ber.Element) (err error) {
		switch {
		case x.IsUniversal(ber.TagOID):
			r.Syntax, err = x.OID()
		case x.IsContext(1): // octet-aligned
			var b []byte
			b, err = x.Bytes()
			r.Body = append([]byte(nil), b...)
		case x.IsContext(0): // single-ASN1-type: SUTRS is a string
			err = x.Each(func(y *ber.Element) error {
				b, err := y.Bytes()
				r.Body = append([]byte(nil), b...)
				return err
			})
		}
		return err
	})
}

// readFault decodes a diagnostic's condition code and its additional information.
func readFault(e *ber.Element) (*Fault, error) {
	f := &Fault{}
	err := e.Each(func(x *ber.Element) (err error) {
		switch {
		case x.IsUniversal(ber.TagInteger):
			f.Code, err = x.Int()
		case x.IsUniversal(ber.TagVisibleString), x.IsUniversal(ber.TagGeneralString):
			var b []byte
			b, err = x.Bytes()
			f.Text = validText(b)
		}
		return err
	})
	return f, err
}

func (r *Records) write(w *ber.Writer) {
	if r.Fault != nil {
		w.Constructed(ber.Context, 130, func(w *ber.Writer) { r.Fault.write(w) })
		return
	}
	if len(r.All) == 0 {
		return
	}
	w.Constructed(ber.Context, 28, func(w *ber.Writer) {
		for i := range r.All {
			r.All[i].write(w)
		}
	})
}

func (r *Record) write(w *ber.Writer) {
	w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
		if r.Database != "" {
			w.Text(0, r.Database)
		}
		w.Constructed(ber.Context, 1, func(w *ber.Writer) {
			if r.Fault != nil {
				w.Constructed(ber.Context, 2, func(w *ber.Writer) {
					w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) { r.Fault.write(w) })
				})
				return
			}
			w.Constructed(ber.Context, 1, func(w *ber.Writer) {
				w.Constructed(ber.Universal, ber.TagExternal, func(w *ber.Writer) {
					w.OID(-1, r.Syntax)
					if r.Syntax == SUTRS {
						w.Constructed(ber.Context, 0, func(w *ber.Writer) { w.Universal(ber.TagGeneralString, r.Body) })
						return
					}
					w.Text(1, string(r.Body))
				})
			})
		})
	})
}

func (f *Fault) write(w *ber.Writer) {
	w.OID(-1, Bib1Diagnostics)
	w.UniversalInt(f.Code)
	w.Universal(ber.TagGeneralString, []byte(f.Text))
}
