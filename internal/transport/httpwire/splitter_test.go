package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// requestEnds returns the offsets at which a Splitter ends requests, given the bytes in pieces of a size, and its error.
func requestEnds(b []byte, piece int) (ends []int, err error) {
	var s Splitter
	start := 0 // of the present request, with empty lines before it
	for at := 0; at < len(b); {
		n, err := s.Next(b[at:min(at+piece, len(b))])
		if err != nil {
			return ends, err
		}
		at += n
		begun := len(bytes.Trim(b[start:at], "\r\n")) > 0
		if begun && s.state == inRequestLine && s.buffered == 0 {
			ends = append(ends, at)
			start = at
		}
	}
	return ends, nil
}

// readerEnds returns the offsets at which ReadRequest ends requests, and its error.
func readerEnds(b []byte) (ends []int, err error) {
	in := bytes.NewReader(b)
	r := NewReader(in)
	for {
		if _, err := ReadRequest(r); err != nil {
			return ends, err
		}
		ends = append(ends, len(b)-in.Len()-r.Buffered())
	}
}

// splitSeeds are connections' bytes: requests in a row, and such with an ambiguous end.
var splitSeeds = []string{
	"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + postHead + "Content-Length: 5\r\n\r\nhello" + postHead + "content-length: 0\r\n\r\n" + "GET /b HTTP/1.0\n\n",
	postHead + "Content-Length: 30\r\nContent-Length: 30\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n--GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /" + strings.Repeat("x", 3000) + " HTTP/1.1\r\nHost: x\r\nCookie: " + strings.Repeat("y", 3000) + "\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
	postHead + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\na\r\n0\r\n\r\n56789\r\n0\r\n\r\n" + postHead + "\r\n",
	postHead + "Transfer-Encoding: chunked\r\n\r\n2  \r\nhe\r\n0\r\n\r\n" + postHead + "\r\n",
	postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: 1\r\nB:\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
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
			_, wantErr := readerEnds([]byte(seed))
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

// comparePieces compares a Splitter with the reader and with net/http. Each request that the reader accepts ends in the same place or is refused,
// and none that it refuses for its framing is accepted. What net/http reads of an accepted request is all of it, and nothing behind it. It returns
// the Splitter's error.
func comparePieces(t *testing.T, b []byte, piece int) error {
	t.Helper()
	want, wantErr := readerEnds(b)
	got, err := requestEnds(b, piece)
	for i, end := range want {
		if i < len(got) && got[i] != end || i >= len(got) && err == nil {
			t.Fatalf("%.200q in pieces of %d: requests end at %v (%v), want %v", b, piece, got, err, want)
		}
	}
	if isFramingError(wantErr) && err == nil {
		t.Errorf("%.200q in pieces of %d: accepted, the reader says %v", b, piece, wantErr)
	}
	start := 0
	for _, end := range got {
		if used, err := usedByNetHTTP(b[start:]); err == nil && used != end-start {
			t.Errorf("%.200q: net/http uses %d bytes, the request has %d", b[start:], used, end-start)
		}
		start = end
	}
	return err
}

// usedByNetHTTP returns how many bytes net/http takes for a request.
func usedByNetHTTP(b []byte) (used int, err error) {
	in := bytes.NewReader(b)
	r := bufio.NewReader(in)
	request, err := http.ReadRequest(r)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return 0, err
	}
	return len(b) - in.Len() - r.Buffered(), nil
}

// isFramingError reports whether a request is refused as its body could end in two places.
func isFramingError(err error) bool {
	var invalid *MessageError
	return errors.As(err, &invalid) && slices.ContainsFunc([]string{"invalid or conflicting content-length", "unsupported transfer-encoding",
		"chunked body with"}, func(start string) bool { return strings.HasPrefix(invalid.Reason, start) })
}

func TestSplitterRefusesLongFramingFields(t *testing.T) {
	if comparePieces(t, []byte(postHead+"Content-Length: "+strings.Repeat("0", maxSplitLine)+"5\r\n\r\nhello"), 1) == nil {
		t.Error("a Content-Length that is not kept whole was accepted")
	}
}
