package httpwire

// This file finds the ends of chunks for a Splitter. It accepts no form of them that implementations read differently.

import (
	"bytes"
	"strconv"
)

// endChunkLine evaluates the line in front of a chunk, with its size, or the empty one behind it.
func (s *Splitter) endChunkLine(line []byte, long bool) error {
	if s.state == inChunkEnd {
		if len(line) > 0 || long {
			return messageErrorf(400, "chunk longer than its stated size")
		}
		s.state = inChunkSize
		return nil
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
	if err != nil || long || bytes.IndexByte(line, '\r') >= 0 {
		return messageErrorf(400, "invalid chunk size %.40q", line)
	}
	if size == 0 {
		s.state, s.fields = inTrailer, 0
		return nil
	}
	s.state, s.remaining = inChunk, int(size)
	return nil
}

// addTrailer evaluates a field behind the last chunk.
func (s *Splitter) addTrailer(line []byte, long bool) error {
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) || long {
		return messageErrorf(400, "invalid trailer line %.60q", line)
	}
	if s.fields++; s.fields > maxSplitFields {
		return messageErrorf(431, "more than %d trailer fields", maxSplitFields)
	}
	return nil
}
