package ingress

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// readWithEncodingJSON decodes a body with encoding/json only.
func readWithEncodingJSON(body []byte) (out queryBody, ok bool) {
	var doc struct {
		Tablets []struct {
			Tablet   *int     `json:"tablet"`
			Fraction *float64 `json:"fraction"`
		} `json:"tablets"`
		Statement *string `json:"statement"`
	}
	if json.Unmarshal(body, &doc) != nil || !utf8.Valid(body) || doc.Statement == nil {
		return out, false
	}
	out.statement = *doc.Statement
	for _, p := range doc.Tablets {
		if p.Tablet == nil || p.Fraction == nil {
			return out, false
		}
		out.shards = append(out.shards, bodyShard{*p.Tablet, *p.Fraction})
	}
	return out, len(out.shards) > 0
}

// FuzzScan checks that encoding/json decodes every body that the scanner accepts in the same way, and that strings survive a round trip
// through appendJSONString.
func FuzzScan(f *testing.F) {
	for _, text := range []string{body, `{"tablets":[{"tablet":0,"fraction":1}],"statement":"c4"}`,
		"{ \"statement\" : \"a\" , \"tablets\" : [ { \"fraction\" : 1e0 , \"tablet\" : 0 , \"token\" : \"00\" } ] }\n",
		`{"tablets":[{"tablet":01,"fraction":1}],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":1},],"statement":""}`,
		`{"Tablets":[],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":.5}],"statement":"\u0041"}`, `{"tablets":[{"tablet":-0,"fraction":-1}],"statement":"x"}x`,
		`{"tablets":[{"tablet":1,"fraction":1e999}],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":1,"tablet":2}],"statement":"x"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		scanned, ok := scanBody(raw)
		if decoded, decodable := readWithEncodingJSON(raw); ok {
			if !decodable || len(decoded.shards) != len(scanned.shards) || decoded.statement != scanned.statement {
				t.Fatalf("%q: %+v, and %+v, %v", raw, scanned, decoded, decodable)
			}
			for i := range decoded.shards {
				if decoded.shards[i] != scanned.shards[i] {
					t.Fatalf("%q: %+v, and %+v", raw, scanned, decoded)
				}
			}
		}
		var roundTrip string
		if utf8.Valid(raw) && (json.Unmarshal(appendJSONString(nil, string(raw)), &roundTrip) != nil || roundTrip != string(raw)) {
			t.Fatalf("%q reads back as %q", raw, roundTrip)
		}
	})
}

// The scanner accepts the usual form of a body, and leaves escapes to encoding/json.
func TestScanAcceptsTheUsualForm(t *testing.T) {
	if _, ok := scanBody([]byte(body)); !ok {
		t.Error("the scanner rejects the tests' body")
	}
	if _, ok := scanBody([]byte(strings.Replace(body, "c41e", "\\u0041", 1))); ok {
		t.Error("the scanner accepts a body with an escape")
	}
}

func BenchmarkBody(b *testing.B) {
	t := &terms.Terms{Shards: 4}
	raw := []byte(body)
	b.Run("scanned", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			decodeBody(&query.Request{ID: "9b1f03aa5c7e2d41"}, raw, t)
		}
	})
	b.Run("encoding/json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s, _ := readWithEncodingJSON(raw)
			setShards(&query.Request{ID: "9b1f03aa5c7e2d41"}, s, t)
		}
	})
}
