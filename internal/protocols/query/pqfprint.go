package query

// This file prints Type-1 queries as PQF.

import (
	"fmt"
	"strings"
)

// PQF returns the query's text, which ParsePQF parses back into the same query.
func (r *RPN) PQF() string {
	var b strings.Builder
	r.writePQF(&b)
	return b.String()
}

func (r *RPN) writePQF(b *strings.Builder) {
	switch {
	case !r.IsOperand():
		b.WriteString("@" + r.Op.String() + " ")
		for _, n := range r.Proximity {
			fmt.Fprintf(b, "%d ", n)
		}
		r.Operands[0].writePQF(b)
		b.WriteByte(' ')
		r.Operands[1].writePQF(b)
	case r.ResultSet != "":
		b.WriteString("@set ")
		writePQFTerm(b, r.ResultSet)
	default:
		for _, a := range r.Attributes {
			b.WriteString("@attr ")
			if a.Set != "" {
				b.WriteString(a.Set + " ")
			}
			if a.Text != "" {
				fmt.Fprintf(b, "%d=%s ", a.Type, a.Text)
			} else {
				fmt.Fprintf(b, "%d=%d ", a.Type, a.Value)
			}
		}
		writePQFTerm(b, r.Term)
	}
}

// writePQFTerm writes a term, always in quotes, so that it is not taken for a command.
func writePQFTerm(b *strings.Builder, text string) {
	b.WriteByte('"')
	for i := range len(text) {
		if text[i] == '"' || text[i] == '\\' {
			b.WriteByte('\\')
		}
		b.WriteByte(text[i])
	}
	b.WriteByte('"')
}
