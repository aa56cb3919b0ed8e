package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a query of a client.
type Request struct {
	Class     string
	ID        string // empty: a new one
	Tenant    string
	User      string // what the request is about; empty: nothing
	Timeout   time.Duration
	Retried   bool
	Shards    []int
	Statement string
}

// Answer is what a client got.
type Answer struct {
	Status int // 0: none
	Body   string
	Header http.Header
	Sent   time.Time // when the request's last byte was written
	At     time.Time // when the answer's last byte had come, or the connection's end
	Err    error
}

// NewID returns the id of a request.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Text returns the request as it is sent to a broker.
func (q *Request) Text() string {
	if q.ID == "" {
		q.ID = NewID()
	}
	var tablets []map[string]any
	for _, shard := range q.Shards {
		tablets = append(tablets, map[string]any{"tablet": shard, "fraction": 1 / float64(len(q.Shards))})
	}
	body, err := json.Marshal(map[string]any{"tablets": tablets, "statement": q.Statement})
	Must(err)
	more := ""
	if q.Retried {
		more += "X-Retried: 1\r\n"
	}
	if q.User != "" {
		more += "Cookie: user=" + q.User + "\r\n"
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Timeout-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.Class, q.ID, q.Tenant, q.Timeout.Milliseconds(), more, len(body), body)
}

// Send sends a request on a connection of its own and waits for the answer, for as long as the client waits and a second.
func (q *Request) Send(to string) Answer {
	return Exchange(to, q.Text(), q.Timeout+time.Second)
}

// Exchange sends a text on a connection of its own and waits for one HTTP answer.
func Exchange(to, text string, within time.Duration) (a Answer) {
	conn, err := net.Dial("tcp", to)
	if err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	defer conn.Close()
	return ExchangeIn(conn, bufio.NewReader(conn), text, within)
}

// ExchangeIn sends a text on a connection and waits for one HTTP answer; in reads the connection.
func ExchangeIn(conn net.Conn, in *bufio.Reader, text string, within time.Duration) (a Answer) {
	if _, a.Err = io.Copy(conn, strings.NewReader(text)); a.Err != nil {
		a.At = time.Now()
		return a
	}
	a.Sent = time.Now()
	conn.SetReadDeadline(a.Sent.Add(within))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		a.At, a.Err = time.Now(), err
		return a
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	a.At, a.Err = time.Now(), err
	if err == nil {
		a.Status, a.Body, a.Header = resp.StatusCode, string(body), resp.Header
	}
	return a
}

const (
	servedWithin = 10 * time.Second
	askedAgain   = 100 * time.Millisecond
)

// UntilServed sends a text, each time on a connection of its own, until it is answered with 200: a broker that is ready may not have the list of
// nodes yet.
func UntilServed(to, text string) (a Answer) {
	for end := time.Now().Add(servedWithin); time.Now().Before(end); time.Sleep(askedAgain) {
		if a = Exchange(to, text, servedWithin); a.Status == http.StatusOK {
			return a
		}
	}
	Check(false, "the broker serves nothing: status %d, %v", a.Status, a.Err)
	return a
}
