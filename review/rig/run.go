// Package rig has what the cases 6 to 10 of the review share: stand-ins for nodes, discovery, clients and the network, and the start and end of
// the project's own processes. Everything is on loopback addresses and the real clock.
package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	unusable = 2
)

// timeLimit is the longest time that a case may run.
const timeLimit = 110 * time.Second

// Run is one run of a case.
type Run struct {
	Trouble bool   // the disruption is played
	Dir     string // a temporary folder
	started time.Time

	mu      sync.Mutex
	record  *os.File
	faults  []string
	brokers []*Broker
}

// errUnusable is the panic value by which a case ends that can't run.
var errUnusable = errors.New("the case can't run")

// Play runs a case, whose folder is the first argument of the program, and exits with its result.
func Play(play func(r *Run)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER-OF-THE-CASE")
		os.Exit(unusable)
	}
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if r.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err == nil {
		r.Dir, err = os.MkdirTemp("", "flaxfront-review-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unusable)
	}
	time.AfterFunc(timeLimit, func() {
		r.Note("the time limit of the case has passed")
		r.exit(unusable)
	})
	r.Note("trouble: %v", r.Trouble)
	code := r.guard(play)
	r.exit(code)
}

// guard plays a case and returns its exit code.
func (r *Run) guard(play func(r *Run)) (code int) {
	defer func() {
		if p := recover(); p != nil {
			r.Note("can't run: %v", p)
			code = unusable
		}
	}()
	play(r)
	if len(r.faults) > 0 {
		return broken
	}
	return held
}

// exit ends all processes and the program.
func (r *Run) exit(code int) {
	r.mu.Lock()
	brokers := r.brokers
	r.mu.Unlock()
	for _, b := range brokers {
		b.Kill()
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", unusable: "the case could not run"}[code]
	r.Note("result: %s", verdict)
	fmt.Println(verdict)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.Dir)
	}
	os.Exit(code)
}

// Note writes a line to the record.
func (r *Run) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the run's start, as the record has it.
func (r *Run) Since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// Broken records that the rule was broken.
func (r *Run) Broken(format string, args ...any) {
	r.Note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// Must ends the case as one that can't run if there is an error.
func Must(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errUnusable, err))
	}
}

// Check ends the case as one that can't run unless a condition holds.
func Check(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Errorf("%w: %s", errUnusable, fmt.Sprintf(format, args...)))
	}
}

var addresses atomic.Uint32

// FreeAddr returns a free loopback address, on an IP address of its own.
func FreeAddr() string {
	n := addresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, 1+n%250))
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Wait waits until a condition holds, and reports false if it does not within a time.
func Wait(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}
