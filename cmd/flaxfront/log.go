package main

// This file owns the way of log lines out of the process. It must never make whoever logs wait.

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueSize bounds the lines that wait to be written.
const logQueueSize = 4096

// logWriter writes lines in a goroutine of its own. Danger: whoever reads them stops, the pipe fills, and with it the
// loop would stand still. Lines wait in a bounded queue; where it is full they are dropped, and how many is said once
// there is room.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueueSize), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run(to)
	return w
}

func (w *logWriter) run(to io.Writer) {
	defer close(w.done)
	for quit := w.quit; quit != nil || len(w.lines) > 0; {
		select {
		case line := <-w.lines:
			if n := w.dropped.Swap(0); n > 0 {
				fmt.Fprintf(to, "%d log lines dropped\n", n)
			}
			to.Write(line)
		case <-quit:
			quit = nil
		}
	}
}

// Write takes one line; slog writes each in one call.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for a moment at most. What is logged later is lost.
func (w *logWriter) Close() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}
