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

// Life is one process of a broker, from its start to its end.
type Life struct {
	Began, Ended time.Time // Ended is zero while it lives
	Asked        time.Time // when it was asked to end, or ended by itself with status 0
	Status       int       // its exit status; -1: a signal ended it
}

// Process is one broker's program, started anew as often as its supervisor is told to.
type Process struct {
	Name string
	Log  string // file of its output, all lives one after another

	path string
	args []string
	env  []string
	mu   sync.Mutex
	cmd  *exec.Cmd
	over chan struct{} // closed at the end of the present life
	held bool          // stopped by SIGSTOP
	dead bool          // killed
	hits int           // faults so far
	past []Life
	ends func(Life)
}

// NewProcess names a program; nothing is started. ends hears of the end of each life, in a goroutine of its own; nil: nobody.
func NewProcess(name, log, path string, args, env []string, ends func(Life)) *Process {
	return &Process{Name: name, Log: log, path: path, args: args, env: env, ends: ends}
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
	cmd.Stderr = piped{out}                                            // not the file itself, which a limit on files would take from it
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives the test
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	p.cmd, p.held, p.dead, p.over = cmd, false, false, make(chan struct{})
	p.past = append(p.past, Life{Began: time.Now()})
	go p.wait(cmd, p.over, out)
	return nil
}

// piped hides that a writer is a file.
type piped struct{ io.Writer }

func (p *Process) wait(cmd *exec.Cmd, over chan struct{}, out io.Closer) {
	err := cmd.Wait() // from here on os.Process refuses signals, so that none can reach another process by this one's number
	out.Close()
	p.mu.Lock()
	life := &p.past[len(p.past)-1]
	life.Ended = time.Now()
	if life.Status = cmd.ProcessState.ExitCode(); err == nil && life.Asked.IsZero() {
		life.Asked = life.Ended
	}
	p.cmd = nil
	ended := *life
	p.mu.Unlock()
	close(over)
	if p.ends != nil {
		go p.ends(ended)
	}
}

func (p *Process) signal(s syscall.Signal) bool {
	if p.cmd == nil {
		return false
	}
	return p.cmd.Process.Signal(s) == nil
}

// Term asks for a planned stop.
func (p *Process) Term() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.past[len(p.past)-1].Asked.IsZero() {
		p.past[len(p.past)-1].Asked = time.Now()
	}
	return p.signal(syscall.SIGTERM)
}

// Kill ends the process at once.
func (p *Process) Kill() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead, p.hits = true, p.hits+1
	return p.signal(syscall.SIGKILL)
}

// Freeze stops the process, as a machine that swaps or a hypervisor that moves it does; Thaw lets it go on as if nothing had been.
func (p *Process) Freeze() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hits++
	p.held = p.signal(syscall.SIGSTOP)
	return p.held
}

// Thaw continues a process that was stopped.
func (p *Process) Thaw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = false
	return p.signal(syscall.SIGCONT)
}

// Held tells whether the process is stopped by Freeze.
func (p *Process) Held() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Hit tells how often a fault was put into the process, and whether it goes on as if there had been none.
func (p *Process) Hit() (times int, well bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hits, p.cmd != nil && !p.held && !p.dead
}

// Limit bounds what the process may write into any file, counted from its start: beyond it writes fail, as on a full disk.
func (p *Process) Limit(bytes uint64) error {
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

// Over waits for the end of the present life; false: it has not come in time.
func (p *Process) Over(within time.Duration) bool {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over == nil {
		return true
	}
	select {
	case <-over:
		return true
	case <-time.After(within):
		return false
	}
}

// Lives are all lives so far.
func (p *Process) Lives() []Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Life(nil), p.past...)
}

// Close ends the process for good.
func (p *Process) Close() {
	p.Thaw()
	p.Kill()
	p.Over(5 * time.Second)
}
