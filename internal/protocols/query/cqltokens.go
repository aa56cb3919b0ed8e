package query

// This file owns the tokens of CQL.

import (
	"slices"
	"strings"
)

type tokenKind uint8

const (
	end    tokenKind = iota
	word             // letters that need no quotes
	quoted           // what stood between quotes, escapes kept but for \"
	symbol           // ( ) / or a comparison
)

type token struct {
	kind tokenKind
	text string
	at   int
}

func plain(c byte) bool {
	return !strings.ContainsRune(" \t\r\n()=<>\"/", rune(c))
}

// next reads a token.
func (p *cql) next() {
	for p.at < len(p.text) && strings.IndexByte(" \t\r\n", p.text[p.at]) >= 0 {
		p.at++
	}
	p.tok = token{at: p.at}
	if p.at == len(p.text) {
		return
	}
	from := p.at
	switch c := p.text[p.at]; {
	case c == '"':
		var b strings.Builder
		for p.at++; ; p.at++ {
			if p.at >= len(p.text) {
				p.tok.at = from
				p.fail(syntax, "a quote is not closed")
				return
			}
			if p.text[p.at] == '"' {
				p.at++
				p.tok = token{quoted, b.String(), from}
				return
			}
			if p.text[p.at] == '\\' && p.at+1 < len(p.text) {
				if p.text[p.at+1] != '"' { // others mean something to the term: \* is no mask
					b.WriteByte('\\')
				}
				p.at++
			}
			b.WriteByte(p.text[p.at])
		}
	case strings.IndexByte("()/", c) >= 0:
		p.at++
		p.tok = token{symbol, string(c), from}
	case strings.IndexByte("=<>", c) >= 0:
		p.at++
		if p.at < len(p.text) && slices.Contains([]string{"==", "<=", ">=", "<>"}, p.text[from:p.at+1]) {
			p.at++
		}
		p.tok = token{symbol, p.text[from:p.at], from}
	default:
		for p.at < len(p.text) && plain(p.text[p.at]) {
			p.at++
		}
		p.tok = token{word, p.text[from:p.at], from}
	}
}
