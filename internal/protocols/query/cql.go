package query

// This file parses CQL. A query that the grammar does not allow is an error.

import (
	"strings"
	"unicode/utf8"
)

type cqlParser struct {
	text  string
	pos   int
	tok   token
	nodes int
	depth int
	err   *Fault
}

// ParseCQL parses a CQL query. Its errors are of type *Fault.
func ParseCQL(text string) (*Query, error) {
	if len(text) > MaxText {
		return nil, tooComplex.withDetails(-1, "%d bytes, %d at most", len(text), MaxText)
	}
	if !utf8.ValidString(text) {
		return nil, syntaxError.withDetails(-1, "not UTF-8")
	}
	p := &cqlParser{text: text}
	p.next()
	q := &Query{}
	for p.err == nil && p.isSymbol(">") {
		q.Prefixes = append(q.Prefixes, p.parsePrefix())
		if len(q.Prefixes) > MaxDepth {
			p.fail(tooComplex, "more than %d prefixes", MaxDepth)
		}
	}
	q.Root = p.parseExpression()
	if p.err == nil && p.isKeyword("sortby") {
		p.next()
		q.Sort = p.parseSortKeys()
	}
	if p.err == nil && p.tok.kind != tokenEnd {
		p.fail(syntaxError, "%.40q is not expected here", p.tok.text)
	}
	if p.err != nil {
		return nil, p.err
	}
	return q, nil
}

func (p *cqlParser) fail(f Fault, format string, args ...any) {
	if p.err == nil {
		p.err = f.withDetails(p.tok.pos, format, args...)
	}
	p.tok = token{kind: tokenEnd, pos: p.pos}
	p.pos = len(p.text)
}

func (p *cqlParser) isSymbol(sym string) bool { return p.tok.kind == tokenSymbol && p.tok.text == sym }

func (p *cqlParser) isKeyword(name string) bool {
	return p.tok.kind == tokenWord && equalFold(p.tok.text, name)
}

func (p *cqlParser) booleanOperator() (Op, bool) {
	for op := And; op <= Prox; op++ {
		if p.isKeyword(op.String()) {
			return op, true
		}
	}
	return 0, false
}

// isReserved reports whether the current token is a reserved word, which can be a term or a name only in quotes.
func (p *cqlParser) isReserved() bool {
	_, booleanOperator := p.booleanOperator()
	return booleanOperator || p.isKeyword("sortby")
}

// parsePrefix parses a prefix assignment: > [name =] uri.
func (p *cqlParser) parsePrefix() (x Prefix) {
	p.next()
	if p.tok.kind != tokenWord && p.tok.kind != tokenQuoted {
		p.fail(syntaxError, "a prefix needs a name")
		return x
	}
	x.URI = p.tok.text
	if p.next(); p.isSymbol("=") {
		p.next()
		if p.tok.kind != tokenWord && p.tok.kind != tokenQuoted {
			p.fail(syntaxError, "a prefix needs what it stands for")
			return x
		}
		x.Name, x.URI = x.URI, p.tok.text
		p.next()
	}
	return x
}

// parseExpression parses clauses joined by booleans, which are left-associative and have the same precedence.
func (p *cqlParser) parseExpression() *Node {
	if p.depth++; p.depth > MaxDepth {
		p.fail(tooComplex, "nested more than %d deep", MaxDepth)
		return nil
	}
	defer func() { p.depth-- }()
	left := p.parseClause()
	for p.err == nil {
		op, ok := p.booleanOperator()
		if !ok {
			break
		}
		p.next()
		n := &Node{Op: op, Modifiers: p.parseModifiers()}
		right := p.parseClause()
		if p.err != nil {
			return nil
		}
		n.Operands = &[2]Node{*left, *right}
		left = p.countNode(n)
	}
	return left
}

func (p *cqlParser) countNode(n *Node) *Node {
	if p.nodes++; p.nodes > MaxNodes {
		p.fail(tooComplex, "more than %d clauses and booleans", MaxNodes)
	}
	return n
}

func (p *cqlParser) parseClause() *Node {
	if p.isSymbol("(") {
		p.next()
		n := p.parseExpression()
		if p.err == nil && !p.isSymbol(")") {
			p.fail(syntaxError, "a bracket is not closed")
			return nil
		}
		p.next()
		return n
	}
	if p.err != nil || p.tok.kind != tokenQuoted && (p.tok.kind != tokenWord || p.isReserved()) {
		p.fail(syntaxError, "a term is wanted, not %.40q", p.tok.text)
		return nil
	}
	first := p.tok
	p.next()
	comparison := p.tok.kind == tokenSymbol && strings.ContainsAny(p.tok.text, "=<>")
	namedRelation := p.tok.kind == tokenWord && !p.isReserved() // a word after the first can only be a relation
	if !comparison && !namedRelation {
		return p.countNode(&Node{Term: first.text})
	}
	n := &Node{Index: first.text, Relation: p.tok.text}
	if namedRelation {
		n.Relation = strings.ToLower(n.Relation)
	}
	p.next()
	n.Modifiers = p.parseModifiers()
	if p.tok.kind != tokenWord && p.tok.kind != tokenQuoted || p.isReserved() {
		p.fail(syntaxError, "%.40q %s what?", n.Index, n.Relation)
		return nil
	}
	n.Term = p.tok.text
	if equalFold(n.Index, "cql.resultSetId") && n.Relation == "=" {
		n.ResultSet, n.Index, n.Relation, n.Term = n.Term, "", "", ""
	}
	p.next()
	return p.countNode(n)
}

// parseModifiers parses a list of modifiers, each of the form /name or /name comparison value.
func (p *cqlParser) parseModifiers() (all []Modifier) {
	for p.err == nil && p.isSymbol("/") {
		p.next()
		if p.tok.kind != tokenWord && p.tok.kind != tokenQuoted {
			p.fail(syntaxError, "a modifier needs a name")
			return nil
		}
		m := Modifier{Name: p.tok.text}
		if p.next(); p.tok.kind == tokenSymbol && strings.ContainsAny(p.tok.text, "=<>") {
			m.Comparison = p.tok.text
			p.next()
			if p.tok.kind != tokenWord && p.tok.kind != tokenQuoted {
				p.fail(syntaxError, "modifier %.40q needs a value", m.Name)
				return nil
			}
			m.Value = p.tok.text
			p.next()
		}
		if all = append(all, m); len(all) > MaxDepth {
			p.fail(tooComplex, "more than %d modifiers", MaxDepth)
		}
	}
	return all
}

func (p *cqlParser) parseSortKeys() (all []SortKey) {
	for p.err == nil && (p.tok.kind == tokenWord || p.tok.kind == tokenQuoted) {
		k := SortKey{Index: p.tok.text}
		p.next()
		k.Modifiers = p.parseModifiers()
		if all = append(all, k); len(all) > MaxDepth {
			p.fail(tooComplex, "more than %d keys to sort by", MaxDepth)
		}
	}
	if len(all) == 0 {
		p.fail(syntaxError, "sortby what?")
	}
	return all
}
