package ingress

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/server/query"
)

// readWithEncodingJSON is what encoding/json makes of a body, the other way being shut.
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

// FuzzScan: whatever the scanner takes, encoding/json reads the same; and the other way round what is written reads back.
func FuzzScan(f *testing.F) {
	for _, text := range []string{body, `{"tablets":[{"tablet":0,"fraction":1}],"statement":"c4"}`,
		"{ \"statement\" : \"a\" , \"tablets\" : [ { \"fraction\" : 1e0 , \"tablet\" : 0 , \"token\" : \"00\" } ] }\n",
		`{"tablets":[{"tablet":01,"fraction":1}],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":1},],"statement":""}`,
		`{"Tablets":[],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":.5}],"statement":"\u0041"}`, `{"tablets":[{"tablet":-0,"fraction":-1}],"statement":"x"}x`,
		`{"tablets":[{"tablet":1,"fraction":1e999}],"statement":""}`, `{"tablets":[{"tablet":1,"fraction":1,"tablet":2}],"statement":"x"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		quick, ok := scanBody(raw)
		if slow, good := readWithEncodingJSON(raw); ok {
			if !good || len(slow.shards) != len(quick.shards) || slow.statement != quick.statement {
				t.Fatalf("%q: %+v, and %+v, %v", raw, quick, slow, good)
			}
			for i := range slow.shards {
				if slow.shards[i] != quick.shards[i] {
					t.Fatalf("%q: %+v, and %+v", raw, quick, slow)
				}
			}
		}
		var back string
		if utf8.Valid(raw) && (json.Unmarshal(appendJSONString(nil, string(raw)), &back) != nil || back != string(raw)) {
			t.Fatalf("%q reads back as %q", raw, back)
		}
	})
}

// The scanner takes the ordinary form.
func TestScanAcceptsTheUsualForm(t *testing.T) {
	if _, ok := scanBody([]byte(body)); !ok {
		t.Error("the tests' body goes the slow way")
	}
	if _, ok := scanBody([]byte(strings.Replace(body, "c41e", "\\u0041", 1))); ok {
		t.Error("an escape went the quick way")
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
