package query

// This file owns the reading and printing of Type-1 queries in prefix form.

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

type pqf struct {
	words []string
	at    int
	nodes int
	set   string
}

// ParsePQF reads a query such as @and @attr 1=4 cats @attr 1=1003 "smith, j".
func ParsePQF(text string) (set string, r *RPN, err error) {
	if len(text) > MaxText {
		return "", nil, tooMany.with(-1, "%d bytes, %d at most", len(text), MaxText)
	}
	if !utf8.ValidString(text) {
		return "", nil, syntax.with(-1, "not UTF-8")
	}
	p := &pqf{set: Bib1}
	if p.words, err = split(text); err != nil {
		return "", nil, err
	}
	if p.word() == "@attrset" {
		p.at++
		if p.set, err = setOf(p.word()); err != nil {
			return "", nil, err
		}
		p.at++
	}
	if r, err = p.node(0); err != nil {
		return "", nil, err
	}
	if p.at < len(p.words) {
		return "", nil, syntax.with(-1, "%.40q is left over", p.word())
	}
	return p.set, r, nil
}

// split cuts a text into words. One that was quoted is marked by a first byte 0, so that it is no command.
func split(text string) (words []string, err error) {
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case c == '"':
			var b strings.Builder
			b.WriteByte(0)
			for i++; ; i++ {
				if i >= len(text) {
					return nil, syntax.with(i, "a quote is not closed")
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
			from := i
			for i < len(text) && strings.IndexByte(" \t\r\n", text[i]) < 0 {
				i++
			}
			if text[from] == 0 {
				return nil, syntax.with(from, "a zero byte")
			}
			words = append(words, text[from:i])
		}
	}
	return words, nil
}

func (p *pqf) word() string {
	if p.at < len(p.words) {
		return p.words[p.at]
	}
	return ""
}

// setOf is the object identifier of a named attribute set.
func setOf(name string) (string, error) {
	if equalFold(name, "bib-1") || equalFold(name, "bib1") {
		return Bib1, nil
	}
	for _, part := range strings.Split(name, ".") {
		if n, err := strconv.Atoi(part); err != nil || n < 0 {
			return "", badSet.with(-1, "%.60q", name)
		}
	}
	return name, nil
}

func (p *pqf) node(depth int) (*RPN, error) {
	if p.nodes++; p.nodes > MaxNodes || depth > MaxDepth {
		return nil, tooMany.with(-1, "more than %d parts, or %d deep", MaxNodes, MaxDepth)
	}
	if p.at >= len(p.words) {
		return nil, syntax.with(-1, "something is missing at the end")
	}
	w := p.word()
	p.at++
	switch w {
	case "@and", "@or", "@not", "@prox":
		r := &RPN{Op: map[string]Op{"@and": And, "@or": Or, "@not": Not, "@prox": Prox}[w]}
		if r.Op == Prox {
			for range 6 {
				n, err := strconv.Atoi(map[string]string{"k": "1", "p": "2", "known": "1", "private": "2", "void": "0"}[p.word()])
				if err != nil {
					if n, err = strconv.Atoi(p.word()); err != nil {
						return nil, badProximity.with(-1, "%.40q is no number", p.word())
					}
				}
				r.Proximity = append(r.Proximity, n)
				p.at++
			}
		}
		var err error
		if r.Left, err = p.node(depth + 1); err == nil {
			r.Right, err = p.node(depth + 1)
		}
		return r, err
	case "@set":
		if p.word() == "" {
			return nil, noSet.with(-1, "@set needs a name")
		}
		p.at++
		return &RPN{ResultSet: strings.TrimPrefix(p.words[p.at-1], "\x00")}, nil
	case "@attr":
		a := Attribute{}
		text := p.word()
		p.at++
		if !strings.Contains(text, "=") { // the set of this attribute
			var err error
			if a.Set, err = setOf(text); err != nil {
				return nil, err
			}
			text = p.word()
			p.at++
		}
		kind, value, ok := strings.Cut(text, "=")
		var err error
		if a.Type, err = strconv.Atoi(kind); err != nil || !ok || a.Type < 1 || value == "" {
			return nil, badAttribute.with(-1, "@attr %.40q", text)
		}
		if a.Value, err = strconv.Atoi(value); err != nil || a.Value < 0 {
			a.Value, a.Text = 0, value
		}
		r, err := p.node(depth + 1)
		if err == nil {
			err = r.inherit(a)
		}
		return r, err
	case "@term":
		p.at++ // its type: all are sent as general ones
		return p.node(depth + 1)
	}
	if strings.HasPrefix(w, "@") {
		return nil, syntax.with(-1, "%.40q", w)
	}
	return &RPN{Term: strings.TrimPrefix(w, "\x00")}, nil
}

// PQF prints a query so that ParsePQF reads the same one.
func (r *RPN) PQF() string {
	var b strings.Builder
	r.pqf(&b)
	return b.String()
}

func (r *RPN) pqf(b *strings.Builder) {
	switch {
	case !r.IsOperand():
		b.WriteString("@" + r.Op.String() + " ")
		for _, n := range r.Proximity {
			fmt.Fprintf(b, "%d ", n)
		}
		r.Left.pqf(b)
		b.WriteByte(' ')
		r.Right.pqf(b)
	case r.ResultSet != "":
		b.WriteString("@set ")
		pqfWord(b, r.ResultSet)
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
		pqfWord(b, r.Term)
	}
}

// pqfWord writes a term, always in quotes: there it can't be taken for anything else.
func pqfWord(b *strings.Builder, text string) {
	b.WriteByte('"')
	for i := range len(text) {
		if text[i] == '"' || text[i] == '\\' {
			b.WriteByte('\\')
		}
		b.WriteByte(text[i])
	}
	b.WriteByte('"')
}
