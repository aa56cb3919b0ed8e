package httpwire

// This file determines where the body of a message ends. Both the reader of messages and the Splitter decide by it.

import (
	"strconv"
	"strings"
)

// Names of the header fields that state where a body ends.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// unstatedLength is the length of a body without Content-Length.
const unstatedLength = -1

// framing is what a message's header fields say of the end of its body. A message whose body could end in two places is an error.
type framing struct {
	length  int // bytes, or unstatedLength
	chunked bool
	http11  bool // the message's version is HTTP/1.1: older ones have no chunks
}

func newFraming(http11 bool) framing { return framing{length: unstatedLength, http11: http11} }

// addField records a header field. Its name is in lower case.
func (f *framing) addField(name, value string) error {
	switch name {
	case contentLength:
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || f.length != unstatedLength && f.length != int(n) {
			return messageErrorf(400, "invalid or conflicting content-length %.40q", value)
		}
		f.length = int(n)
	case transferEncoding:
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return messageErrorf(501, "unsupported transfer-encoding %.40q", value)
		}
		f.chunked = true
	}
	return nil
}

// check returns an error if the body could end in two places. It is called once all fields are recorded.
func (f *framing) check() error {
	if f.chunked && (f.length != unstatedLength || !f.http11) {
		return messageErrorf(400, "chunked body with a content-length, or in HTTP/1.0")
	}
	return nil
}
