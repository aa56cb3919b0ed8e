package chaos

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// echo starts a listener that echoes each line, and returns its address.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					fmt.Fprintln(c, in.Text())
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// said reports whether a line sent over a connection comes back in time; over a cut link it does not.
func said(c net.Conn, text string, within time.Duration) bool {
	c.SetDeadline(time.Now().Add(within))
	fmt.Fprintln(c, text)
	got, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && got == text+"\n"
}

// A cut in one direction stops what travels that way on connections opened from either side, and nothing between other brokers.
func TestCutOneWay(t *testing.T) {
	m, err := NewMesh([]string{echo(t), echo(t), echo(t)}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	dial := func(from, to int) net.Conn {
		c, err := net.Dial("tcp", m.Addr(from, to))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	c01, c10, c02 := dial(0, 1), dial(1, 0), dial(0, 2)
	for _, c := range []net.Conn{c01, c10, c02} {
		if !said(c, "before", 5*time.Second) {
			t.Fatal("no echo before the cut")
		}
	}
	m.Cut(0, 1)
	if said(c01, "a", 100*time.Millisecond) || said(c10, "b", 100*time.Millisecond) {
		t.Error("a line passed the cut")
	}
	if !said(c02, "c", 5*time.Second) {
		t.Error("the cut also stopped another link")
	}
	m.Heal(false)
	c01.SetDeadline(time.Now().Add(5 * time.Second))
	if got, err := bufio.NewReader(c01).ReadString('\n'); err != nil || got != "a\n" {
		t.Errorf("the line held by the cut did not arrive after healing: %q, %v", got, err)
	}
	m.Partition([]int{0, 1}, []int{2})
	if said(c02, "d", 100*time.Millisecond) {
		t.Error("a line passed the partition")
	}
}

// Each run of a process is recorded with how it ended: on request, killed, or by itself. A paused process still counts as
// running.
func TestProcessRuns(t *testing.T) {
	ended := make(chan ProcessRun, 4)
	p := NewProcess("p", filepath.Join(t.TempDir(), "log"), "/bin/sleep", []string{"60"}, nil, func(l ProcessRun) { ended <- l })
	for _, end := range []func() bool{p.Kill, p.Terminate} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if p.Start() == nil {
			t.Error("a second start of a running process succeeded")
		}
		if !p.Pause() || !p.Running() || !p.Resume() {
			t.Error("pausing and resuming ended the process")
		}
		end()
		if !p.WaitForEnd(5 * time.Second) {
			t.Fatal("the process did not end within 5 s")
		}
		<-ended
	}
	lives := p.Runs()
	if len(lives) != 2 || !lives[0].StopRequestedAt.IsZero() || lives[1].StopRequestedAt.IsZero() || p.Kill() {
		t.Errorf("wrong record of the runs: %+v", lives)
	}
}

// The monitor reports a planned stop beyond the limit. It does not report one beside a crash that brokers cannot know of yet, nor
// one that came after the last poll which still found the other broker out.
func TestMonitorFindsViolations(t *testing.T) {
	w := &Monitor{current: map[string]*Absence{}, serves: map[string]bool{}, servedBefore: map[string]bool{}, killedAt: map[string]time.Time{}}
	at := time.Now()
	look := func(b string, up bool) {
		at = at.Add(10 * time.Millisecond)
		w.record(b, at.Add(-time.Millisecond), at, up)
	}
	for _, b := range []string{"b0", "b1", "b2", "b3"} {
		look(b, false) // never served before: no planned stop
		look(b, true)
	}
	w.killedAt["b0"] = at
	look("b0", false)
	look("b1", false)
	look("b0", false)
	if broken := w.Check(1, time.Minute); len(w.PlannedStops()) != 1 || len(broken) != 0 {
		t.Errorf("%v; a crash that brokers cannot know of yet was counted", broken)
	}
	if broken := w.Check(1, 0); len(broken) != 1 {
		t.Errorf("%v; a crash that brokers knew of was not counted", broken)
	}
	look("b0", true)
	look("b2", false) // b1 was not polled since, and may be back
	if broken := w.Check(1, time.Minute); len(broken) != 0 {
		t.Errorf("%v; a broker not polled since was counted as out", broken)
	}
	look("b3", false)
	look("b2", false)
	if broken := w.Check(1, time.Minute); len(broken) != 1 || w.MaxOut() != 2 {
		t.Errorf("%v; want one violation, as two were out at once with a limit of one", broken)
	}
}
