package server

// This file owns the meaning of the client protocol: a request's headers and body become one ask, once, and a verdict
// becomes one response, once. It must never touch a connection or the module, nor let through what the
// protocol does not allow.

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"flaxfront/internal/config/terms"
	"flaxfront/internal/transport/httpwire"
)

const (
	longestID      = 64
	absurdTime     = time.Hour
	weightsSumSlip = 0.01
)

// refusal is a request that can't be taken.
type refusal struct {
	status int
	why    string
}

func no(status int, format string, args ...any) *refusal {
	return &refusal{status, fmt.Sprintf(format, args...)}
}

// decodeAsk reads a search.
func decodeAsk(m *httpwire.Message, t *terms.Terms) (*ask, *refusal) {
	name, _, _ := strings.Cut(strings.TrimPrefix(m.Path, "/"), "/")
	a := &ask{typ: slices.Index(t.Types, name), under: t}
	if a.typ < 0 {
		return nil, no(404, "no query type %.40q", name)
	}
	if m.Method != "POST" {
		return nil, no(405, "method %.20q", m.Method)
	}
	var times int
	if a.id, times = m.Get("x-request-id"); times != 1 || !plainID(a.id) {
		return nil, no(400, "X-Request-ID %.80q", a.id)
	}
	if tenant, times := m.Get("x-tenant-id"); len(t.Tenants) > 0 {
		if a.tenant = slices.Index(t.Tenants, tenant); a.tenant < 0 || times != 1 {
			return nil, no(400, "X-Tenant-Id %.40q", tenant)
		}
	}
	limit, times := m.Get("x-timeout-ms")
	ms, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || times != 1 || ms <= 0 || ms > absurdTime.Milliseconds() {
		return nil, no(400, "X-Timeout-Ms %.40q", limit)
	}
	a.timeout = min(time.Duration(ms)*time.Millisecond, t.Module.QueryTypes[a.typ].Timeout)
	if cookie, times := m.Get("cookie"); times == 1 {
		a.client = clientOf(cookie)
	}
	again, _ := m.Get("x-retried")
	a.repeat = again == "1"
	return a, a.readBody(m.Body, t)
}

func (a *ask) readBody(body []byte, t *terms.Terms) *refusal {
	var doc struct {
		Tablets []struct {
			Tablet   *int     `json:"tablet"`
			Fraction *float64 `json:"fraction"`
		} `json:"tablets"`
		Statement *string `json:"statement"`
	}
	if fast, ok := scanBody(body); ok {
		return a.readParts(fast, t)
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return no(400, "body: %v", err)
	}
	if !utf8.Valid(body) { // the decoder would mend it, and nodes must get the text unchanged
		return no(400, "body: not UTF-8")
	}
	if len(doc.Tablets) == 0 || doc.Statement == nil {
		return no(400, "body: %d tablets, statement there: %v", len(doc.Tablets), doc.Statement != nil)
	}
	b := scanned{statement: *doc.Statement}
	for i, p := range doc.Tablets {
		if p.Tablet == nil {
			return no(400, "body: tablets.%d: no such tablet", i)
		}
		if p.Fraction == nil {
			return no(400, "body: tablets.%d: fraction", i)
		}
		b.tablets = append(b.tablets, tablet{*p.Tablet, *p.Fraction})
	}
	return a.readParts(b, t)
}

// readParts takes over what a body says of the parts.
func (a *ask) readParts(b scanned, t *terms.Terms) *refusal {
	a.text = b.statement
	sum := 0.0
	a.parts = make([]askPart, 0, len(b.tablets))
	for i, p := range b.tablets {
		if p.shard < 0 || p.shard >= t.Shards {
			return no(400, "body: tablets.%d: no such tablet", i)
		}
		if !(p.fraction >= 0 && p.fraction <= 1+weightsSumSlip) {
			return no(400, "body: tablets.%d: fraction", i)
		}
		if slices.ContainsFunc(a.parts, func(o askPart) bool { return o.shard == p.shard }) {
			return no(400, "body: tablet %d twice", p.shard)
		}
		sum += p.fraction
		a.parts = append(a.parts, askPart{partName(a.id, p.shard), p.shard, p.fraction})
	}
	if math.Abs(sum-1) > weightsSumSlip {
		return no(400, "body: fractions add up to %.3f", sum)
	}
	for i := range a.parts { // rounded fractions would never add up to a whole answer
		a.parts[i].weight /= sum
	}
	return nil
}

// clientOf hashes the key "user" of a cookie; 0: there is none.
func clientOf(cookie string) uint64 {
	for part := range strings.SplitSeq(cookie, ";") {
		if name, value, _ := strings.Cut(strings.TrimSpace(part), "="); name == "user" && value != "" {
			h := fnv.New64a()
			io.WriteString(h, value)
			return max(1, h.Sum64())
		}
	}
	return 0
}

// partName names a part to nodes.
func partName(search string, shard int) string { return search + "." + strconv.Itoa(shard) }

// plainID tells whether an id can stand in a frame's line.
func plainID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return id != "" && len(id) <= longestID
}

// appendVerdict encodes the response to a search.
func appendVerdict(b []byte, v result, last bool, heads ...string) []byte {
	switch v.kind {
	case answered:
		body := make([]byte, 0, 32+48*len(v.pieces))
		body = strconv.AppendBool(append(body, `{"full":`...), v.whole)
		body = append(body, `,"pieces":[`...)
		for i, p := range v.pieces {
			if i > 0 {
				body = append(body, ',')
			}
			body = strconv.AppendInt(append(body, `{"tablet":`...), int64(p.shard), 10)
			body = append(appendText(append(body, `,"cell":`...), p.value), '}')
		}
		body = append(body, "]}"...)
		return httpwire.AppendResponse(b, 200, last, body, append(heads, "Content-Type: application/json")...)
	case shed:
		if v.after > 0 {
			heads = append(heads, fmt.Sprintf("Retry-After: %.3f", v.after.Seconds()))
		}
		return httpwire.AppendResponse(b, 503, last, nil, heads...)
	case twice:
		return httpwire.AppendResponse(b, 409, last, []byte("a search of this id is in hand\n"))
	default:
		return httpwire.AppendResponse(b, 504, last, nil, heads...)
	}
}
