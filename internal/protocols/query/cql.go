package query

// This file owns CQL: reading and printing. It must never let through what the grammar does not allow.

import (
	"strings"
	"unicode/utf8"
)

type cql struct {
	text  string
	at    int
	tok   token
	nodes int
	depth int
	err   *Fault
}

// ParseCQL reads a query of CQL.
func ParseCQL(text string) (*Query, error) {
	if len(text) > MaxText {
		return nil, tooMany.with(-1, "%d bytes, %d at most", len(text), MaxText)
	}
	if !utf8.ValidString(text) {
		return nil, syntax.with(-1, "not UTF-8")
	}
	p := &cql{text: text}
	p.next()
	q := &Query{}
	for p.err == nil && p.is(">") {
		q.Prefixes = append(q.Prefixes, p.prefix())
		if len(q.Prefixes) > MaxDepth {
			p.fail(tooMany, "more than %d prefixes", MaxDepth)
		}
	}
	q.Root = p.clauses()
	if p.err == nil && p.keyword("sortby") {
		p.next()
		q.Sort = p.keys()
	}
	if p.err == nil && p.tok.kind != end {
		p.fail(syntax, "%.40q is not expected here", p.tok.text)
	}
	if p.err != nil {
		return nil, p.err
	}
	return q, nil
}

func (p *cql) fail(f Fault, format string, args ...any) {
	if p.err == nil {
		p.err = f.with(p.tok.at, format, args...)
	}
	p.tok = token{kind: end, at: p.at}
	p.at = len(p.text)
}

func (p *cql) is(sym string) bool { return p.tok.kind == symbol && p.tok.text == sym }

func (p *cql) keyword(name string) bool { return p.tok.kind == word && equalFold(p.tok.text, name) }

func (p *cql) boolean() (Op, bool) {
	for op := And; op <= Prox; op++ {
		if p.keyword(op.String()) {
			return op, true
		}
	}
	return 0, false
}

// reserved tells whether a word can't stand for a term or a name without quotes.
func (p *cql) reserved() bool {
	_, boolean := p.boolean()
	return boolean || p.keyword("sortby")
}

// prefix reads > [name =] uri.
func (p *cql) prefix() (x Prefix) {
	p.next()
	if p.tok.kind != word && p.tok.kind != quoted {
		p.fail(syntax, "a prefix needs a name")
		return x
	}
	x.URI = p.tok.text
	if p.next(); p.is("=") {
		p.next()
		if p.tok.kind != word && p.tok.kind != quoted {
			p.fail(syntax, "a prefix needs what it stands for")
			return x
		}
		x.Name, x.URI = x.URI, p.tok.text
		p.next()
	}
	return x
}

// clauses reads clauses joined by booleans, which bind to the left and all alike.
func (p *cql) clauses() *Node {
	if p.depth++; p.depth > MaxDepth {
		p.fail(tooMany, "nested more than %d deep", MaxDepth)
		return nil
	}
	defer func() { p.depth-- }()
	left := p.clause()
	for p.err == nil {
		op, ok := p.boolean()
		if !ok {
			break
		}
		p.next()
		n := &Node{Op: op, Left: left, Modifiers: p.modifiers()}
		n.Right = p.clause()
		left = p.count(n)
	}
	return left
}

func (p *cql) count(n *Node) *Node {
	if p.nodes++; p.nodes > MaxNodes {
		p.fail(tooMany, "more than %d clauses and booleans", MaxNodes)
	}
	return n
}

func (p *cql) clause() *Node {
	if p.is("(") {
		p.next()
		n := p.clauses()
		if p.err == nil && !p.is(")") {
			p.fail(syntax, "a bracket is not closed")
			return nil
		}
		p.next()
		return n
	}
	if p.err != nil || p.tok.kind != quoted && (p.tok.kind != word || p.reserved()) {
		p.fail(syntax, "a term is wanted, not %.40q", p.tok.text)
		return nil
	}
	first := p.tok
	p.next()
	comparison := p.tok.kind == symbol && strings.ContainsAny(p.tok.text, "=<>")
	named := p.tok.kind == word && !p.reserved() // a second word can only be a relation
	if !comparison && !named {
		return p.count(&Node{Term: first.text})
	}
	n := &Node{Index: first.text, Relation: p.tok.text}
	if named {
		n.Relation = strings.ToLower(n.Relation)
	}
	p.next()
	n.Modifiers = p.modifiers()
	if p.tok.kind != word && p.tok.kind != quoted || p.reserved() {
		p.fail(syntax, "%.40q %s what?", n.Index, n.Relation)
		return nil
	}
	n.Term = p.tok.text
	if equalFold(n.Index, "cql.resultSetId") && n.Relation == "=" {
		n.ResultSet, n.Index, n.Relation, n.Term = n.Term, "", "", ""
	}
	p.next()
	return p.count(n)
}

// modifiers reads /name and /name comparison value, as many as there are.
func (p *cql) modifiers() (all []Modifier) {
	for p.err == nil && p.is("/") {
		p.next()
		if p.tok.kind != word && p.tok.kind != quoted {
			p.fail(syntax, "a modifier needs a name")
			return nil
		}
		m := Modifier{Name: p.tok.text}
		if p.next(); p.tok.kind == symbol && strings.ContainsAny(p.tok.text, "=<>") {
			m.Comparison = p.tok.text
			p.next()
			if p.tok.kind != word && p.tok.kind != quoted {
				p.fail(syntax, "modifier %.40q needs a value", m.Name)
				return nil
			}
			m.Value = p.tok.text
			p.next()
		}
		if all = append(all, m); len(all) > MaxDepth {
			p.fail(tooMany, "more than %d modifiers", MaxDepth)
		}
	}
	return all
}

func (p *cql) keys() (all []Key) {
	for p.err == nil && (p.tok.kind == word || p.tok.kind == quoted) {
		k := Key{Index: p.tok.text}
		p.next()
		k.Modifiers = p.modifiers()
		if all = append(all, k); len(all) > MaxDepth {
			p.fail(tooMany, "more than %d keys to sort by", MaxDepth)
		}
	}
	if len(all) == 0 {
		p.fail(syntax, "sortby what?")
	}
	return all
}
