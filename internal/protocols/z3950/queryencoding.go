package z3950

// This file encodes Type-1 queries.

import (
	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

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
