package httpwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// requestEnds returns the offsets at which a Splitter ends requests, given the bytes in pieces of a size, and its error.
func requestEnds(b []byte, piece int) (ends []int, last bool, err error) {
	var s Splitter
	start := 0 // of the present request, with empty lines before it
	for at := 0; at < len(b); {
		n, err := s.Next(b[at:min(at+piece, len(b))])
		if err != nil {
			return ends, false, err
		}
		at += n
		begun := len(bytes.Trim(b[start:at], "\r\n")) > 0
		if begun && s.state == inRequestLine && s.kept == 0 {
			ends = append(ends, at)
			start = at
		}
	}
	return ends, s.LastOfConnection(), nil
}

// readerEnds returns the offsets at which ReadRequest ends requests, up to the first with chunks, and its error.
func readerEnds(b []byte) (ends []int, chunked bool, err error) {
	in := bytes.NewReader(b)
	r := NewReader(in)
	for {
		m, err := ReadRequest(r)
		if err != nil {
			return ends, false, err
		}
		if _, times := m.Get(transferEncoding); times > 0 {
			return ends, true, nil
		}
		ends = append(ends, len(b)-in.Len()-r.Buffered())
	}
}

// splitSeeds are connections' bytes: requests in a row, and such with an ambiguous end.
var splitSeeds = []string{
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + postHead + "Content-Length: 5\r\n\r\nhello" + postHead + "content-length: 0\r\n\r\n" + "GET /b HTTP/1.0\n\n",
	postHead + "Content-Length: 30\r\nContent-Length: 30\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n--GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /" + strings.Repeat("x", 3000) + " HTTP/1.1\r\nHost: x\r\nCookie: " + strings.Repeat("y", 3000) + "\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
	postHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n" + postHead + "\r\n",
	postHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	postHead + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
	postHead + "Transfer-Encoding:\r\n chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	postHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhello",
	postHead + "Content-Length : 5\r\n\r\nhello",
}

// Guards against requests whose end is found elsewhere than by the reader of the HTTP listener, which conceals or loses what is behind them.
func TestSplitterEndsRequestsWhereTheReaderDoes(t *testing.T) {
	for _, seed := range splitSeeds {
		for _, piece := range []int{1, 2, 7, 100, len(seed)} {
			_, _, wantErr := readerEnds([]byte(seed))
			if err := comparePieces(t, []byte(seed), piece); err != nil && errors.Is(wantErr, io.EOF) {
				t.Errorf("%.200q in pieces of %d: refused: %v", seed, piece, err)
			}
		}
	}
}

func FuzzSplitter(f *testing.F) {
	for _, seed := range splitSeeds {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) { comparePieces(t, b, max(1, piece)) })
}

// comparePieces compares a Splitter with the reader. Each request that the reader accepts ends in the same place or is refused, and none that it
// refuses for its framing is accepted. It returns the Splitter's error.
func comparePieces(t *testing.T, b []byte, piece int) error {
	t.Helper()
	want, chunked, wantErr := readerEnds(b)
	got, last, err := requestEnds(b, piece)
	for i, end := range want {
		if i < len(got) && got[i] != end || i >= len(got) && err == nil {
			t.Fatalf("%.200q in pieces of %d: requests end at %v (%v), want %v", b, piece, got, err, want)
		}
	}
	if chunked && !last && err == nil {
		t.Errorf("%.200q in pieces of %d: a request with chunks is not the last", b, piece)
	}
	if isFramingError(wantErr) && err == nil {
		t.Errorf("%.200q in pieces of %d: accepted, the reader says %v", b, piece, wantErr)
	}
	return err
}

func isFramingError(err error) bool {
	var invalid *MessageError
	return errors.As(err, &invalid) && (strings.Contains(invalid.Reason, contentLength) || strings.Contains(invalid.Reason, transferEncoding))
}

func TestSplitterRefusesLongFramingFields(t *testing.T) {
	if comparePieces(t, []byte(postHead+"Content-Length: "+strings.Repeat("0", maxSplitLine)+"5\r\n\r\nhello"), 1) == nil {
		t.Error("a Content-Length that is not kept whole was accepted")
	}
}
