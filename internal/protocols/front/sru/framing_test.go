package sru

// This file tests where the requests of a connection end.

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/lab/archive"
)

const (
	formHead      = "POST /catalogue HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\n"
	form          = "version=1.2&operation=searchRetrieve&query=open"
	concealedText = "GET /catalogue?query=concealed HTTP/1.1\r\nHost: x\r\n\r\n"
)

// chunkedForm returns a form in one chunk.
func chunkedForm() string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(form), form) }

// Guards against running a request that is concealed in the body of another, whose end is ambiguous.
func TestAmbiguousRequestIsRefused(t *testing.T) {
	body := chunkedForm() + concealedText
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for name, head := range map[string]string{
		"length, then chunks":      formHead + length + "Transfer-Encoding: chunked\r\n\r\n",
		"chunks, then length":      formHead + "Transfer-Encoding: chunked\r\n" + length + "\r\n",
		"no length and chunks":     formHead + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"folded chunks":            formHead + length + "Transfer-Encoding:\r\n chunked\r\n\r\n",
		"folded chunks, no length": formHead + "Transfer-Encoding:\r\n chunked\r\n\r\n",
		"chunks in HTTP/1.0":       strings.Replace(formHead, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\n" + length + "Transfer-Encoding: chunked\r\n\r\n",
		"no length in HTTP/1.0":    strings.Replace(formHead, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":              formHead + length + "Content-Length: 5\r\n\r\n",
		"chunks twice":             formHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare line feeds":          strings.ReplaceAll(formHead+length+"Transfer-Encoding: chunked\r\n\r\n", "\r\n", "\n"),
	} {
		for _, before := range []int{0, 1} { // usual requests in front of it on the connection
			b := archive.New(archive.DublinCoreRecord)
			client := dialRaw(t, startFront(t, b))
			io.WriteString(client, strings.Repeat("GET /?query=cat HTTP/1.1\r\nHost: x\r\n\r\n", before)+head+body)
			for range before {
				if status, last := client.receive(); status != http.StatusOK || last {
					t.Errorf("%s: the request before it: status %d, last %v", name, status, last)
				}
			}
			if status, last := client.receive(); status < 400 || !last {
				t.Errorf("%s, behind %d: status %d, last %v, want an error and a close", name, before, status, last)
			}
			if _, err := client.in.ReadByte(); err == nil {
				t.Errorf("%s, behind %d: a further answer", name, before)
			}
			if ran := b.Queries() - before; ran != 0 {
				t.Errorf("%s, behind %d: %d queries were run", name, before, ran)
			}
		}
	}
}

// Requests that come at once on one connection, in any pieces, are answered one by one.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	const get = "GET /?query=cat HTTP/1.1\r\nHost: x\r\n\r\n"
	post := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", formHead, len(form), form)
	chunked := formHead + "Transfer-Encoding: chunked\r\n\r\n" + chunkedForm()
	trailed := formHead + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" + strings.TrimSuffix(chunkedForm(), "\r\n") + "A: 1\r\n\r\n"
	all := []string{get, post, get, chunked, chunked, post, trailed, get}
	pipelined := strings.Join(all, "")
	for _, piece := range []int{1, 50, len(pipelined)} {
		client := dialRaw(t, startFront(t, archive.New(archive.DublinCoreRecord)))
		go func() {
			for rest := pipelined; rest != ""; rest = rest[min(piece, len(rest)):] {
				io.WriteString(client, rest[:min(piece, len(rest))])
				time.Sleep(100 * time.Microsecond)
			}
		}()
		for i := range all {
			if status, last := client.receive(); status != http.StatusOK || last {
				t.Errorf("pieces of %d: answer %d has status %d, last %v", piece, i, status, last)
			}
		}
	}
}

// Guards against running what stands behind a chunk whose end implementations find in different places.
func TestOddChunksAreRefused(t *testing.T) {
	size := fmt.Sprintf("%x", len(form))
	for name, body := range map[string]string{
		"a sign":              "+" + size + "\r\n" + form + "\r\n0\r\n\r\n",
		"a space in front":    " " + size + "\r\n" + form + "\r\n0\r\n\r\n",
		"a prefix":            "0x" + size + "\r\n" + form + "\r\n0\r\n\r\n",
		"bare line feeds":     size + "\n" + form + "\n0\n\n",
		"a line feed behind":  size + "\r\n" + form + "\n0\r\n\r\n",
		"more than its size":  size + "\r\n" + form + "&x=1\r\n0\r\n\r\n",
		"a huge size":         "ffffffffffffffff1\r\n" + form + "\r\n0\r\n\r\n",
		"a malformed trailer": size + "\r\n" + form + "\r\n0\r\nno field\r\n\r\n",
	} {
		b := archive.New(archive.DublinCoreRecord)
		client := dialRaw(t, startFront(t, b))
		io.WriteString(client, formHead+"Transfer-Encoding: chunked\r\n\r\n"+body+concealedText)
		if status, last := client.receive(); status < 400 || !last {
			t.Errorf("%s: status %d, last %v, want an error and a close", name, status, last)
		}
		if _, err := client.in.ReadByte(); err == nil {
			t.Errorf("%s: a further answer", name)
		}
		if ran := b.Queries(); ran != 0 {
			t.Errorf("%s: %d queries were run", name, ran)
		}
	}
}
