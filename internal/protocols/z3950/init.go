package z3950

// This file owns the form of the messages that open a session.

import (
	"flaxfront/internal/protocols/ber"
)

func (m *InitRequest) read(e *ber.Element, accepted *bool) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(3):
			m.Version3 = x.Bit(2)
		case x.Is(4):
			m.Search, m.Present, m.Delete = x.Bit(optSearch), x.Bit(optPresent), x.Bit(optDelete)
			m.Concurrent, m.NamedResultSets = x.Bit(optConcurrent), x.Bit(optNamed)
		case x.Is(5):
			r.int(x, &m.Preferred)
		case x.Is(6):
			r.int(x, &m.Most)
		case x.Is(12) && accepted != nil:
			r.bool(x, accepted)
		case x.Is(7):
			m.authentication(&r, x)
		case x.Is(110):
			r.text(x, &m.ID)
		case x.Is(111):
			r.text(x, &m.Name)
		case x.Is(112):
			r.text(x, &m.Release)
		}
		return r.err
	}))
	return r.err
}

// authentication reads an open form, user/key, or the one of user, group and password.
func (m *InitRequest) authentication(r *reading, e *ber.Element) {
	r.keep(e.Each(func(x *ber.Element) error {
		if x.IsUniversal(ber.TagVisible) || x.IsUniversal(ber.TagGeneral) {
			r.text(x, &m.User)
		} else if x.IsUniversal(ber.TagSequence) {
			return x.Each(func(y *ber.Element) error {
				switch {
				case y.Is(0):
					r.text(y, &m.Group)
				case y.Is(1):
					r.text(y, &m.User)
				case y.Is(2):
					r.text(y, &m.Key)
				}
				return r.err
			})
		}
		return r.err
	}))
}

func (m *InitRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagInitRequest, func(w *ber.Writer) { m.fill(w, nil) })
}

func (m *InitResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagInitResponse, func(w *ber.Writer) { m.fill(w, &m.Accepted) })
}

func (m *InitRequest) fill(w *ber.Writer, accepted *bool) {
	m.write(w)
	versions, options := []int{0, 1}, []int{}
	if m.Version3 {
		versions = append(versions, 2)
	}
	for _, o := range []struct {
		on  bool
		bit int
	}{{m.Search, optSearch}, {m.Present, optPresent}, {m.Delete, optDelete}, {m.Concurrent, optConcurrent}, {m.NamedResultSets, optNamed}} {
		if o.on {
			options = append(options, o.bit)
		}
	}
	w.Bits(3, versions...)
	w.Bits(4, options...)
	w.Int(5, m.Preferred)
	w.Int(6, m.Most)
	if accepted != nil {
		w.Bool(12, *accepted)
	}
	if m.User != "" && accepted == nil {
		w.Within(ber.Context, 7, func(w *ber.Writer) {
			w.Within(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
				if m.Group != "" {
					w.Text(0, m.Group)
				}
				w.Text(1, m.User)
				w.Text(2, m.Key)
			})
		})
	}
	for i, text := range []string{m.ID, m.Name, m.Release} {
		if text != "" {
			w.Text(uint32(110+i), text)
		}
	}
}
