package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

const postHead = "POST /find/x?y=1 HTTP/1.1\r\nHost: b\r\nX-Tenant-Id:  acme \r\n"

func readRequest(text string) (*Message, error) {
	return ReadRequest(NewReader(strings.NewReader(text)))
}

func TestRequests(t *testing.T) {
	for _, framing := range []string{
		"Content-Length: 5\r\n\r\nhello",
		"Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: 1\r\n\r\n",
	} {
		pipelined := postHead + framing + postHead + "Connection: x, Close\r\n" + framing
		for _, r := range []io.Reader{strings.NewReader(pipelined), iotest.OneByteReader(strings.NewReader(pipelined))} {
			in := NewReader(r)
			first, err := ReadRequest(in)
			if err != nil || first.Method != "POST" || first.Path != "/find/x" || first.Query != "y=1" ||
				string(first.Body) != "hello" || first.Close {
				t.Fatalf("%v, %+v", err, first)
			}
			if v, n := first.Get("x-tenant-id"); v != "acme" || n != 1 {
				t.Errorf("tenant %q, %d times", v, n)
			}
			if second, err := ReadRequest(in); err != nil || string(second.Body) != "hello" || !second.Close {
				t.Errorf("%v, %+v", err, second)
			}
			if _, err := ReadRequest(in); err != io.EOF {
				t.Errorf("after the last request: %v, want EOF", err)
			}
		}
	}
	if m, err := readRequest("\r\nGET /up HTTP/1.0\r\n\r\n"); err != nil || !m.Close {
		t.Errorf("%v, %+v", err, m)
	}
}

// A message with an ambiguous end is rejected: what follows it could be read as another query.
func TestBadRequests(t *testing.T) {
	for text, status := range map[string]int{
		"GET\r\n\r\n":                                                        400,
		"GET up HTTP/1.1\r\nHost: b\r\n\r\n":                                 400,
		"GET /up HTTP/2.0\r\n\r\n":                                           505,
		"GET /up HTTP/1.1\r\n\r\n":                                           400,
		postHead + "Host: c\r\n\r\n":                                         400,
		postHead + "Bad Name: 1\r\n\r\n":                                     400,
		postHead + " folded\r\n\r\n":                                         400,
		postHead + "Content-Length: -1\r\n\r\n":                              400,
		postHead + "Content-Length: +1\r\n\r\n1":                             400,
		postHead + "Content-Length: 1, 1\r\n\r\n1":                           400,
		postHead + "Content-Length: 65537\r\n\r\n":                           413,
		postHead + "Transfer-Encoding: gzip\r\n\r\n":                         501,
		postHead + "Expect: 100-continue\r\n\r\n":                            417,
		postHead + strings.Repeat("A: b\r\n", 70):                            431,
		postHead + "A: " + strings.Repeat("b", 5000):                         431,
		postHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n12":        400,
		postHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		postHead + "Transfer-Encoding: chunked\r\n\r\nx\r\n":                 400,
		postHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":           400,
		postHead + "Transfer-Encoding: chunked\r\n\r\n10001\r\n":             413,
		postHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n":  400,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":     400,
	} {
		var f *MessageError
		if _, err := readRequest(text); !errors.As(err, &f) || f.Status != status {
			t.Errorf("%.80q: got %v, want %d", text, err, status)
		}
	}
	for _, text := range []string{"GE", postHead, postHead + "Content-Length: 5\r\n\r\nhell",
		postHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhell"} {
		if _, err := readRequest(text); err != io.ErrUnexpectedEOF {
			t.Errorf("%.80q cut short: got %v", text, err)
		}
	}
}

func TestResponses(t *testing.T) {
	b := AppendResponse(nil, 503, true, []byte("no"), "Retry-After: 0.500")
	m, err := ReadResponse(NewReader(bytes.NewReader(b)))
	if after, _ := m.Get("retry-after"); err != nil || m.Status != 503 || !m.Close || string(m.Body) != "no" ||
		after != "0.500" {
		t.Errorf("%v, %+v", err, m)
	}
	m, err = ReadResponse(NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nto the end")))
	if err != nil || string(m.Body) != "to the end" || !m.Close {
		t.Errorf("%v, %+v", err, m)
	}
	for _, bad := range []string{"HTTP/1.1 20 OK\r\n\r\n", "200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", MaxBody+1)} {
		if _, err := ReadResponse(NewReader(strings.NewReader(bad))); err == nil {
			t.Errorf("%.40q was accepted", bad)
		}
	}
	req, err := readRequest(string(AppendRequest(nil, "GET", "/list?index=1", "b")))
	if err != nil || req.Path != "/list" || req.Query != "index=1" {
		t.Errorf("%v, %+v", err, req)
	}
}

// FuzzRequest: a request is read the same, however it is split into packets.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(postHead + "Content-Length: 5\r\n\r\nhello"))
	f.Add([]byte(postHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := ReadRequest(NewReader(bytes.NewReader(data)))
		split, err2 := ReadRequest(NewReader(iotest.OneByteReader(bytes.NewReader(data))))
		if (err == nil) != (err2 == nil) || err == nil && !reflect.DeepEqual(whole, split) {
			t.Errorf("whole %+v (%v), split %+v (%v)", whole, err, split, err2)
		}
		if err == nil && len(whole.Body) > MaxBody {
			t.Errorf("body of %d bytes", len(whole.Body))
		}
		ReadResponse(bufio.NewReader(bytes.NewReader(data)))
	})
}
