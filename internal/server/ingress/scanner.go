package ingress

// scanner reads JSON of the form that scanBody accepts. Once it meets anything else, failed is set and stays set.
type scanner struct {
	text   []byte
	pos    int
	failed bool
}

// eachKey reads an object, and calls value after each key to read its value; value returns false for a key that it doesn't accept.
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

// ends reports whether the closing bracket of an object or array comes next, and if so consumes it.
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

// peek skips white space and returns the next byte; at the end of the text it fails and returns 0.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.pos == len(s.text) {
		s.failed = true
		return 0
	}
	return s.text[s.pos]
}

// expect skips white space and consumes c, or fails if another byte comes next.
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

// scannedNumber is a number in JSON syntax.
type scannedNumber struct {
	text    string
	integer bool // it has neither fraction nor exponent
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

// skip consumes c if it comes next, and reports whether it did.
func (s *scanner) skip(c byte) bool {
	if s.pos == len(s.text) || s.text[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// digits consumes one or more digits, and fails if there is none.
func (s *scanner) digits() {
	from := s.pos
	for s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9' {
		s.pos++
	}
	s.failed = s.failed || s.pos == from
}
