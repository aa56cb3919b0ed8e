package httpwire

// This file encodes messages.

import (
	"fmt"
	"strconv"
)

// AppendRequest appends an encoded request without a body.
func AppendRequest(b []byte, method, target, host string) []byte {
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, target, host)
}

// AppendResponse appends an encoded response with its content-length. fields are complete header lines without CRLF. closeConn states that
// the connection is closed after the response.
func AppendResponse(b []byte, status int, closeConn bool, body []byte, fields ...string) []byte {
	return append(AppendResponseHead(b, status, closeConn, len(body), fields...), body...)
}

// AppendResponseHead appends the head of a response whose body has a number of bytes.
func AppendResponseHead(b []byte, status int, closeConn bool, bodyBytes int, fields ...string) []byte {
	b = append(strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reasonPhrase(status)...), "\r\nContent-Length: "...)
	b = append(strconv.AppendInt(b, int64(bodyBytes), 10), "\r\n"...)
	for _, f := range fields {
		b = append(append(b, f...), '\r', '\n')
	}
	if closeConn {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, '\r', '\n')
}

func reasonPhrase(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 417:
		return "Expectation Failed"
	case 431:
		return "Request Header Fields Too Large"
	case 501:
		return "Not Implemented"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	default:
		return "Unknown"
	}
}
