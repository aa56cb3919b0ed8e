package z3950

// This file owns the form of the messages that search and present.

import (
	"errors"

	"flaxfront/internal/protocols/ber"
)

func (m *SearchRequest) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(13):
			r.int(x, &m.Small)
		case x.Is(14):
			r.int(x, &m.Large)
		case x.Is(15):
			r.int(x, &m.Medium)
		case x.Is(16):
			r.bool(x, &m.Replace)
		case x.Is(17):
			r.text(x, &m.ResultSet)
		case x.Is(18):
			return x.Each(func(y *ber.Element) error {
				var name string
				r.text(y, &name)
				if m.Databases = append(m.Databases, name); len(m.Databases) > 100 {
					return errors.New("more than 100 databases")
				}
				return r.err
			})
		case x.Is(104):
			r.oid(x, &m.Syntax)
		case x.Is(21):
			r.keep(m.readQuery(x))
		}
		return r.err
	}))
	if r.err == nil && m.Query == nil {
		r.err = errors.New("no Type-1 query")
	}
	return r.err
}

func (m *SearchRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagSearchRequest, func(w *ber.Writer) {
		m.write(w)
		w.Int(13, m.Small)
		w.Int(14, m.Large)
		w.Int(15, m.Medium)
		w.Bool(16, m.Replace)
		w.Text(17, m.ResultSet)
		w.Within(ber.Context, 18, func(w *ber.Writer) {
			for _, d := range m.Databases {
				w.Text(105, d)
			}
		})
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
		w.Within(ber.Context, 21, func(w *ber.Writer) { writeQuery(w, m.Set, m.Query) })
	})
}

func (m *SearchResponse) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(23):
			r.int(x, &m.Count)
		case x.Is(24):
			r.int(x, &m.Returned)
		case x.Is(25):
			r.int(x, &m.Next)
		case x.Is(22):
			r.bool(x, &m.OK)
		case x.Is(26):
			r.int(x, &m.SetStatus)
		case x.Is(27):
			r.int(x, &m.PresentStatus)
		default:
			r.keep(m.Records.read(x))
		}
		return r.err
	}))
	return r.err
}

func (m *SearchResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagSearchResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(23, m.Count)
		w.Int(24, m.Returned)
		w.Int(25, m.Next)
		w.Bool(22, m.OK)
		if m.SetStatus != 0 {
			w.Int(26, m.SetStatus)
		}
		if m.PresentStatus != 0 || len(m.Records.All) > 0 {
			w.Int(27, m.PresentStatus)
		}
		m.Records.write(w)
	})
}

func (m *PresentRequest) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(31):
			r.text(x, &m.ResultSet)
		case x.Is(30):
			r.int(x, &m.Start)
		case x.Is(29):
			r.int(x, &m.Want)
		case x.Is(19):
			return x.Each(func(y *ber.Element) error {
				if y.Is(0) {
					r.text(y, &m.Elements)
				}
				return r.err
			})
		case x.Is(104):
			r.oid(x, &m.Syntax)
		}
		return r.err
	}))
	return r.err
}

func (m *PresentRequest) append(w *ber.Writer) {
	w.Within(ber.Context, tagPresentRequest, func(w *ber.Writer) {
		m.write(w)
		w.Text(31, m.ResultSet)
		w.Int(30, m.Start)
		w.Int(29, m.Want)
		if m.Elements != "" {
			w.Within(ber.Context, 19, func(w *ber.Writer) { w.Text(0, m.Elements) })
		}
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
	})
}

func (m *PresentResponse) read(e *ber.Element) error {
	var r reading
	r.keep(e.Each(func(x *ber.Element) error {
		switch {
		case x.Is(2):
			m.reference(&r, x)
		case x.Is(24):
			r.int(x, &m.Returned)
		case x.Is(25):
			r.int(x, &m.Next)
		case x.Is(27):
			r.int(x, &m.Status)
		default:
			r.keep(m.Records.read(x))
		}
		return r.err
	}))
	return r.err
}

func (m *PresentResponse) append(w *ber.Writer) {
	w.Within(ber.Context, tagPresentResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(24, m.Returned)
		w.Int(25, m.Next)
		w.Int(27, m.Status)
		m.Records.write(w)
	})
}
