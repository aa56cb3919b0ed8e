package z3950

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"flaxfront/internal/protocols/query"
)

func parsePQF(t testing.TB, text string) *query.RPN {
	_, r, err := query.ParsePQF(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testMessages(t testing.TB) []Message {
	return []Message{
		&InitRequest{Common: Common{[]byte("ref")}, Version3: true, Search: true, Present: true, Delete: true, NamedResultSets: true,
			Concurrent: true, PreferredMessageSize: 1 << 20, ExceptionalRecordSize: 1 << 20, User: "u", Group: "g", Password: "k", ImplementationID: "81", ImplementationName: "flaxfront", ImplementationVersion: "1"},
		&InitResponse{InitRequest{Search: true, PreferredMessageSize: 100, ExceptionalRecordSize: 200, ImplementationName: "x"}, true},
		&SearchRequest{SmallSetUpperBound: 0, LargeSetLowerBound: 1, MediumSetPresentNumber: 0, Replace: true, ResultSet: "default", Databases: []string{"a", "b"}, Syntax: MARC21,
			AttributeSet: query.Bib1, Query: parsePQF(t, `@and @attr 1=4 "a cat" @or @set s1 @prox 0 3 1 2 1 2 @attr 1=1003 b @attr 2=3 "c d"`)},
		&SearchResponse{Common: Common{[]byte{0, 255}}, Count: 1 << 20, Returned: 1, NextPosition: 2, OK: true, Records: Records{All: []Record{
			{Database: "a", Syntax: XML, Body: []byte("<r/>")}}}},
		&SearchResponse{Count: 7, ResultSetStatus: Subset, Records: Records{Fault: &Fault{Code: 31, Text: "resources exhausted"}}},
		&PresentRequest{ResultSet: "s", Start: 11, Want: 10, ElementSetName: "F", Syntax: SUTRS},
		&PresentResponse{Returned: 2, NextPosition: 13, Status: Partial2, Records: Records{All: []Record{{Database: "d", Syntax: SUTRS, Body: []byte("text")},
			{Fault: &Fault{Code: 14, Text: "system error"}}}}},
		&DeleteRequest{ResultSets: []string{"a", "b"}}, &DeleteRequest{All: true}, &DeleteResponse{Status: 1},
		&Close{Reason: 1, Text: "the broker stops"},
	}
}

// Every message decodes to what was encoded, also if it arrives byte by byte with other messages behind it on the same connection.
func TestMessageRoundTrips(t *testing.T) {
	var all []byte
	for _, m := range testMessages(t) {
		b := Encode(m)
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v\ndecoded as %+v, %v", m, got, err)
		}
		all = append(all, b...)
	}
	r := bufio.NewReader(iotest.OneByteReader(bytes.NewReader(all)))
	for _, m := range testMessages(t) {
		if got, err := Read(r); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v\ndecoded as %+v, %v", m, got, err)
		}
	}
	if _, err := Read(r); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// A message that is truncated, claims too great a length, nests too deep, or is of another protocol is an error at
// once: Read does not wait for more bytes.
func TestHostileMessages(t *testing.T) {
	search := Encode(testMessages(t)[2])
	for cut := 1; cut < len(search); cut++ {
		if _, err := Read(bufio.NewReader(bytes.NewReader(search[:cut]))); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("%d of %d bytes: %v", cut, len(search), err)
		}
	}
	deep := parsePQF(t, strings.Repeat("@and a ", 60)+"a")
	for range 10 {
		deep = &query.RPN{Op: query.And, Operands: &[2]query.RPN{*deep, *deep}}
	}
	for name, b := range map[string][]byte{
		"a gigabyte":   {0xb6, 0x84, 0x40, 0, 0, 0},
		"nesting":      bytes.Repeat([]byte{0xb6, 0x80}, 1<<15),
		"no message":   {0x30, 3, 2, 1, 5},
		"unknown":      {0xbf, 99, 0},
		"a deep query": Encode(&SearchRequest{Query: deep}),
		"noise":        []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	} {
		if m, err := Read(bufio.NewReader(bytes.NewReader(b))); err == nil || errors.Is(err, io.EOF) && name != "noise" {
			t.Errorf("%s: %v, %v", name, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range testMessages(f) {
		f.Add(Encode(m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(Encode(m))
		if err != nil {
			t.Fatalf("%+v does not decode after encoding: %v", m, err)
		}
		if !reflect.DeepEqual(Encode(m), Encode(again)) {
			t.Fatalf("%+v decodes after encoding as %+v", m, again)
		}
	})
}

// A message with corrupted bytes is decoded or is an error; Read does not panic.
func TestCorruptedMessages(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	for _, m := range testMessages(t) {
		b := Encode(m)
		for range 500 {
			c := bytes.Clone(b)
			for range 1 + r.Intn(3) {
				c[r.Intn(len(c))] = byte(r.Intn(256))
			}
			Read(bufio.NewReader(bytes.NewReader(c)))
		}
	}
}

func BenchmarkSearchRequest(b *testing.B) {
	raw := Encode(testMessages(b)[2])
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}
