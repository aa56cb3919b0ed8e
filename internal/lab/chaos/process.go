package chaos

// This file owns processes: started, watched, told to end, killed, stopped and continued. It must never signal a process that has
// been waited for, as its number may be another's by then.

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

// ProcessRun is one process of a broker, from its start to its end.
type ProcessRun struct {
	StartedAt, EndedAt time.Time // Ended is zero while it lives
	StopRequestedAt    time.Time // when it was asked to end, or ended by itself with status 0
	Status             int       // its exit status; -1: a signal ended it
}

// Process is one broker's program, started anew as often as its supervisor is told to.
type Process struct {
	Name string
	Log  string // file of its output, all lives one after another

	path       string
	args       []string
	env        []string
	mu         sync.Mutex
	cmd        *exec.Cmd
	endOfRun   chan struct{} // closed at the end of the present life
	stopped    bool          // stopped by SIGSTOP
	killed     bool          // killed
	faultCount int           // faults so far
	history    []ProcessRun
	onEnd      func(ProcessRun)
}

// NewProcess names a program; nothing is started. ends hears of the end of each life, in a goroutine of its own; nil: nobody.
func NewProcess(name, log, path string, args, env []string, onEnd func(ProcessRun)) *Process {
	return &Process{Name: name, Log: log, path: path, args: args, env: env, onEnd: onEnd}
}

// Start starts a life. env adds to the environment of the process.
func (p *Process) Start(env ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is running", p.Name)
	}
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(append(os.Environ(), p.env...), env...)
	cmd.Stderr = plainWriter{out}                                      // not the file itself, which a limit on files would take from it
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the test
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.cmd, p.stopped, p.killed, p.endOfRun = cmd, false, false, make(chan struct{})
	p.history = append(p.history, ProcessRun{StartedAt: time.Now()})
	go p.wait(cmd, p.endOfRun, out)
	return nil
}

// plainWriter hides that a writer is a file.
type plainWriter struct{ io.Writer }

func (p *Process) wait(cmd *exec.Cmd, over chan struct{}, out io.Closer) {
	err := cmd.Wait() // from here on os.Process refuses signals, so that none can reach another process by this one's number
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

// Terminate asks for a planned stop.
func (p *Process) Terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.history[len(p.history)-1].StopRequestedAt.IsZero() {
		p.history[len(p.history)-1].StopRequestedAt = time.Now()
	}
	return p.signal(syscall.SIGTERM)
}

// Kill ends the process at once.
func (p *Process) Kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.faultCount = true, p.faultCount+1
	return p.signal(syscall.SIGKILL)
}

// Pause stops the process, as a machine that swaps or a hypervisor that moves it does; Thaw lets it go on as if nothing had been.
func (p *Process) Pause() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultCount++
	p.stopped = p.signal(syscall.SIGSTOP)
	return p.stopped
}

// Resume continues a process that was stopped.
func (p *Process) Resume() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	return p.signal(syscall.SIGCONT)
}

// Paused tells whether the process is stopped by Freeze.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// Faults tells how often a fault was put into the process, and whether it goes on as if there had been none.
func (p *Process) Faults() (times int, well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultCount, p.cmd != nil && !p.stopped && !p.killed
}

// LimitFileSize bounds what the process may write into any file, counted from its start: beyond it writes fail, as on a full disk.
func (p *Process) LimitFileSize(bytes uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.Name)
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil)
}

// Running tells whether a life is going on, stopped or not.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// WaitForEnd waits for the end of the present life; false: it has not come in time.
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

// Runs are all lives so far.
func (p *Process) Runs() []ProcessRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ProcessRun(nil), p.history...)
}

// Close ends the process for good.
func (p *Process) Close() {
	p.Resume()
	p.Kill()
	p.WaitForEnd(5 * time.Second)
}
