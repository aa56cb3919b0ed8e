package raftlog

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"testing"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if dir := os.Getenv("RAFTLOG_CHILD"); dir != "" {
		_, err := Open(Options{Directory: dir, Cluster: "c", VoterID: 1, Voters: []uint64{1, 2, 3}})
		fmt.Printf("%T", err)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestOneProcessOpensLog(t *testing.T) {
	l, err := Open(Options{Directory: t.TempDir(), Cluster: "c", VoterID: 1, Voters: []uint64{1, 2, 3}, Create: true})
	if err != nil {
		t.Fatal(err)
	}
	child := func() string {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "RAFTLOG_CHILD="+l.options.Directory)
		out, _ := c.Output()
		return string(out)
	}
	if got := child(); got != "*raftlog.LockedError" {
		t.Errorf("while the lock is held, another process gets %s", got)
	}
	l.Close()
	if got := child(); got != "<nil>" {
		t.Errorf("after the lock was released, another process gets %s", got)
	}
}
