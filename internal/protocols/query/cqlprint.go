package query

// This file owns the printing of queries as CQL.

import (
	"strings"
)

// CQL prints a query so that ParseCQL reads the same one.
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
		n.Left.writeCQL(b, false)
		b.WriteString(" " + n.Op.String())
		writeModifiers(b, n.Modifiers)
		b.WriteByte(' ')
		n.Right.writeCQL(b, true)
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

// writeWord writes a word, in quotes where it needs them.
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
		if text[i] == '\\' && i+1 < len(text) { // an escape goes as a pair
			i++
			b.WriteByte(text[i])
		}
	}
	b.WriteByte('"')
}
