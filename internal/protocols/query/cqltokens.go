package query

// This file owns the tokens of CQL.

import (
	"slices"
	"strings"
)

type tokenKind uint8

const (
	tokenEnd    tokenKind = iota
	tokenWord             // letters that need no quotes
	tokenQuoted           // what stood between quotes, escapes kept but for \"
	tokenSymbol           // ( ) / or a comparison
)

type token struct {
	kind tokenKind
	text string
	pos  int
}

func isUnquotedByte(c byte) bool {
	return !strings.ContainsRune(" \t\r\n()=<>\"/", rune(c))
}

// next reads a token.
func (p *cqlParser) next() {
	for p.pos < len(p.text) && strings.IndexByte(" \t\r\n", p.text[p.pos]) >= 0 {
		p.pos++
	}
	p.tok = token{pos: p.pos}
	if p.pos == len(p.text) {
		return
	}
	start := p.pos
	switch c := p.text[p.pos]; {
	case c == '"':
		var b strings.Builder
		for p.pos++; ; p.pos++ {
			if p.pos >= len(p.text) {
				p.tok.pos = start
				p.fail(syntaxError, "a quote is not closed")
				return
			}
			if p.text[p.pos] == '"' {
				p.pos++
				p.tok = token{tokenQuoted, b.String(), start}
				return
			}
			if p.text[p.pos] == '\\' && p.pos+1 < len(p.text) {
				if p.text[p.pos+1] != '"' { // others mean something to the term: \* is no mask
					b.WriteByte('\\')
				}
				p.pos++
			}
			b.WriteByte(p.text[p.pos])
		}
	case strings.IndexByte("()/", c) >= 0:
		p.pos++
		p.tok = token{tokenSymbol, string(c), start}
	case strings.IndexByte("=<>", c) >= 0:
		p.pos++
		if p.pos < len(p.text) && slices.Contains([]string{"==", "<=", ">=", "<>"}, p.text[start:p.pos+1]) {
			p.pos++
		}
		p.tok = token{tokenSymbol, p.text[start:p.pos], start}
	default:
		for p.pos < len(p.text) && isUnquotedByte(p.text[p.pos]) {
			p.pos++
		}
		p.tok = token{tokenWord, p.text[start:p.pos], start}
	}
}
