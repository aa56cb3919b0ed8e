package z3950

// This file encodes and decodes the messages that open a session.

import (
	"flaxfront/internal/protocols/ber"
)

func (m *InitRequest) read(e *ber.Element, accepted *bool) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(3):
			m.Version3 = x.Bit(2)
		case x.IsContext(4):
			m.Search, m.Present, m.Delete = x.Bit(optSearch), x.Bit(optPresent), x.Bit(optDelete)
			m.Concurrent, m.NamedResultSets = x.Bit(optConcurrent), x.Bit(optNamedResultSets)
		case x.IsContext(5):
			r.int(x, &m.PreferredMessageSize)
		case x.IsContext(6):
			r.int(x, &m.ExceptionalRecordSize)
		case x.IsContext(12) && accepted != nil:
			r.bool(x, accepted)
		case x.IsContext(7):
			m.authentication(&r, x)
		case x.IsContext(110):
			r.text(x, &m.ImplementationID)
		case x.IsContext(111):
			r.text(x, &m.ImplementationName)
		case x.IsContext(112):
			r.text(x, &m.ImplementationVersion)
		}
		return r.err
	})
	if accepted != nil {
		r.require(12)
	}
	return r.err
}

// authentication decodes idAuthentication: either the open form, one string that is kept as the user, or user, group and password.
func (m *InitRequest) authentication(r *fieldReader, e *ber.Element) {
	r.keepError(e.Each(func(x *ber.Element) error {
		if x.IsUniversal(ber.TagVisibleString) || x.IsUniversal(ber.TagGeneralString) {
			r.text(x, &m.User)
		} else if x.IsUniversal(ber.TagSequence) {
			return x.Each(func(y *ber.Element) error {
				switch {
				case y.IsContext(0):
					r.text(y, &m.Group)
				case y.IsContext(1):
					r.text(y, &m.User)
				case y.IsContext(2):
					r.text(y, &m.Password)
				}
				return r.err
			})
		}
		return r.err
	}))
}

func (m *InitRequest) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagInitRequest, func(w *ber.Writer) { m.writeFields(w, nil) })
}

func (m *InitResponse) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagInitResponse, func(w *ber.Writer) { m.writeFields(w, &m.Accepted) })
}

func (m *InitRequest) writeFields(w *ber.Writer, accepted *bool) {
	m.write(w)
	versions, options := []int{0, 1}, []int{}
	if m.Version3 {
		versions = append(versions, 2)
	}
	for _, o := range []struct {
		on  bool
		bit int
	}{{m.Search, optSearch}, {m.Present, optPresent}, {m.Delete, optDelete}, {m.Concurrent, optConcurrent}, {m.NamedResultSets, optNamedResultSets}} {
		if o.on {
			options = append(options, o.bit)
		}
	}
	w.BitString(3, versions...)
	w.BitString(4, options...)
	w.Int(5, m.PreferredMessageSize)
	w.Int(6, m.ExceptionalRecordSize)
	if accepted != nil {
		w.Bool(12, *accepted)
	}
	if accepted == nil && (m.User != "" || m.Group != "" || m.Password != "") {
		w.Constructed(ber.Context, 7, func(w *ber.Writer) {
			w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
				if m.Group != "" {
					w.Text(0, m.Group)
				}
				w.Text(1, m.User)
				w.Text(2, m.Password)
			})
		})
	}
	for i, text := range []string{m.ImplementationID, m.ImplementationName, m.ImplementationVersion} {
		if text != "" {
			w.Text(uint32(110+i), text)
		}
	}
}
