package query

// This file splits CQL into tokens.

import (
	"slices"
	"strings"
)

type tokenKind uint8

const (
	tokenEnd    tokenKind = iota
	tokenWord             // unquoted characters
	tokenQuoted           // the text between quotes, with escapes kept except \"
	tokenSymbol           // ( ) / or a comparison symbol
)

type token struct {
	kind tokenKind
	text string
	pos  int
}

func isUnquotedByte(c byte) bool {
	return !strings.ContainsRune(" \t\r\n()=<>\"/", rune(c))
}

// next reads the next token into p.tok; its kind is tokenEnd at the end of the text.
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
				if p.text[p.pos+1] != '"' { // other escapes are kept, as they change the term's meaning: \* is not a masking character
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
