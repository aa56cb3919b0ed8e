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
	program string
	hunt    = flag.Int("hunt", 0, "play so many further seeds of the histories, outside CI")
	wordy   = flag.Bool("wordy", false, "print what brokers logged also where a test passes")
	atOnce  = make(chan struct{}, 3) // tiers side by side
)

const (
	lease   = 1500 * time.Millisecond
	patient = 40 * time.Second // for a state that comes in a second or two on a machine with nothing else to do
	// known is when the fleet has surely heard of a crash: leases run out, at a leader that was elected after it.
	known = 3*lease + 2*time.Second
	// still is how long a test watches for what must not happen. What it watches for would come within a tenth of it.
	still = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := func() int {
		if testing.Short() {
			return m.Run() // each test skips itself
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

// begin starts a tier and waits until all of its brokers are in.
func begin(t *testing.T, o chaos.Options) *tier {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	atOnce <- struct{}{}
	t.Cleanup(func() { <-atOnce })
	o.Program, o.Lease, o.Cells, o.Seed = program, lease, 4, 1
	if o.Nodes == 0 {
		o.Nodes = 8
	}
	own := map[string]any{"exit_on_permit": true, "report": "250ms",
		"gates": map[string]any{"observe": "500ms", "warm": "500ms", "least": 100}}
	for k, v := range o.Fleet {
		own[k] = v
	}
	o.Fleet = own
	began := time.Now()
	inner, err := chaos.NewTier(t.TempDir(), o)
	if err != nil {
		t.Fatal(err)
	}
	c := &tier{inner, t}
	t.Cleanup(func() {
		c.Close()
		if t.Failed() || *wordy {
			c.tell()
		}
	})
	if err := c.StartAll(patient); err != nil {
		t.Fatal(err)
	}
	c.all(statemachine.BrokerServing)
	c.until("the outside view has all serve", func() bool {
		for _, b := range c.Brokers {
			if !c.Monitor.Serves(b.Name) {
				return false
			}
		}
		return true
	})
	t.Logf("%d brokers are in after %v", len(c.Brokers), time.Since(began).Round(10*time.Millisecond))
	return c
}

// tell prints what the brokers logged last.
func (c *tier) tell() {
	for _, s := range c.Monitor.PlannedStops() {
		c.t.Logf("step of %s at %s, beside %v", s.Broker, s.At.Format("15:04:05.000"), s.Out)
	}
	for _, b := range c.Brokers {
		lines := b.LogLines(0, "component=control-plane")
		for _, line := range lines[max(0, len(lines)-25):] {
			c.t.Logf("%s: %.220s", b.Name, line)
		}
	}
}

// until waits for a state.
func (c *tier) until(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patient); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s, err := c.Status(2 * time.Second)
			c.t.Fatalf("not within %v: %s\n%+v %v", patient, what, s, err)
		}
	}
}

// agreed waits until what a majority knows satisfies ok.
func (c *tier) agreed(what string, ok func(*controlplane.Status) bool) (s controlplane.Status) {
	c.t.Helper()
	c.until(what, func() (good bool) {
		var err error
		s, err = c.Status(3 * time.Second)
		return err == nil && ok(&s)
	})
	return s
}

// all waits until all brokers stand as given.
func (c *tier) all(as statemachine.BrokerStatus) {
	c.t.Helper()
	c.agreed(fmt.Sprint("all are ", as), func(s *controlplane.Status) bool {
		n := 0
		for _, b := range s.Brokers {
			if b.Status == as {
				n++
			}
		}
		return n == len(c.Brokers)
	})
}

// standing is how a broker stands; false: it is not known.
func standing(s *controlplane.Status, name string) (controlplane.BrokerStatus, bool) {
	for _, b := range s.Brokers {
		if b.Name == name {
			return b, true
		}
	}
	return controlplane.BrokerStatus{}, false
}

// do runs a command of the program, which must be done.
func (c *tier) do(args ...string) string {
	c.t.Helper()
	out, err := c.Command(args...)
	if err != nil {
		c.t.Fatalf("fleet %v: %v", args, err)
	}
	return out
}
