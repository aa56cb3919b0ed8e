package proof

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

var (
	program         string
	extraSeeds      = flag.Int("hunt", 0, "number of further seeds of the tests with random faults, for runs outside CI")
	alwaysPrintLogs = flag.Bool("wordy", false, "print the brokers' logs also if a test passes")
	tierSlots       = make(chan struct{}, 3) // limits the tiers that run at the same time
)

const (
	lease     = 1500 * time.Millisecond
	waitLimit = 40 * time.Second // for a state that is reached within a second or two on an idle machine
	// crashKnownAfter bounds the time until a crash is known: the lease expires, at a leader that may have been elected after the crash.
	crashKnownAfter = 3*lease + 2*time.Second
	// quietSpan is how long a test watches that something does not happen. If it did, it would within a tenth of that.
	quietSpan = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := func() int {
		if testing.Short() {
			return m.Run() // each test that starts processes skips itself
		}
		dir, err := os.MkdirTemp("", "proof")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "flaxfront")
		if out, err := exec.Command("go", "build", "-o", program, "flaxfront/cmd/flaxfront").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
			return 1
		}
		return m.Run()
	}()
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// tier is a tier under test.
type tier struct {
	*chaos.Tier
	t *testing.T
}

// startTier starts a tier and waits until all of its brokers serve.
func startTier(t *testing.T, o chaos.Options) *tier {
	if testing.Short() {
		t.Skip("starts processes; skipped with -short")
	}
	t.Parallel()
	tierSlots <- struct{}{}
	t.Cleanup(func() { <-tierSlots })
	o.Program, o.Lease, o.Cells, o.Seed = program, lease, 4, 1
	if o.Nodes == 0 {
		o.Nodes = 8
	}
	settings := map[string]any{"exit_on_permit": true, "report": "250ms",
		"gates": map[string]any{"observe": "500ms", "warm": "500ms", "least": 100}}
	for k, v := range o.Fleet {
		settings[k] = v
	}
	o.Fleet = settings
	began := time.Now()
	chaosTier, err := chaos.NewTier(t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	c := &tier{chaosTier, t}
	t.Cleanup(func() {
		c.Close()
		if t.Failed() || *alwaysPrintLogs {
			c.printLogs()
		}
	})
	if err := c.StartAll(waitLimit); err != nil {
		t.Fatal(err)
	}
	c.all(statemachine.BrokerServing)
	c.waitFor("the monitor sees all brokers serve", func() bool {
		for _, b := range c.Brokers {
			if !c.Monitor.Serves(b.Name) {
				return false
			}
		}
		return true
	})
	t.Logf("%d brokers serve after %v", len(c.Brokers), time.Since(began).Round(10*time.Millisecond))
	return c
}

// printLogs prints the release steps and the end of each broker's control plane log.
func (c *tier) printLogs() {
	for _, s := range c.Monitor.PlannedStops() {
		c.t.Logf("step of %s at %s, while out: %v", s.Broker, s.At.Format("15:04:05.000"), s.Out)
	}
	for _, b := range c.Brokers {
		lines := b.LogLines(0, "component=control-plane")
		for _, line := range lines[max(0, len(lines)-25):] {
			c.t.Logf("%s: %.220s", b.Name, line)
		}
	}
}

// waitFor waits until ok returns true, and fails the test after waitLimit.
func (c *tier) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s, err := c.Status(2 * time.Second)
			c.t.Fatalf("not reached within %v: %s\nstatus: %+v, error: %v", waitLimit, what, s, err)
		}
	}
}

// waitForStatus waits until the status that a majority agrees on satisfies ok, and returns it.
func (c *tier) waitForStatus(what string, ok func(*controlplane.Status) bool) (s controlplane.Status) {
	c.t.Helper()
	c.waitFor(what, func() (good bool) {
		var err error
		s, err = c.Status(3 * time.Second)
		return err == nil && ok(&s)
	})
	return s
}

// all waits until all brokers have a status.
func (c *tier) all(as statemachine.BrokerStatus) {
	c.t.Helper()
	c.waitForStatus(fmt.Sprint("all are ", as), func(s *controlplane.Status) bool {
		n := 0
		for _, b := range s.Brokers {
			if b.Status == as {
				n++
			}
		}
		return n == len(c.Brokers)
	})
}

// brokerStatus returns a broker's entry in the status; false: there is none.
func brokerStatus(s *controlplane.Status, name string) (controlplane.BrokerStatus, bool) {
	for _, b := range s.Brokers {
		if b.Name == name {
			return b, true
		}
	}
	return controlplane.BrokerStatus{}, false
}

// mustRun runs a fleet command of the program, which must succeed.
func (c *tier) mustRun(args ...string) string {
	c.t.Helper()
	out, err := c.Command(args...)
	if err != nil {
		c.t.Fatalf("fleet %v: %v", args, err)
	}
	return out
}
