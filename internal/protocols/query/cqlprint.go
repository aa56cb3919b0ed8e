package query

// This file prints queries as CQL.

import (
	"strings"
)

// CQL returns the query's text, which ParseCQL parses back into the same query.
func (q *Query) CQL() string {
	var b strings.Builder
	for _, x := range q.Prefixes {
		b.WriteString("> ")
		if x.Name != "" {
			writeWord(&b, x.Name)
			b.WriteString(" = ")
		}
		writeWord(&b, x.URI)
		b.WriteByte(' ')
	}
	q.Root.writeCQL(&b, false)
	if len(q.Sort) > 0 {
		b.WriteString(" sortby")
		for _, k := range q.Sort {
			b.WriteByte(' ')
			writeWord(&b, k.Index)
			writeModifiers(&b, k.Modifiers)
		}
	}
	return b.String()
}

func (n *Node) writeCQL(b *strings.Builder, right bool) {
	switch {
	case n.IsClause() && n.ResultSet != "":
		b.WriteString("cql.resultSetId = ")
		writeWord(b, n.ResultSet)
	case n.IsClause():
		if n.Index != "" || n.Relation != "" {
			index, relation := n.Index, n.Relation
			if index == "" {
				index = "cql.serverChoice"
			}
			if relation == "" {
				relation = "="
			}
			writeWord(b, index)
			b.WriteString(" " + relation)
			writeModifiers(b, n.Modifiers)
			b.WriteByte(' ')
		}
		writeWord(b, n.Term)
	default:
		if right {
			b.WriteByte('(')
		}
		n.Operands[0].writeCQL(b, false)
		b.WriteString(" " + n.Op.String())
		writeModifiers(b, n.Modifiers)
		b.WriteByte(' ')
		n.Operands[1].writeCQL(b, true)
		if right {
			b.WriteByte(')')
		}
	}
}

func writeModifiers(b *strings.Builder, all []Modifier) {
	for _, m := range all {
		b.WriteString(" /")
		writeWord(b, m.Name)
		if m.Comparison != "" {
			b.WriteString(" " + m.Comparison + " ")
			writeWord(b, m.Value)
		}
	}
}

// writeWord writes a word, quoted if it is empty, reserved or has a byte that ends an unquoted word.
func writeWord(b *strings.Builder, text string) {
	unquoted := text != ""
	for i := range len(text) {
		unquoted = unquoted && isUnquotedByte(text[i])
	}
	for _, k := range []string{"and", "or", "not", "prox", "sortby"} {
		unquoted = unquoted && !equalFold(text, k)
	}
	if unquoted {
		b.WriteString(text)
		return
	}
	b.WriteByte('"')
	for i := 0; i < len(text); i++ {
		if text[i] == '"' {
			b.WriteByte('\\')
		}
		b.WriteByte(text[i])
		if text[i] == '\\' && i+1 < len(text) { // the escaped byte is copied as it is
			i++
			b.WriteByte(text[i])
		}
	}
	b.WriteByte('"')
}
