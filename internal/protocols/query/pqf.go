package query

// This file parses and prints Type-1 queries in PQF.

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

type pqfParser struct {
	words        []string
	pos          int
	nodes        int
	attributeSet string
}

// ParsePQF parses a query such as @and @attr 1=4 cats @attr 1=1003 "smith, j" and returns its attribute set as an object identifier.
func ParsePQF(text string) (attributeSet string, r *RPN, err error) {
	if len(text) > MaxText {
		return "", nil, tooComplex.withDetails(-1, "%d bytes, %d at most", len(text), MaxText)
	}
	if !utf8.ValidString(text) {
		return "", nil, syntaxError.withDetails(-1, "not UTF-8")
	}
	p := &pqfParser{attributeSet: Bib1}
	if p.words, err = splitWords(text); err != nil {
		return "", nil, err
	}
	if p.currentWord() == "@attrset" {
		p.pos++
		if p.attributeSet, err = attributeSetOID(p.currentWord()); err != nil {
			return "", nil, err
		}
		p.pos++
	}
	if r, err = p.parseNode(0); err != nil {
		return "", nil, err
	}
	if p.pos < len(p.words) {
		return "", nil, syntaxError.withDetails(-1, "%.40q is left over", p.currentWord())
	}
	return p.attributeSet, r, nil
}

// splitWords splits a text into words. A quoted word starts with a zero byte, so that it is not taken for a command such as @and.
func splitWords(text string) (words []string, err error) {
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case c == '"':
			var b strings.Builder
			b.WriteByte(0)
			for i++; ; i++ {
				if i >= len(text) {
					return nil, syntaxError.withDetails(i, "a quote is not closed")
				}
				if text[i] == '"' {
					i++
					break
				}
				if text[i] == '\\' && i+1 < len(text) {
					i++
				}
				b.WriteByte(text[i])
			}
			words = append(words, b.String())
		default:
			start := i
			for i < len(text) && strings.IndexByte(" \t\r\n", text[i]) < 0 {
				i++
			}
			if text[start] == 0 {
				return nil, syntaxError.withDetails(start, "a zero byte")
			}
			words = append(words, text[start:i])
		}
	}
	return words, nil
}

func (p *pqfParser) currentWord() string {
	if p.pos < len(p.words) {
		return p.words[p.pos]
	}
	return ""
}

// attributeSetOID returns the object identifier of an attribute set that is given by name or as an object identifier.
func attributeSetOID(name string) (string, error) {
	if equalFold(name, "bib-1") || equalFold(name, "bib1") {
		return Bib1, nil
	}
	for _, part := range strings.Split(name, ".") {
		if n, err := strconv.Atoi(part); err != nil || n < 0 {
			return "", badAttributeSet.withDetails(-1, "%.60q", name)
		}
	}
	return name, nil
}

func (p *pqfParser) parseNode(depth int) (*RPN, error) {
	if p.nodes++; p.nodes > MaxNodes || depth > MaxDepth {
		return nil, tooComplex.withDetails(-1, "more than %d parts, or %d deep", MaxNodes, MaxDepth)
	}
	if p.pos >= len(p.words) {
		return nil, syntaxError.withDetails(-1, "something is missing at the end")
	}
	w := p.currentWord()
	p.pos++
	switch w {
	case "@and", "@or", "@not", "@prox":
		r := &RPN{Op: map[string]Op{"@and": And, "@or": Or, "@not": Not, "@prox": Prox}[w]}
		if r.Op == Prox {
			for range 6 {
				n, err := strconv.Atoi(map[string]string{"k": "1", "p": "2", "known": "1", "private": "2", "void": "0"}[p.currentWord()])
				if err != nil {
					if n, err = strconv.Atoi(p.currentWord()); err != nil {
						return nil, badProximity.withDetails(-1, "%.40q is no number", p.currentWord())
					}
				}
				r.Proximity = append(r.Proximity, n)
				p.pos++
			}
		}
		r.Operands = &[2]RPN{}
		for i := range r.Operands {
			operand, err := p.parseNode(depth + 1)
			if err != nil {
				return nil, err
			}
			r.Operands[i] = *operand
		}
		return r, nil
	case "@set":
		if p.currentWord() == "" {
			return nil, badResultSet.withDetails(-1, "@set needs a name")
		}
		p.pos++
		return &RPN{ResultSet: strings.TrimPrefix(p.words[p.pos-1], "\x00")}, nil
	case "@attr":
		a := Attribute{}
		text := p.currentWord()
		p.pos++
		if !strings.Contains(text, "=") { // this attribute names its own attribute set
			var err error
			if a.Set, err = attributeSetOID(text); err != nil {
				return nil, err
			}
			text = p.currentWord()
			p.pos++
		}
		kind, value, ok := strings.Cut(text, "=")
		var err error
		if a.Type, err = strconv.Atoi(kind); err != nil || !ok || a.Type < 1 || value == "" {
			return nil, badAttribute.withDetails(-1, "@attr %.40q", text)
		}
		if a.Value, err = strconv.Atoi(value); err != nil || a.Value < 0 {
			a.Value, a.Text = 0, value
		}
		r, err := p.parseNode(depth + 1)
		if err == nil {
			err = r.addAttribute(a)
		}
		return r, err
	case "@term":
		p.pos++ // skips the term's type: every term is sent as a general one
		return p.parseNode(depth + 1)
	}
	if strings.HasPrefix(w, "@") {
		return nil, syntaxError.withDetails(-1, "%.40q", w)
	}
	return &RPN{Term: strings.TrimPrefix(w, "\x00")}, nil
}

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
