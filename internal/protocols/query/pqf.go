package query

// This file parses and prints Type-1 queries in PQF.

import (
	"cmp"
	"slices"
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

// parseNode parses an operand or an operator with its operands, behind the attributes that are given to all operands of it.
func (p *pqfParser) parseNode(depth int) (*RPN, error) {
	attributes, err := p.parseAttributes()
	if err != nil {
		return nil, err
	}
	if p.nodes++; p.nodes > MaxNodes || depth > MaxDepth {
		return nil, tooComplex.withDetails(-1, "more than %d parts, or %d deep", MaxNodes, MaxDepth)
	}
	r, err := p.parsePart(depth)
	if err != nil {
		return nil, err
	}
	for _, a := range slices.Backward(attributes) { // the innermost counts, of several of a type
		if err := r.addAttribute(a); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (p *pqfParser) parsePart(depth int) (*RPN, error) {
	if p.pos >= len(p.words) {
		return nil, syntaxError.withDetails(-1, "something is missing at the end")
	}
	w := p.currentWord()
	p.pos++
	if op, ok := pqfOperators[w]; ok {
		return p.parseOperation(op, depth)
	}
	if w == "@set" {
		if p.currentWord() == "" {
			return nil, badResultSet.withDetails(-1, "@set needs a name")
		}
		p.pos++
		return &RPN{ResultSet: strings.TrimPrefix(p.words[p.pos-1], "\x00")}, nil
	}
	if strings.HasPrefix(w, "@") {
		return nil, syntaxError.withDetails(-1, "%.40q", w)
	}
	return &RPN{Term: strings.TrimPrefix(w, "\x00")}, nil
}

var pqfOperators = map[string]Op{"@and": And, "@or": Or, "@not": Not, "@prox": Prox}

// parseOperation parses what follows the name of an operator.
func (p *pqfParser) parseOperation(op Op, depth int) (*RPN, error) {
	r := &RPN{Op: op, Operands: &[2]RPN{}}
	if op == Prox {
		for range 6 {
			n, err := parseProximityParameter(p.currentWord())
			if err != nil {
				return nil, err
			}
			r.Proximity = append(r.Proximity, n)
			p.pos++
		}
	}
	for i := range r.Operands {
		operand, err := p.parseNode(depth + 1)
		if err != nil {
			return nil, err
		}
		r.Operands[i] = *operand
	}
	return r, nil
}

// proximityNames are the names that PQF has for numbers among the parameters of proximity.
var proximityNames = map[string]string{"k": "1", "p": "2", "known": "1", "private": "2", "void": "0"}

func parseProximityParameter(word string) (int, error) {
	n, err := strconv.Atoi(cmp.Or(proximityNames[word], word))
	if err != nil {
		return 0, badProximity.withDetails(-1, "%.40q is no number", word)
	}
	return n, nil
}

// parseAttributes parses the attributes and types of terms before a part. Types are skipped: every term is sent as a general one.
func (p *pqfParser) parseAttributes() (all []Attribute, err error) {
	for {
		switch p.currentWord() {
		case "@attr":
			p.pos++
			a, err := p.parseAttribute()
			if err != nil {
				return nil, err
			}
			if all = append(all, a); len(all) > MaxDepth {
				return nil, badAttribute.withDetails(-1, "more than %d attributes of one part", MaxDepth)
			}
		case "@term":
			p.pos += 2
		default:
			return all, nil
		}
	}
}

// parseAttribute parses [SET] TYPE=VALUE, what follows @attr.
func (p *pqfParser) parseAttribute() (a Attribute, err error) {
	text := p.currentWord()
	p.pos++
	if !strings.Contains(text, "=") { // this attribute names its own attribute set
		if a.Set, err = attributeSetOID(text); err != nil {
			return a, err
		}
		text = p.currentWord()
		p.pos++
	}
	kind, value, ok := strings.Cut(text, "=")
	if a.Type, err = strconv.Atoi(kind); err != nil || !ok || a.Type < 1 || value == "" {
		return a, badAttribute.withDetails(-1, "@attr %.40q", text)
	}
	if a.Value, err = strconv.Atoi(value); err != nil || a.Value < 0 {
		a.Value, a.Text = 0, value
	}
	return a, nil
}
