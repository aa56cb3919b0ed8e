package proof

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxfront/internal/cluster/controlplane"
	"flaxfront/internal/decision/statemachine"
	"flaxfront/internal/lab/chaos"
)

// logDirectory is where a voter keeps its log.
func logDirectory(b *chaos.Broker) string {
	return filepath.Join(filepath.Dir(b.OperatorFile), "agreed", b.Name)
}

// largestFileSize is the size of the largest file in a directory.
func largestFileSize(t *testing.T, dir string) (most int64) {
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range all {
		if info, err := e.Info(); err == nil {
			most = max(most, info.Size())
		}
	}
	return most
}

// stopBroker ends a broker's life by SIGTERM, as an operator does.
func (c *tier) stopBroker(b *chaos.Broker) {
	c.t.Helper()
	c.Supervise(nil)
	if b.Terminate(); !b.WaitForEnd(waitLimit) {
		c.t.Fatalf("%s does not end", b.Name)
	}
}

// mustNotStart starts a broker that must not start, and returns what it says.
func (c *tier) mustNotStart(b *chaos.Broker) string {
	c.t.Helper()
	logStart := b.LogSize()
	if err := c.Start(b); err != nil {
		c.t.Fatal(err)
	}
	if !b.WaitForEnd(waitLimit) {
		c.t.Errorf("%s runs", b.Name)
	}
	if last := b.Runs()[len(b.Runs())-1]; last.Status == 0 {
		c.t.Errorf("%s ended with status 0", b.Name)
	}
	return strings.Join(b.LogLines(logStart, ""), "\n")
}

// A voter whose disk fills votes no more and says so, and serves on; the others agree without it. With room it is a voter again,
// from the log that it had. A log of another voter, a damaged one and none at all are refused.
func TestVoterDiskFaults(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.restartWithVersion("v2")
	s := c.waitForStatus("a leader", func(s *controlplane.Status) bool { return s.Leader != "" })
	full := c.BrokerNamed(s.Leader)
	if err := full.LimitFileSize(uint64(largestFileSize(t, logDirectory(full)) + 100)); err != nil {
		t.Fatal(err)
	}
	c.waitFor("it says that its disk is full", func() bool {
		c.Command("forget", "b3", "--within", "1s") // something to write; it is refused, as that one lives
		return len(full.LogLines(0, "voter stopped")) > 0
	})
	for _, line := range full.LogLines(0, "voter stopped") {
		if !strings.Contains(line, "file too large") || !strings.Contains(line, "make room") {
			t.Error(line)
		}
	}
	c.waitForStatus("another leads", func(s *controlplane.Status) bool { return s.Leader != full.Name })
	c.all(statemachine.BrokerServing) // it follows the others from now on: it takes no place in any limit, and hears of drains
	if up, said := full.Serving(); !up || !said {
		t.Error("a broker whose disk is full does not serve")
	}
	time.Sleep(quietSpan)
	if n := len(full.LogLines(0, "voter stopped")); n != 1 {
		t.Errorf("said %d times", n)
	}
	c.stopBroker(full)
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	c.all(statemachine.BrokerServing)

	other := c.BrokerNamed(c.waitForStatus("a leader", func(s *controlplane.Status) bool { return s.Leader != "" }).Leader)
	wrong := c.Brokers[(other.Index+1)%3]
	c.stopBroker(wrong)
	kept := filepath.Join(t.TempDir(), "kept")
	if err := os.Rename(logDirectory(wrong), kept); err != nil {
		t.Fatal(err)
	}
	if said := c.mustNotStart(wrong); !strings.Contains(said, "no voter's log") {
		t.Errorf("without a log: %s", said)
	}
	os.RemoveAll(logDirectory(wrong))
	if err := os.CopyFS(logDirectory(wrong), os.DirFS(logDirectory(other))); err != nil {
		t.Fatal(err)
	}
	if said := c.mustNotStart(wrong); !strings.Contains(said, ", not of ") {
		t.Errorf("with another's log: %s", said)
	}
	os.RemoveAll(logDirectory(wrong))
	if err := os.CopyFS(logDirectory(wrong), os.DirFS(kept)); err != nil {
		t.Fatal(err)
	}
	corruptLog(t, logDirectory(wrong))
	if said := c.mustNotStart(wrong); !strings.Contains(said, "is damaged at byte") {
		t.Errorf("with a damaged log: %s", said)
	}
	os.RemoveAll(logDirectory(wrong))
	if err := os.CopyFS(logDirectory(wrong), os.DirFS(kept)); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(wrong); err != nil {
		t.Fatal(err)
	}
	c.all(statemachine.BrokerServing)
}

// corruptLog changes a byte in the first half of the largest file.
func corruptLog(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err == nil && int64(len(b)) == largestFileSize(t, dir) {
			b[len(b)/3] ^= 0x40
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatal("no log")
}
