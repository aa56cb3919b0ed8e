package chaos

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// echo answers each line at a listener of its own.
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

// said tells whether a line sent over a connection comes back; silence is what a cut gives, and it is waited for briefly.
func said(c net.Conn, text string, within time.Duration) bool {
	c.SetDeadline(time.Now().Add(within))
	fmt.Fprintln(c, text)
	got, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && got == text+"\n"
}

// A cut one way stops what travels that way on the connections of both sides, and nothing between others.
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
			t.Fatal("nothing came back before the cut")
		}
	}
	m.Cut(0, 1)
	if said(c01, "a", 100*time.Millisecond) || said(c10, "b", 100*time.Millisecond) {
		t.Error("something came through the cut")
	}
	if !said(c02, "c", 5*time.Second) {
		t.Error("the cut took another link with it")
	}
	m.Heal(false)
	c01.SetDeadline(time.Now().Add(5 * time.Second))
	if got, err := bufio.NewReader(c01).ReadString('\n'); err != nil || got != "a\n" {
		t.Errorf("what was held did not come after healing: %q, %v", got, err)
	}
	m.Partition([]int{0, 1}, []int{2})
	if said(c02, "d", 100*time.Millisecond) {
		t.Error("something came through the partition")
	}
}

// Lives are told with their ends: asked for, killed, or by itself; a process that is stopped still counts as running.
func TestLives(t *testing.T) {
	ended := make(chan ProcessRun, 4)
	p := NewProcess("p", filepath.Join(t.TempDir(), "log"), "/bin/sleep", []string{"60"}, nil, func(l ProcessRun) { ended <- l })
	for _, end := range []func() bool{p.Kill, p.Terminate} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if p.Start() == nil {
			t.Error("started twice")
		}
		if !p.Pause() || !p.Running() || !p.Resume() {
			t.Error("a life that was stopped and continued has ended")
		}
		end()
		if !p.WaitForEnd(5 * time.Second) {
			t.Fatal("it does not end")
		}
		<-ended
	}
	lives := p.Runs()
	if len(lives) != 2 || !lives[0].StopRequestedAt.IsZero() || lives[1].StopRequestedAt.IsZero() || p.Kill() {
		t.Errorf("%+v", lives)
	}
}

// The outside audit finds a step beyond the limit, lets pass one beside a crash that nobody can have heard of, and one that came
// after the last look that found the other out.
func TestWatchFinds(t *testing.T) {
	w := &Monitor{current: map[string]*Absence{}, serves: map[string]bool{}, servedBefore: map[string]bool{}, killedAt: map[string]time.Time{}}
	at := time.Now()
	look := func(b string, up bool) {
		at = at.Add(10 * time.Millisecond)
		w.record(b, at.Add(-time.Millisecond), at, up)
	}
	for _, b := range []string{"b0", "b1", "b2", "b3"} {
		look(b, false) // not begun: no step
		look(b, true)
	}
	w.killedAt["b0"] = at
	look("b0", false)
	look("b1", false)
	look("b0", false)
	if broken := w.Check(1, time.Minute); len(w.PlannedStops()) != 1 || len(broken) != 0 {
		t.Errorf("%v; a crash just made counts", broken)
	}
	if broken := w.Check(1, 0); len(broken) != 1 {
		t.Errorf("%v; a crash that was known does not count", broken)
	}
	look("b0", true)
	look("b2", false) // b1 was not looked at since, and may be back
	if broken := w.Check(1, time.Minute); len(broken) != 0 {
		t.Errorf("%v; what was not seen counts", broken)
	}
	look("b3", false)
	look("b2", false)
	if broken := w.Check(1, time.Minute); len(broken) != 1 || w.MaxOut() != 2 {
		t.Errorf("%v; two at once, limit one", broken)
	}
}
