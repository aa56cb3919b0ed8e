package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
)

// Writes do not block when the reader of the log stops; the number of dropped lines is written.
func TestLogWriterNeverBlocks(t *testing.T) {
	in, out := io.Pipe()
	w := newLogWriter(out)
	for i := range 2 * logQueueSize {
		fmt.Fprintf(w, "line %d\n", i)
	}
	go func() {
		w.Close()
		<-w.done
		out.Close()
	}()
	text, err := io.ReadAll(in)
	if err != nil || !bytes.Contains(text, []byte("line 0\n")) {
		t.Errorf("error %v, log begins with %.40q", err, text)
	}
	if got := strings.Count(string(text), "line "); got < logQueueSize || got > logQueueSize+1 ||
		!strings.Contains(string(text), "log lines dropped") {
		t.Errorf("unexpected log: %d lines were written", got)
	}
}
