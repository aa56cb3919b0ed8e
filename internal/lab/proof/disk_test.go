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

// logDirectory returns the directory of a voter's log.
func logDirectory(b *chaos.Broker) string {
	return filepath.Join(filepath.Dir(b.OperatorFile), "agreed", b.Name)
}

// largestFileSize returns the size of the largest file in a directory.
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

// stopBroker ends a broker's process by SIGTERM, as an operator does.
func (c *tier) stopBroker(b *chaos.Broker) {
	c.t.Helper()
	c.Supervise(nil)
	if b.Terminate(); !b.WaitForEnd(waitLimit) {
		c.t.Fatalf("%s does not exit after SIGTERM", b.Name)
	}
}

// mustNotStart starts a broker that must exit with an error, and returns what it logs.
func (c *tier) mustNotStart(b *chaos.Broker) string {
	c.t.Helper()
	logStart := b.LogSize()
	if err := c.Start(b); err != nil {
		c.t.Fatal(err)
	}
	if !b.WaitForEnd(waitLimit) {
		c.t.Errorf("%s runs, want an exit with an error", b.Name)
	}
	if last := b.Runs()[len(b.Runs())-1]; last.Status == 0 {
		c.t.Errorf("%s exited with status 0", b.Name)
	}
	return strings.Join(b.LogLines(logStart, ""), "\n")
}

// A voter whose disk is full logs that once, stops voting and keeps serving queries; the others reach agreement without it. Restarted
// with free space it votes again, from the log that it had. With another voter's log, a damaged one or none it must not start.
func TestVoterDiskFaults(t *testing.T) {
	c := startTier(t, chaos.Options{Brokers: 4, Voters: 3})
	c.restartWithVersion("v2")
	s := c.waitForStatus("a leader is elected", func(s *controlplane.Status) bool { return s.Leader != "" })
	full := c.BrokerNamed(s.Leader)
	if err := full.LimitFileSize(uint64(largestFileSize(t, logDirectory(full)) + 100)); err != nil {
		t.Fatal(err)
	}
	c.waitFor("the voter logs that its disk is full", func() bool {
		c.Command("forget", "b3", "--within", "1s") // appends a log entry; it is rejected, as b3 runs
		return len(full.LogLines(0, "voter stopped")) > 0
	})
	for _, line := range full.LogLines(0, "voter stopped") {
		if !strings.Contains(line, "file too large") || !strings.Contains(line, "make room") {
			t.Error(line)
		}
	}
	c.waitForStatus("another voter leads", func(s *controlplane.Status) bool { return s.Leader != full.Name })
	c.all(statemachine.BrokerServing) // as a follower it does not count as lost, and learns of drains
	if up, said := full.Serving(); !up || !said {
		t.Error("a broker whose disk is full does not serve")
	}
	time.Sleep(quietSpan)
	if n := len(full.LogLines(0, "voter stopped")); n != 1 {
		t.Errorf("the full disk was logged %d times, want 1", n)
	}
	c.stopBroker(full)
	if err := c.Start(full); err != nil {
		t.Fatal(err)
	}
	c.all(statemachine.BrokerServing)

	other := c.BrokerNamed(c.waitForStatus("a leader is elected", func(s *controlplane.Status) bool { return s.Leader != "" }).Leader)
	wrong := c.Brokers[(other.Index+1)%3]
	c.stopBroker(wrong)
	kept := filepath.Join(t.TempDir(), "kept")
	if err := os.Rename(logDirectory(wrong), kept); err != nil {
		t.Fatal(err)
	}
	if said := c.mustNotStart(wrong); !strings.Contains(said, "no voter's log") {
		t.Errorf("without a log the broker logged: %s", said)
	}
	os.RemoveAll(logDirectory(wrong))
	if err := os.CopyFS(logDirectory(wrong), os.DirFS(logDirectory(other))); err != nil {
		t.Fatal(err)
	}
	if said := c.mustNotStart(wrong); !strings.Contains(said, ", not of ") {
		t.Errorf("with another voter's log the broker logged: %s", said)
	}
	os.RemoveAll(logDirectory(wrong))
	if err := os.CopyFS(logDirectory(wrong), os.DirFS(kept)); err != nil {
		t.Fatal(err)
	}
	corruptLog(t, logDirectory(wrong))
	if said := c.mustNotStart(wrong); !strings.Contains(said, "is damaged at byte") {
		t.Errorf("with a damaged log the broker logged: %s", said)
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

// corruptLog flips a bit a third of the way into the largest file.
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
	t.Fatal("no log file to corrupt")
}
