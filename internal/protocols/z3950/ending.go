package z3950

// This file encodes and decodes the messages that delete result sets and close a session.

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"flaxfront/internal/protocols/ber"
)

func (m *DeleteRequest) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(32):
			all := 0
			r.int(x, &all)
			m.All = all == 1
		case x.IsUniversal(ber.TagSequence):
			return x.Each(func(y *ber.Element) error {
				var name string
				r.text(y, &name)
				if m.ResultSets = append(m.ResultSets, name); len(m.ResultSets) > 1000 {
					return errors.New("more than 1000 result sets")
				}
				return r.err
			})
		}
		return r.err
	})
	return r.err
}

func (m *DeleteRequest) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagDeleteRequest, func(w *ber.Writer) {
		m.write(w)
		all := 0
		if m.All {
			all = 1
		}
		w.Int(32, all)
		if len(m.ResultSets) > 0 {
			w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
				for _, s := range m.ResultSets {
					w.Text(31, s)
				}
			})
		}
	})
}

func (m *DeleteResponse) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(0):
			r.int(x, &m.Status)
		}
		return r.err
	})
	return r.err
}

func (m *DeleteResponse) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagDeleteResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(0, m.Status)
	})
}

func (m *Close) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(211):
			r.int(x, &m.Reason)
		case x.IsContext(3):
			r.text(x, &m.Text)
		}
		return r.err
	})
	return r.err
}

func (m *Close) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagClose, func(w *ber.Writer) {
		m.write(w)
		w.Int(211, m.Reason)
		if m.Text != "" {
			w.Text(3, m.Text)
		}
	})
}

// validText returns b as a string, quoted with escapes if it is not valid UTF-8.
func validText(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return fmt.Sprintf("%q", b)
}
