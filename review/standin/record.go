// Package standin has what the cases of the review share: a discovery service, store nodes, brokers as processes of their own, HTTP clients,
// and the record of a run. The stand-ins behave as the users' pages say; faults are switched on by a case.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit status of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	NotRun = 2 // the case could not run
)

// Record is the record of a run: what was sent, answered and run, with the time since the run began.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the file of a record.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Since returns the time since the run began.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Write writes one line.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Verdict writes the last line of a record, prints it, and returns the exit status.
func (r *Record) Verdict(broken bool, format string, args ...any) int {
	text, status := "rule held: "+fmt.Sprintf(format, args...), Held
	if broken {
		text, status = "RULE BROKEN: "+fmt.Sprintf(format, args...), Broken
	}
	r.Write("%s", text)
	fmt.Println(text)
	return status
}
