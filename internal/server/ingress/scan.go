package ingress

import "strconv"

// scanBody decodes a body in the form that nearly all clients write: known keys, each once, in lower case, and strings without escapes. It
// accepts nothing that encoding/json rejects or reads differently, and reports false for any other form, which unmarshalBody decodes.
func scanBody(body []byte) (b queryBody, ok bool) {
	s := scanner{text: body}
	tablets := false
	statement := false
	s.eachKey(func(key []byte) bool {
		switch {
		case string(key) == "tablets" && !tablets:
			tablets = true
			b.shards = s.shards()
		case string(key) == "statement" && !statement:
			statement = true
			b.statement = string(s.str())
		default:
			return false
		}
		return true
	})
	s.skipSpace()
	return b, !s.failed && s.pos == len(s.text) && statement && len(b.shards) > 0
}

// typicalShards is the initial capacity for a query's shards.
const typicalShards = 8

func (s *scanner) shards() []bodyShard {
	all := make([]bodyShard, 0, typicalShards)
	s.expect('[')
	for first := true; !s.failed && !s.ends(']'); first = false {
		if !first {
			s.expect(',')
		}
		all = append(all, s.shard())
	}
	return all
}

func (s *scanner) shard() (b bodyShard) {
	var seenTablet, seenFraction, seenGuess, seenToken bool // keys read so far
	s.eachKey(func(key []byte) bool {
		switch {
		case string(key) == "tablet" && !seenTablet:
			seenTablet = true
			b.number = s.integer()
		case string(key) == "fraction" && !seenFraction:
			seenFraction = true
			b.weight = s.float()
		case string(key) == "guess" && !seenGuess:
			seenGuess = true
			s.number()
		case string(key) == "token" && !seenToken:
			seenToken = true
			s.str()
		default:
			return false
		}
		return true
	})
	s.failed = s.failed || !seenTablet || !seenFraction
	return b
}

func (s *scanner) integer() int {
	n := s.number()
	value, err := strconv.Atoi(n.text)
	if err != nil || !n.integer {
		s.failed = true
	}
	return value
}

func (s *scanner) float() float64 {
	n := s.number()
	value, err := strconv.ParseFloat(n.text, 64)
	if err != nil {
		s.failed = true
	}
	return value
}
