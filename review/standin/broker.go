package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Broker is one broker, which runs as a process by the command of the deploy file.
type Broker struct {
	Name    string
	Listen  string
	LogFile string // everything that its processes wrote, over all starts
	run     *Run
	env     []string
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	state   string // how the process ended
	asked   bool   // the case ended it
}

// NewBroker writes the configuration of a broker, and the operators' file unless it is empty. It starts nothing.
func (r *Run) NewBroker(name string, config map[string]any, operators string) (*Broker, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	home := filepath.Join(r.Dir, name)
	if err := os.MkdirAll(home, 0o700); err != nil {
		return nil, err
	}
	listen, _ := config["listen"].(string)
	discovery, _ := config["discovery"].(string)
	b := &Broker{Name: name, Listen: listen, LogFile: filepath.Join(r.Dir, name+".log"), run: r}
	b.env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+discovery, "RELAY_CONFIG="+path, "TMPDIR="+home)
	if operators != "" {
		file := filepath.Join(r.Dir, name+".json5")
		if err := os.WriteFile(file, []byte(operators), 0o600); err != nil {
			return nil, err
		}
		b.env = append(b.env, "FLAXFRONT_OPERATOR="+file)
	}
	r.brokers = append(r.brokers, b)
	return b, nil
}

var runLine = regexp.MustCompile(`(?m)^run = (".*")$`)

// deployCommand returns the command by which the deploy file starts a broker.
func deployCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml: no line run = \"...\"")
	}
	return strconv.Unquote(string(m[1]))
}

// Start starts the broker's process and waits until GET /up answers 200.
func (b *Broker) Start() error {
	command, err := deployCommand(b.run.Root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(b.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command("/bin/sh", "-c", command)
	p.Dir, p.Env, p.Stdout, p.Stderr = b.run.Root, b.env, log, log
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.mu.Lock()
	b.process, b.ended, b.asked, b.state = p, ended, false, ""
	b.mu.Unlock()
	b.run.Write("broker %s started, process %d", b.Name, p.Process.Pid)
	go func() {
		p.Wait()
		b.mu.Lock()
		b.state = p.ProcessState.String()
		b.run.Write("broker %s ended: %s; the case ended it: %v", b.Name, b.state, b.asked)
		b.mu.Unlock()
		close(ended)
	}()
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + b.Listen + "/up")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				b.run.Write("broker %s is ready", b.Name)
				return nil
			}
		}
	}
	return fmt.Errorf("broker %s is not ready after 15 s:\n%s", b.Name, b.Log())
}

// Signal sends a signal to the broker's process; SIGKILL and SIGTERM count as ended by the case.
func (b *Broker) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == nil || b.state != "" {
		return
	}
	b.asked = b.asked || s == syscall.SIGKILL || s == syscall.SIGTERM
	b.run.Write("broker %s gets %v", b.Name, s)
	b.process.Process.Signal(s)
}

// Crashed reports whether the broker's process ended by itself, and how.
func (b *Broker) Crashed() (how string, crashed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, b.state != "" && !b.asked
}

// Kill kills the process and waits for its end.
func (b *Broker) Kill() {
	b.Signal(syscall.SIGKILL)
	if b.ended != nil {
		<-b.ended
	}
}

// Log returns what the broker's processes wrote.
func (b *Broker) Log() string {
	text, _ := os.ReadFile(b.LogFile)
	return string(text)
}

// LogLines returns the lines of the log that contain a text.
func (b *Broker) LogLines(text string) (lines []string) {
	for line := range strings.SplitSeq(b.Log(), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

func (r *Run) endBrokers() {
	for _, b := range r.brokers {
		b.Kill()
	}
}
