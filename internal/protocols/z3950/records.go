package z3950

// This file encodes and decodes records and diagnostics.

import (
	"errors"
	"fmt"

	"flaxfront/internal/protocols/ber"
)

const maxRecords = 10_000

// read decodes a response's field if it has the records or the diagnostics, of which a response has one, and ignores any other.
func (r *Records) read(e *ber.Element) error {
	if !e.IsContext(28) && !e.IsContext(130) && !e.IsContext(205) {
		return nil
	}
	if r.All != nil || r.Fault != nil {
		return errors.New("records or diagnostics are given twice")
	}
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
	}
	return e.Each(func(x *ber.Element) error { // several non-surrogate diagnostics, of which the first is kept
		f, err := readFault(x)
		if r.Fault == nil {
			r.Fault = f
		}
		return err
	})
}

func (r *Record) read(e *ber.Element) error {
	var members presence
	err := e.Each(func(x *ber.Element) error {
		if err := members.add(x); err != nil {
			return err
		}
		switch {
		case x.IsContext(0):
			b, err := x.Bytes()
			r.Database = validText(b)
			return err
		case x.IsContext(1):
			return r.readBody(x)
		}
		return nil
	})
	if err == nil {
		err = members.require(1)
	}
	return err
}

// readBody decodes what stands for a record: a retrieval record, or a surrogate diagnostic.
func (r *Record) readBody(e *ber.Element) error {
	body, err := onlyChild(e)
	if err != nil {
		return err
	}
	content, err := onlyChild(&body)
	switch {
	case err != nil:
		return err
	case body.IsContext(1):
		return r.readExternal(&content)
	case body.IsContext(2):
		r.Fault, err = readFault(&content)
		return err
	}
	return fmt.Errorf("record of type %d", body.Tag)
}

// readExternal decodes a retrieval record, an EXTERNAL: its syntax and its body in one encoding.
func (r *Record) readExternal(e *ber.Element) error {
	syntaxes, encodings := 0, 0
	err := e.Each(func(x *ber.Element) (err error) {
		switch {
		case x.IsUniversal(ber.TagOID):
			syntaxes++
			r.Syntax, err = x.OID()
		case x.IsContext(1): // octet-aligned
			encodings++
			err = r.readBytes(x)
		case x.IsContext(0): // single-ASN1-type: SUTRS is a string
			encodings++
			var text ber.Element
			if text, err = onlyChild(x); err == nil {
				err = r.readBytes(&text)
			}
		}
		return err
	})
	if err == nil && (syntaxes != 1 || encodings != 1) {
		err = fmt.Errorf("a record with %d syntaxes and %d bodies instead of 1 and 1", syntaxes, encodings)
	}
	return err
}

func (r *Record) readBytes(e *ber.Element) error {
	b, err := e.Bytes()
	r.Body = append([]byte(nil), b...)
	return err
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
