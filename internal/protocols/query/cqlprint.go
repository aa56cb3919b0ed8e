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
			quote(&b, x.Name)
			b.WriteString(" = ")
		}
		quote(&b, x.URI)
		b.WriteByte(' ')
	}
	q.Root.cql(&b, false)
	if len(q.Sort) > 0 {
		b.WriteString(" sortby")
		for _, k := range q.Sort {
			b.WriteByte(' ')
			quote(&b, k.Index)
			modify(&b, k.Modifiers)
		}
	}
	return b.String()
}

func (n *Node) cql(b *strings.Builder, right bool) {
	switch {
	case n.IsClause() && n.ResultSet != "":
		b.WriteString("cql.resultSetId = ")
		quote(b, n.ResultSet)
	case n.IsClause():
		if n.Index != "" || n.Relation != "" {
			index, relation := n.Index, n.Relation
			if index == "" {
				index = "cql.serverChoice"
			}
			if relation == "" {
				relation = "="
			}
			quote(b, index)
			b.WriteString(" " + relation)
			modify(b, n.Modifiers)
			b.WriteByte(' ')
		}
		quote(b, n.Term)
	default:
		if right {
			b.WriteByte('(')
		}
		n.Left.cql(b, false)
		b.WriteString(" " + n.Op.String())
		modify(b, n.Modifiers)
		b.WriteByte(' ')
		n.Right.cql(b, true)
		if right {
			b.WriteByte(')')
		}
	}
}

func modify(b *strings.Builder, all []Modifier) {
	for _, m := range all {
		b.WriteString(" /")
		quote(b, m.Name)
		if m.Comparison != "" {
			b.WriteString(" " + m.Comparison + " ")
			quote(b, m.Value)
		}
	}
}

// quote writes a word, in quotes where it needs them.
func quote(b *strings.Builder, text string) {
	bare := text != ""
	for i := range len(text) {
		bare = bare && plain(text[i])
	}
	for _, k := range []string{"and", "or", "not", "prox", "sortby"} {
		bare = bare && !equalFold(text, k)
	}
	if bare {
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
