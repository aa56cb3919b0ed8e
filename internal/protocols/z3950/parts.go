package z3950

// This file encodes and decodes Type-1 queries.

import (
	"errors"
	"fmt"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// readQuery decodes a query of Type-1, tag [1], or Type-101, tag [101], which has the same form. Other types are an error.
func (m *SearchRequest) readQuery(e *ber.Element) error {
	return e.Each(func(x *ber.Element) error {
		if !x.IsContext(1) && !x.IsContext(101) {
			return fmt.Errorf("query of type %d", x.Tag)
		}
		nodes := 0
		return x.Each(func(y *ber.Element) (err error) {
			if y.IsUniversal(ber.TagOID) {
				m.AttributeSet, err = y.OID()
				return err
			}
			if m.Query != nil {
				return errors.New("two queries")
			}
			m.Query, err = readRPN(y, 0, &nodes)
			return err
		})
	})
}

// readRPN decodes a part of a query and the parts below it.
func readRPN(e *ber.Element, depth int, nodes *int) (*query.RPN, error) {
	if *nodes++; *nodes > query.MaxNodes || depth > query.MaxDepth {
		return nil, fmt.Errorf("more than %d parts, or %d deep", query.MaxNodes, query.MaxDepth)
	}
	r := &query.RPN{}
	switch {
	case e.IsContext(0): // op
		return r, e.Each(func(x *ber.Element) error {
			switch {
			case x.IsContext(102): // AttributesPlusTerm
				return readOperand(x, r)
			case x.IsContext(31):
				b, err := x.Bytes()
				r.ResultSet = string(b)
				return err
			}
			return fmt.Errorf("operand %d", x.Tag)
		})
	case e.IsContext(1):
		return r, readOperation(e, r, depth, nodes)
	}
	return nil, fmt.Errorf("part %d", e.Tag)
}

// readOperation decodes two operands and the operator that joins them.
func readOperation(e *ber.Element, r *query.RPN, depth int, nodes *int) error {
	var operands []query.RPN
	err := e.Each(func(x *ber.Element) error {
		if x.IsContext(46) {
			return readOperator(x, r)
		}
		operand, err := readRPN(x, depth+1, nodes)
		if err != nil {
			return err
		}
		operands = append(operands, *operand)
		return nil
	})
	if err != nil {
		return err
	}
	if len(operands) != 2 {
		return fmt.Errorf("an operator with %d operands instead of 2", len(operands))
	}
	r.Operands = (*[2]query.RPN)(operands)
	return nil
}

func readOperand(e *ber.Element, r *query.RPN) error {
	return e.Each(func(x *ber.Element) error {
		switch {
		case x.IsContext(44): // attributes
			return x.Each(func(y *ber.Element) error {
				a := query.Attribute{}
				err := y.Each(func(z *ber.Element) (err error) {
					switch {
					case z.IsContext(1):
						a.Set, err = z.OID()
					case z.IsContext(120):
						a.Type, err = z.Int()
					case z.IsContext(121):
						a.Value, err = z.Int()
					case z.IsContext(224): // complex value: a list of numbers or strings, which is not decoded
						a.Text = "complex"
					}
					return err
				})
				if r.Attributes = append(r.Attributes, a); len(r.Attributes) > query.MaxDepth {
					err = errors.New("too many attributes")
				}
				return err
			})
		case x.IsContext(45), x.IsContext(216): // general, characterString
			b, err := x.Bytes()
			r.Term = validText(b)
			return err
		case x.IsContext(215): // numeric
			n, err := x.Int()
			r.Term = fmt.Sprint(n)
			return err
		}
		return fmt.Errorf("term of type %d", x.Tag)
	})
}

func readOperator(e *ber.Element, r *query.RPN) error {
	return e.Each(func(x *ber.Element) error {
		switch {
		case x.IsContext(0):
			r.Op = query.And
		case x.IsContext(1):
			r.Op = query.Or
		case x.IsContext(2):
			r.Op = query.Not
		case x.IsContext(3):
			r.Op = query.Prox
			p := make([]int, 6)
			err := x.Each(func(y *ber.Element) (err error) {
				switch {
				case y.IsContext(1), y.IsContext(3):
					var yes bool
					if yes, err = y.Bool(); yes {
						p[map[bool]int{true: 0, false: 2}[y.IsContext(1)]] = 1
					}
				case y.IsContext(2):
					p[1], err = y.Int()
				case y.IsContext(4):
					p[3], err = y.Int()
				case y.IsContext(5):
					err = y.Each(func(z *ber.Element) (err error) {
						p[4] = int(z.Tag)
						p[5], err = z.Int()
						return err
					})
				}
				return err
			})
			r.Proximity = p
			return err
		default:
			return fmt.Errorf("operator %d", x.Tag)
		}
		return nil
	})
}

func writeQuery(w *ber.Writer, set string, r *query.RPN) {
	w.Constructed(ber.Context, 1, func(w *ber.Writer) {
		if set == "" {
			set = query.Bib1
		}
		w.OID(-1, set)
		writeRPN(w, r)
	})
}

func writeRPN(w *ber.Writer, r *query.RPN) {
	if r.IsOperand() {
		w.Constructed(ber.Context, 0, func(w *ber.Writer) {
			if r.ResultSet != "" {
				w.Text(31, r.ResultSet)
				return
			}
			w.Constructed(ber.Context, 102, func(w *ber.Writer) {
				w.Constructed(ber.Context, 44, func(w *ber.Writer) {
					for _, a := range r.Attributes {
						w.Constructed(ber.Universal, ber.TagSequence, func(w *ber.Writer) {
							if a.Set != "" {
								w.OID(1, a.Set)
							}
							w.Int(120, a.Type)
							w.Int(121, a.Value)
						})
					}
				})
				w.Text(45, r.Term)
			})
		})
		return
	}
	w.Constructed(ber.Context, 1, func(w *ber.Writer) {
		writeRPN(w, &r.Operands[0])
		writeRPN(w, &r.Operands[1])
		w.Constructed(ber.Context, 46, func(w *ber.Writer) {
			if r.Op != query.Prox || len(r.Proximity) != 6 {
				w.Text(uint32(r.Op), "")
				return
			}
			p := r.Proximity
			w.Constructed(ber.Context, 3, func(w *ber.Writer) {
				w.Bool(1, p[0] == 1)
				w.Int(2, p[1])
				w.Bool(3, p[2] == 1)
				w.Int(4, p[3])
				w.Constructed(ber.Context, 5, func(w *ber.Writer) { w.Int(uint32(max(1, p[4])), p[5]) })
			})
		})
	})
}
