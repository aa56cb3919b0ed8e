package z3950

// This file encodes and decodes the messages that search and present.

import (
	"errors"

	"flaxfront/internal/protocols/ber"
)

func (m *SearchRequest) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(13):
			r.int(x, &m.SmallSetUpperBound)
		case x.IsContext(14):
			r.int(x, &m.LargeSetLowerBound)
		case x.IsContext(15):
			r.int(x, &m.MediumSetPresentNumber)
		case x.IsContext(16):
			r.bool(x, &m.Replace)
		case x.IsContext(17):
			r.text(x, &m.ResultSet)
		case x.IsContext(18):
			return x.Each(func(y *ber.Element) error {
				var name string
				r.text(y, &name)
				if m.Databases = append(m.Databases, name); len(m.Databases) > 100 {
					return errors.New("more than 100 databases")
				}
				return r.err
			})
		case x.IsContext(104):
			r.oid(x, &m.Syntax)
		case x.IsContext(21):
			r.keepError(m.readQuery(x))
		}
		return r.err
	})
	if r.err == nil && m.Query == nil {
		r.err = errors.New("no Type-1 query")
	}
	return r.err
}

func (m *SearchRequest) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagSearchRequest, func(w *ber.Writer) {
		m.write(w)
		w.Int(13, m.SmallSetUpperBound)
		w.Int(14, m.LargeSetLowerBound)
		w.Int(15, m.MediumSetPresentNumber)
		w.Bool(16, m.Replace)
		w.Text(17, m.ResultSet)
		w.Constructed(ber.Context, 18, func(w *ber.Writer) {
			for _, d := range m.Databases {
				w.Text(105, d)
			}
		})
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
		w.Constructed(ber.Context, 21, func(w *ber.Writer) { writeQuery(w, m.AttributeSet, m.Query) })
	})
}

func (m *SearchResponse) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(23):
			r.int(x, &m.Count)
		case x.IsContext(24):
			r.int(x, &m.Returned)
		case x.IsContext(25):
			r.int(x, &m.NextPosition)
		case x.IsContext(22):
			r.bool(x, &m.OK)
		case x.IsContext(26):
			r.int(x, &m.ResultSetStatus)
		case x.IsContext(27):
			r.int(x, &m.PresentStatus)
		default:
			r.keepError(m.Records.read(x))
		}
		return r.err
	})
	r.require(22, 23, 24, 25)
	return r.err
}

func (m *SearchResponse) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagSearchResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(23, m.Count)
		w.Int(24, m.Returned)
		w.Int(25, m.NextPosition)
		w.Bool(22, m.OK)
		if m.ResultSetStatus != 0 {
			w.Int(26, m.ResultSetStatus)
		}
		if m.PresentStatus != 0 || len(m.Records.All) > 0 {
			w.Int(27, m.PresentStatus)
		}
		m.Records.write(w)
	})
}

func (m *PresentRequest) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(31):
			r.text(x, &m.ResultSet)
		case x.IsContext(30):
			r.int(x, &m.Start)
		case x.IsContext(29):
			r.int(x, &m.Want)
		case x.IsContext(19):
			return x.Each(func(y *ber.Element) error {
				if y.IsContext(0) {
					r.text(y, &m.ElementSetName)
				}
				return r.err
			})
		case x.IsContext(104):
			r.oid(x, &m.Syntax)
		}
		return r.err
	})
	r.require(29, 30, 31)
	return r.err
}

func (m *PresentRequest) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagPresentRequest, func(w *ber.Writer) {
		m.write(w)
		w.Text(31, m.ResultSet)
		w.Int(30, m.Start)
		w.Int(29, m.Want)
		if m.ElementSetName != "" {
			w.Constructed(ber.Context, 19, func(w *ber.Writer) { w.Text(0, m.ElementSetName) })
		}
		if m.Syntax != "" {
			w.OID(104, m.Syntax)
		}
	})
}

func (m *PresentResponse) read(e *ber.Element) error {
	var r fieldReader
	r.sequence(e, func(x *ber.Element) error {
		switch {
		case x.IsContext(2):
			m.readReferenceID(&r, x)
		case x.IsContext(24):
			r.int(x, &m.Returned)
		case x.IsContext(25):
			r.int(x, &m.NextPosition)
		case x.IsContext(27):
			r.int(x, &m.Status)
		default:
			r.keepError(m.Records.read(x))
		}
		return r.err
	})
	r.require(24, 25, 27)
	return r.err
}

func (m *PresentResponse) append(w *ber.Writer) {
	w.Constructed(ber.Context, tagPresentResponse, func(w *ber.Writer) {
		m.write(w)
		w.Int(24, m.Returned)
		w.Int(25, m.NextPosition)
		w.Int(27, m.Status)
		m.Records.write(w)
	})
}
