package server

// This file owns the quick way through a search's body: the form that nearly all clients write, with nothing that could be read
// in two ways. What it does not know it leaves to encoding/json, which decides; it must never take what that refuses, or read
// anything else out of it (FuzzScan).

import (
	"encoding/json"
	"strconv"
)

type tablet struct {
	shard    int
	fraction float64
}

type scanned struct {
	tablets   []tablet
	statement string
}

// scanner goes through a text; once anything is out of the ordinary it stays bad.
type scanner struct {
	b   []byte
	at  int
	bad bool
}

// scanBody reads a body in its ordinary form: the keys known, each once, in lower case, texts without escapes.
func scanBody(body []byte) (out scanned, ok bool) {
	s := scanner{b: body}
	tablets, statement := false, false
	s.want('{')
	for first := true; !s.bad; first = false {
		if s.peek() == '}' {
			s.at++
			break
		}
		if !first {
			s.want(',')
		}
		key := s.text()
		s.want(':')
		switch {
		case string(key) == "tablets" && !tablets:
			tablets = true
			out.tablets = s.tablets()
		case string(key) == "statement" && !statement:
			statement = true
			out.statement = string(s.text())
		default:
			s.bad = true
		}
	}
	s.space()
	return out, !s.bad && s.at == len(s.b) && statement && len(out.tablets) > 0
}

func (s *scanner) tablets() (all []tablet) {
	s.want('[')
	all = make([]tablet, 0, 8)
	for first := true; !s.bad; first = false {
		if s.peek() == ']' {
			s.at++
			break
		}
		if !first {
			s.want(',')
		}
		all = append(all, s.tablet())
	}
	return all
}

func (s *scanner) tablet() (t tablet) {
	shard, fraction, others := false, false, 0
	s.want('{')
	for first := true; !s.bad; first = false {
		if s.peek() == '}' {
			s.at++
			break
		}
		if !first {
			s.want(',')
		}
		key := string(s.text())
		s.want(':')
		switch {
		case key == "tablet" && !shard:
			shard = true
			n, whole := s.number()
			var err error
			if t.shard, err = strconv.Atoi(n); err != nil || !whole {
				s.bad = true
			}
		case key == "fraction" && !fraction:
			fraction = true
			n, _ := s.number()
			var err error
			if t.fraction, err = strconv.ParseFloat(n, 64); err != nil {
				s.bad = true
			}
		case key == "guess" && others&1 == 0:
			others |= 1
			s.number()
		case key == "token" && others&2 == 0:
			others |= 2
			s.text()
		default:
			s.bad = true
		}
	}
	s.bad = s.bad || !shard || !fraction
	return t
}

func (s *scanner) space() {
	for s.at < len(s.b) {
		switch s.b[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// peek is the next byte that counts; 0 at the end.
func (s *scanner) peek() byte {
	s.space()
	if s.at == len(s.b) {
		s.bad = true
		return 0
	}
	return s.b[s.at]
}

func (s *scanner) want(c byte) {
	if s.peek() != c {
		s.bad = true
	} else if !s.bad {
		s.at++
	}
}

// text reads a text of printable ASCII without escapes.
func (s *scanner) text() []byte {
	s.want('"')
	from := s.at
	for !s.bad && s.at < len(s.b) {
		switch c := s.b[s.at]; {
		case c == '"':
			s.at++
			return s.b[from : s.at-1]
		case c < ' ' || c >= 0x7f || c == '\\':
			s.bad = true
		default:
			s.at++
		}
	}
	s.bad = true
	return nil
}

// number reads a number as JSON writes them; whole tells that it has neither fraction nor exponent.
func (s *scanner) number() (text string, whole bool) {
	s.peek()
	from := s.at
	digits := func() {
		n := s.at
		for s.at < len(s.b) && s.b[s.at] >= '0' && s.b[s.at] <= '9' {
			s.at++
		}
		s.bad = s.bad || s.at == n
	}
	is := func(c byte) bool { return s.at < len(s.b) && s.b[s.at] == c }
	if is('-') {
		s.at++
	}
	if is('0') {
		s.at++
	} else {
		digits()
	}
	whole = true
	if is('.') {
		whole = false
		s.at++
		digits()
	}
	if is('e') || is('E') {
		whole = false
		if s.at++; is('+') || is('-') {
			s.at++
		}
		digits()
	}
	return string(s.b[from:s.at]), whole
}

// appendText writes a text as JSON, as encoding/json does.
func appendText(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(text) // texts always encode
			return append(b, quoted...)
		}
	}
	return append(append(append(b, '"'), text...), '"')
}
