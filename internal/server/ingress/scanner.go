package ingress

// scanner reads JSON from left to right; once anything is out of the ordinary it has failed for good.
type scanner struct {
	text   []byte
	pos    int
	failed bool
}

// eachKey reads an object, and has value read what stands under each of its keys; value returns false for a key that it doesn't accept.
func (s *scanner) eachKey(value func(key []byte) bool) {
	s.expect('{')
	for first := true; !s.failed && !s.ends('}'); first = false {
		if !first {
			s.expect(',')
		}
		key := s.str()
		s.expect(':')
		if !value(key) {
			s.failed = true
		}
	}
}

// ends tells whether an object or an array ends here, and steps over its end.
func (s *scanner) ends(closing byte) bool {
	if s.peek() != closing {
		return false
	}
	s.pos++
	return true
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		switch s.text[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// peek is the next byte that is no space; 0 at the end.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.pos == len(s.text) {
		s.failed = true
		return 0
	}
	return s.text[s.pos]
}

// expect steps over a byte that must come next.
func (s *scanner) expect(c byte) {
	switch {
	case s.peek() != c:
		s.failed = true
	case !s.failed:
		s.pos++
	}
}

// str reads a string of printable ASCII without escapes.
func (s *scanner) str() []byte {
	s.expect('"')
	from := s.pos
	for !s.failed && s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == '"':
			s.pos++
			return s.text[from : s.pos-1]
		case c < ' ' || c >= 0x7f || c == '\\':
			s.failed = true
		default:
			s.pos++
		}
	}
	s.failed = true
	return nil
}

// scannedNumber is a number as JSON writes it.
type scannedNumber struct {
	text    string
	integer bool // with neither fraction nor exponent
}

func (s *scanner) number() scannedNumber {
	s.peek()
	from := s.pos
	s.skip('-')
	if !s.skip('0') {
		s.digits()
	}
	integer := true
	if s.skip('.') {
		integer = false
		s.digits()
	}
	if s.skip('e') || s.skip('E') {
		integer = false
		if !s.skip('+') {
			s.skip('-')
		}
		s.digits()
	}
	return scannedNumber{text: string(s.text[from:s.pos]), integer: integer}
}

// skip steps over a byte if it comes next, and tells whether it did.
func (s *scanner) skip(c byte) bool {
	if s.pos == len(s.text) || s.text[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// digits steps over one digit or more.
func (s *scanner) digits() {
	from := s.pos
	for s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9' {
		s.pos++
	}
	s.failed = s.failed || s.pos == from
}
