package chaos

// This file starts, watches, terminates, kills, pauses and resumes processes. It must never signal a process that has been waited
// for: its process id may belong to another process by then.

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessRun is one run of a broker's process, from start to exit.
type ProcessRun struct {
	StartedAt, EndedAt time.Time // EndedAt is zero while the process runs
	StopRequestedAt    time.Time // when it was asked to stop, or exited by itself with status 0
	Status             int       // exit status; -1: ended by a signal
}

// Process is a broker's program, which its supervisor may start again any number of times.
type Process struct {
	Name string
	Log  string // file with the output of all runs

	path       string
	args       []string
	env        []string
	mu         sync.Mutex
	cmd        *exec.Cmd
	endOfRun   chan struct{} // closed when the current run ends
	stopped    bool          // by SIGSTOP
	killed     bool
	faultCount int // faults injected so far
	history    []ProcessRun
	onEnd      func(ProcessRun)
}

// NewProcess describes a process without starting it. onEnd is called at the end of each run, in a goroutine of its own; nil: not
// called.
func NewProcess(name, log, path string, args, env []string, onEnd func(ProcessRun)) *Process {
	return &Process{Name: name, Log: log, path: path, args: args, env: env, onEnd: onEnd}
}

// Start starts a run. env adds to the environment of the process.
func (p *Process) Start(env ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("start %s: it is already running", p.Name)
	}
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(append(os.Environ(), p.env...), env...)
	cmd.Stderr = plainWriter{out}                                      // not the file itself: RLIMIT_FSIZE would apply to it
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // so that it never outlives the test
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.cmd, p.stopped, p.killed, p.endOfRun = cmd, false, false, make(chan struct{})
	p.history = append(p.history, ProcessRun{StartedAt: time.Now()})
	go p.wait(cmd, p.endOfRun, out)
	return nil
}

// plainWriter hides that a writer is a file, so that the process gets a pipe.
type plainWriter struct{ io.Writer }

func (p *Process) wait(cmd *exec.Cmd, over chan struct{}, out io.Closer) {
	err := cmd.Wait() // from here on os.Process refuses signals, so that none can hit another process with the same id
	out.Close()
	p.mu.Lock()
	life := &p.history[len(p.history)-1]
	life.EndedAt = time.Now()
	if life.Status = cmd.ProcessState.ExitCode(); err == nil && life.StopRequestedAt.IsZero() {
		life.StopRequestedAt = life.EndedAt
	}
	p.cmd = nil
	ended := *life
	p.mu.Unlock()
	close(over)
	if p.onEnd != nil {
		go p.onEnd(ended)
	}
}

func (p *Process) signal(s syscall.Signal) bool {
	if p.cmd == nil {
		return false
	}
	return p.cmd.Process.Signal(s) == nil
}

// Terminate asks the process for a planned stop (SIGTERM).
func (p *Process) Terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.history[len(p.history)-1].StopRequestedAt.IsZero() {
		p.history[len(p.history)-1].StopRequestedAt = time.Now()
	}
	return p.signal(syscall.SIGTERM)
}

// Kill ends the process at once (SIGKILL).
func (p *Process) Kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.faultCount = true, p.faultCount+1
	return p.signal(syscall.SIGKILL)
}

// Pause stops the process (SIGSTOP), as a machine that swaps or a migrating hypervisor does, until Resume.
func (p *Process) Pause() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultCount++
	p.stopped = p.signal(syscall.SIGSTOP)
	return p.stopped
}

// Resume continues a paused process.
func (p *Process) Resume() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	return p.signal(syscall.SIGCONT)
}

// Paused reports whether the process is stopped by Pause.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Faults returns how many faults were injected into the process, and whether it runs, neither paused nor killed.
func (p *Process) Faults() (times int, well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultCount, p.cmd != nil && !p.stopped && !p.killed
}

// LimitFileSize limits the size of any file that the process writes (RLIMIT_FSIZE): writes beyond it fail, as on a full disk.
func (p *Process) LimitFileSize(bytes uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("limit file size of %s: it is not running", p.Name)
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
}

// Running reports whether a run is going on, paused or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// WaitForEnd waits for the end of the current run and reports whether it came in time.
func (p *Process) WaitForEnd(within time.Duration) bool {
	p.mu.Lock()
	endOfRun := p.endOfRun
	p.mu.Unlock()
	if endOfRun == nil {
		return true
	}
	select {
	case <-endOfRun:
		return true
	case <-time.After(within):
		return false
	}
}

// Runs returns all runs so far.
func (p *Process) Runs() []ProcessRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ProcessRun(nil), p.history...)
}

// Close kills the process and waits for its end.
func (p *Process) Close() {
	p.Resume()
	p.Kill()
	p.WaitForEnd(5 * time.Second)
}

// PID returns the process id of the current run, or 0 if there is none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}
