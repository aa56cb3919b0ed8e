package httpwire

// This file finds the ends of requests that another HTTP implementation parses.

import "bytes"

const (
	maxSplitLine   = 128 // bytes of a line of a head that a Splitter keeps
	maxSplitFields = 256 // header fields of a request that a Splitter lets pass
	versionSuffix  = " HTTP/1.1"
)

// splitterState is the part of a request that the next byte belongs to.
type splitterState int

const (
	inRequestLine splitterState = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd // the line end behind a chunk
	inTrailer
)

// Splitter finds the end of each request among the bytes of a connection, for an HTTP implementation that would read on where a request has an
// ambiguous end. It is given all bytes in order, in any pieces. It keeps a part of one line only. The zero value is ready for a connection's first
// byte.
type Splitter struct {
	state     splitterState
	line      [maxSplitLine]byte // the end of a request line, or the start of a header field
	buffered  int                // bytes of line
	long      bool               // the header field is longer than what is kept
	fields    int                // of the head, or of the trailer
	framing   framing
	remaining int // bytes of the body, or of the chunk
}

// Next returns how many of the bytes belong to the present request, which is complete if not all do; the others are to be given again once the
// request is answered. An error is a *MessageError: the end of the request is ambiguous, and the connection can't be used any longer.
func (s *Splitter) Next(b []byte) (n int, err error) {
	for n < len(b) {
		if s.state == inBody || s.state == inChunk {
			part := min(s.remaining, len(b)-n)
			n += part
			if s.remaining -= part; s.remaining == 0 && s.endPart() {
				return n, nil
			}
			continue
		}
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			s.keep(b[n:])
			return len(b), nil
		}
		s.keep(b[n : n+end])
		n += end + 1
		complete, err := s.endLine()
		if complete || err != nil {
			return n, err
		}
	}
	return n, nil
}

// endPart ends a body or a chunk, and reports whether the request is complete.
func (s *Splitter) endPart() (complete bool) {
	if s.state == inChunk {
		s.state = inChunkEnd
		return false
	}
	s.state = inRequestLine
	return true
}

// keep records a part of a line without its end.
func (s *Splitter) keep(part []byte) {
	if s.state == inRequestLine {
		part = part[max(0, len(part)-maxSplitLine):]
		drop := max(0, s.buffered+len(part)-maxSplitLine)
		s.buffered = copy(s.line[:], s.line[drop:s.buffered])
	}
	s.long = s.long || len(part) > maxSplitLine-s.buffered
	s.buffered += copy(s.line[s.buffered:], part)
}

// endLine evaluates a line, and reports whether it completes a request.
func (s *Splitter) endLine() (complete bool, err error) {
	line, hasCR := bytes.CutSuffix(s.line[:s.buffered], []byte{'\r'})
	long := s.long
	s.buffered, s.long = 0, false
	if s.state >= inChunkSize && !hasCR && !long {
		return false, messageErrorf(400, "line of a chunked body that does not end in CRLF")
	}
	switch s.state {
	case inRequestLine:
		if len(line) > 0 { // an empty line before a request is ignored
			s.state, s.fields, s.framing = inFields, 0, newFraming(bytes.HasSuffix(line, []byte(versionSuffix)))
		}
		return false, nil
	case inFields:
		if len(line) == 0 {
			return s.endHead()
		}
		return false, s.addField(line, long)
	case inTrailer:
		if len(line) == 0 {
			s.state = inRequestLine
			return true, nil
		}
		return false, s.addTrailer(line, long)
	default:
		return false, s.endChunkLine(line, long)
	}
}

// addField records a header field's line.
func (s *Splitter) addField(line []byte, long bool) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return messageErrorf(400, "invalid header line %.60q", line)
	}
	if s.fields++; s.fields > maxSplitFields {
		return messageErrorf(431, "more than %d header fields", maxSplitFields)
	}
	for _, known := range []string{contentLength, transferEncoding} {
		if !bytes.EqualFold(name, []byte(known)) {
			continue
		}
		if long {
			return messageErrorf(400, "invalid %s %.40q", known, value)
		}
		return s.framing.addField(known, string(bytes.Trim(value, " \t")))
	}
	return nil
}

// endHead determines where the request's body ends, and reports whether there is none.
func (s *Splitter) endHead() (complete bool, err error) {
	if err := s.framing.check(); err != nil {
		return false, err
	}
	switch {
	case s.framing.chunked:
		s.state = inChunkSize
	case s.framing.length > 0:
		s.state, s.remaining = inBody, s.framing.length
	default:
		s.state = inRequestLine
		return true, nil
	}
	return false, nil
}
