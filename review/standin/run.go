package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun is the time after which a run is given up; a case may take 120 s.
const longestRun = 110 * time.Second

// Run is one run of a case.
type Run struct {
	*Record
	Trouble bool   // with the disruption
	Root    string // of the repository
	Dir     string // a temporary folder
	brokers []*Broker
}

// Main runs a case, which stands in the folder review/NAME, ends what it started, and exits with the case's status. The working directory is
// the repository's root.
func Main(name string, play func(r *Run) (status int, err error)) {
	os.Exit(runCase(name, play))
}

func runCase(name string, play func(r *Run) (int, error)) int {
	root, err := os.Getwd()
	if err != nil {
		return notRun(err)
	}
	record, err := OpenRecord(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		return notRun(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(dir)
	r := &Run{Record: record, Trouble: os.Getenv("TROUBLE") != "0", Root: root, Dir: dir}
	defer r.endBrokers()
	type outcome struct {
		status int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		status, err := play(r)
		done <- outcome{status, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		if o.err != nil {
			return notRun(o.err)
		}
		return o.status
	case s := <-signals:
		return notRun(fmt.Errorf("ended by %v", s))
	case <-time.After(longestRun):
		return notRun(fmt.Errorf("not done after %v", longestRun))
	}
}

func notRun(err error) int {
	fmt.Println("could not run:", err)
	return NotRun
}
