package ingress

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/httpwire"
)

// Initial capacity of an answer's body, in bytes.
const (
	baseBodyBytes      = 32
	bodyBytesPerAnswer = 48
)

// response is an encoded response. A large body is not copied behind its head.
type response struct {
	head []byte // of a small response: all of it
	body []byte
}

// encodeResult encodes the response for a query's result, with its head in a buffer. It reserves the memory of a large one, and reports a failure
// instead if there is none.
func encodeResult(b []byte, r *query.Result, last bool, headers ...string) response {
	switch {
	case r.Outcome == query.Answered && reserveBody(r):
		headers = append(headers, contentTypeJSON)
		body := encodeAnswers(r)
		if len(body) <= maxKeptAnswer {
			return response{head: httpwire.AppendResponse(b, statusOK, last, body, headers...)}
		}
		r.Answers = nil
		r.Memory.ShrinkTo(len(body))
		return response{httpwire.AppendResponseHead(b, statusOK, last, len(body), headers...), body}
	case r.Outcome == query.Shed:
		headers = append(headers, retryAfter(r.RetryAfter)...)
		return response{head: httpwire.AppendResponse(b, statusServiceUnavailable, last, nil, headers...)}
	case r.Outcome == query.Duplicate:
		return response{head: httpwire.AppendResponse(b, statusConflict, last, []byte(duplicateText))}
	default:
		return response{head: httpwire.AppendResponse(b, statusGatewayTimeout, last, nil, headers...)}
	}
}

const duplicateText = "a query of this id is in flight or may have run; send a new one under a new id\n"

// reserveBody reserves the memory of a large body, and reports false if there is none.
func reserveBody(r *query.Result) bool {
	size := baseBodyBytes
	for i := range r.Answers {
		size += bodyBytesPerAnswer + encodedBytes(r.Answers[i].Value)
	}
	return size <= maxKeptAnswer || r.Memory.TryGrow(size)
}

// encodedBytes returns the size of a text as a JSON string, at most.
func encodedBytes(text string) int {
	for i := range len(text) {
		if !plainInJSON(text[i]) {
			return mostJSONBytes * len(text)
		}
	}
	return len(text)
}

// mostJSONBytes is the length of the longest escape that one byte of a text may need.
const mostJSONBytes = len(`\u0000`)

// retryAfter returns the header field that advises a client when to come back; none if wait is 0.
func retryAfter(wait time.Duration) []string {
	if wait <= 0 {
		return nil
	}
	return []string{fmt.Sprintf("Retry-After: %.3f", wait.Seconds())}
}

// encodeAnswers returns the JSON body for an answered query.
func encodeAnswers(r *query.Result) []byte {
	size := baseBodyBytes + bodyBytesPerAnswer*len(r.Answers)
	for i := range r.Answers {
		size += len(r.Answers[i].Value)
	}
	body := make([]byte, 0, size)
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

// appendJSONString appends a text as a JSON string, in the same form as encoding/json.
func appendJSONString(b []byte, text string) []byte {
	for i := range len(text) {
		if !plainInJSON(text[i]) {
			quoted, _ := json.Marshal(text) // a string always encodes
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

// plainInJSON reports whether encoding/json writes a byte of a string without escaping it.
func plainInJSON(c byte) bool {
	switch c {
	case '"', '\\', '<', '>', '&':
		return false
	}
	return c >= ' ' && c < 0x7f
}
