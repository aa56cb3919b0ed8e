package httpwire

// This file reads lines, header fields and chunks. It must never keep more of them than the limits allow.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// readFields reads header fields up to and including the empty line behind them.
func (s source) readFields() (fields []Field, err error) {
	size := 0
	for {
		line, err := s.readLine()
		if err != nil || line == "" {
			return fields, err
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, messageErrorf(400, "invalid header line %.60q", line)
		}
		if fields == nil {
			fields = make([]Field, 0, initialFields)
		}
		if size += len(line); len(fields) == maxFields || size > maxHead {
			return nil, messageErrorf(431, "more than %d header fields, or more than %d bytes of them", maxFields, maxHead)
		}
		value = strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\x00\r") {
			return nil, messageErrorf(400, "control character in header field %s", name)
		}
		if err := s.take(bytesPerField); err != nil {
			return nil, err
		}
		fields = append(fields, Field{lowerName(name), value})
	}
}

// commonNames are names of common header fields, in lower case.
var commonNames = [...]string{"host", "x-request-id", "x-tenant-id", "x-timeout-ms", "content-length", "cookie", "connection",
	"content-type", "x-retried", "transfer-encoding", "user-agent", "accept"}

// lowerName returns a name in lower case, without an allocation if it is a common one.
func lowerName(name string) string {
	for _, k := range commonNames {
		if len(k) == len(name) && strings.EqualFold(k, name) {
			return k
		}
	}
	return strings.ToLower(name)
}

// readChunks reads a chunked body with its trailer fields, which it discards.
func (s source) readChunks() ([]byte, error) {
	body := bytes.NewBuffer([]byte{})
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
		if err != nil || strings.HasPrefix(digits, "+") {
			return nil, messageErrorf(400, "invalid chunk size %.40q", line)
		}
		if n == 0 {
			_, err := s.readFields()
			return body.Bytes(), err
		}
		if body.Len()+int(n) > MaxBody {
			return nil, messageErrorf(413, "chunked body longer than %d bytes", MaxBody)
		}
		if err := s.take(growthFactor * int(n)); err != nil {
			return nil, err
		}
		if _, err := io.CopyN(body, s, int64(n)); err != nil {
			return nil, err
		}
		if line, err := s.readLine(); err != nil {
			return nil, err
		} else if line != "" {
			return nil, messageErrorf(400, "chunk longer than its stated size")
		}
	}
}

// readLine reads a line and returns it without its end (CRLF or LF). It returns io.EOF if the connection ended before the first byte.
func (s source) readLine() (string, error) {
	line, err := s.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err == nil {
		line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
		if len(line) > maxLine {
			err = errLongLine
		}
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return "", io.ErrUnexpectedEOF
	case err != nil:
		return "", err
	}
	if err := s.take(len(line)); err != nil {
		return "", err
	}
	return string(line), nil
}

// readLongLine reads the rest of a line that is longer than the reader's buffer.
func (s source) readLongLine(start []byte) ([]byte, error) {
	if err := s.take(maxLine); err != nil {
		return nil, err
	}
	line := append(make([]byte, 0, maxLine+lineEnd), start...)
	for len(line) < maxLine+lineEnd {
		more, err := s.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxLine+lineEnd {
			return line, err
		}
	}
	return nil, errLongLine
}

// lineEnd is the length of a line's end.
const lineEnd = len("\r\n")

var errLongLine = messageErrorf(431, "line longer than %d bytes", maxLine)

func isToken[text string | []byte](s text) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(s) > 0
}
