package main

// This file writes log lines out of the process without ever blocking the code that logs.

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueSize is the maximum number of lines that wait to be written.
const logQueueSize = 4096

// logWriter writes lines in a goroutine of its own, so that a full pipe, whose reader has stopped, does not block the event loop. Lines wait
// in a bounded queue; if it is full they are dropped, and their number is written once there is room.
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

// Write queues one line, or drops it if the queue is full. slog writes each line in one call.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, for at most a second. Lines logged later are lost.
func (w *logWriter) Close() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}
