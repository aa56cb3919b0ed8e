package ingress

import (
	"encoding/json"
	"fmt"
	"strconv"

	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// Bytes of an answer's body, as a first guess.
const (
	baseBodyBytes      = 32
	bodyBytesPerAnswer = 48
)

// appendResult encodes the response to a query.
func appendResult(b []byte, r query.Result, last bool, headers ...string) []byte {
	switch r.Outcome {
	case query.Answered:
		headers = append(headers, contentTypeJSON)
		return httpwire.AppendResponse(b, statusOK, last, encodeAnswers(&r), headers...)
	case query.Shed:
		if r.RetryAfter > 0 {
			headers = append(headers, fmt.Sprintf("Retry-After: %.3f", r.RetryAfter.Seconds()))
		}
		return httpwire.AppendResponse(b, statusServiceUnavailable, last, nil, headers...)
	case query.Duplicate:
		return httpwire.AppendResponse(b, statusConflict, last, []byte("a search of this id is in hand\n"))
	default:
		return httpwire.AppendResponse(b, statusGatewayTimeout, last, nil, headers...)
	}
}

// encodeAnswers encodes the body of an answered query.
func encodeAnswers(r *query.Result) []byte {
	body := make([]byte, 0, baseBodyBytes+bodyBytesPerAnswer*len(r.Answers))
	body = append(body, `{"full":`...)
	body = strconv.AppendBool(body, r.Complete)
	body = append(body, `,"pieces":[`...)
	for i, a := range r.Answers {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, `{"tablet":`...)
		body = strconv.AppendInt(body, int64(a.Shard), 10)
		body = append(body, `,"cell":`...)
		body = appendJSONString(body, a.Value)
		body = append(body, '}')
	}
	return append(body, "]}"...)
}

// appendJSONString writes a text as JSON, as encoding/json does.
func appendJSONString(b []byte, text string) []byte {
	for i := range len(text) {
		if !plainInJSON(text[i]) {
			quoted, _ := json.Marshal(text) // texts always encode
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// plainInJSON tells whether encoding/json writes a byte of a text as it is.
func plainInJSON(c byte) bool {
	switch c {
	case '"', '\\', '<', '>', '&':
		return false
	}
	return c >= ' ' && c < 0x7f
}
