package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Broker is one process of the project's broker, started as the deploy file says.
type Broker struct {
	Name, Listen, Log string
	ConfigFile        string

	run  *Run
	cmd  *exec.Cmd
	once sync.Once
	done chan struct{}
	err  error
}

// Config is what a broker is told.
type Config struct {
	Name      string
	Discovery string
	Settings  map[string]any
	Operator  string // the operators' file; empty: none
	Sockets   int    // the limit of file descriptors, which the platform sets; 0: 1,024
	MemoryMB  int    // the limit of memory; 0: 192
	Cores     float64
	Extra     map[string]any
}

const (
	usualSockets  = 1024
	usualMemoryMB = 192
)

const readyWithin = 30 * time.Second

// StartBroker starts a broker and waits until it is ready.
func (r *Run) StartBroker(c *Config) *Broker {
	b := &Broker{Name: c.Name, Listen: FreeAddr(), Log: filepath.Join(r.Dir, c.Name+".log"), ConfigFile: filepath.Join(r.Dir, c.Name+".json"),
		run: r, done: make(chan struct{})}
	b.WriteConfig(c)
	env := append(os.Environ(), "RELAY_NAME="+c.Name, "RELAY_LISTEN="+b.Listen, "RELAY_DISCOVERY="+c.Discovery, "RELAY_CONFIG="+b.ConfigFile)
	if c.Operator != "" {
		file := filepath.Join(r.Dir, c.Name+".json5")
		Must(os.WriteFile(file, []byte(c.Operator), 0o600))
		env = append(env, "FLAXFRONT_OPERATOR="+file)
	}
	log, err := os.Create(b.Log)
	Must(err)
	b.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && %s", cmp.Or(c.Sockets, usualSockets), deployed("run")))
	b.cmd.Env, b.cmd.Stdout, b.cmd.Stderr = env, log, log
	Must(b.cmd.Start())
	log.Close()
	r.mu.Lock()
	r.brokers = append(r.brokers, b)
	r.mu.Unlock()
	go func() {
		b.err = b.cmd.Wait()
		close(b.done)
	}()
	Check(Wait(readyWithin, b.ready), "broker %s is not ready: %s", c.Name, b.tail())
	r.Note("broker %s serves at %s", c.Name, b.Listen)
	return b
}

// WriteConfig replaces the broker's configuration file.
func (b *Broker) WriteConfig(c *Config) {
	start := map[string]any{
		"name": c.Name, "listen": b.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": cmp.Or(c.Cores, 1), "memory_mb": cmp.Or(c.MemoryMB, usualMemoryMB), "sockets": cmp.Or(c.Sockets, usualSockets)},
		"settings": c.Settings,
	}
	for k, v := range c.Extra {
		start[k] = v
	}
	text, err := json.MarshalIndent(start, "", " ")
	Must(err)
	Must(os.WriteFile(b.ConfigFile+".new", text, 0o600))
	Must(os.Rename(b.ConfigFile+".new", b.ConfigFile))
}

// deployed returns a command of the deploy file.
func deployed(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	Must(err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, key+" = "); ok {
			return strings.Trim(value, `"`)
		}
	}
	Check(false, "the deploy file has no %s", key)
	return ""
}

// Command runs one of the project's commands and returns what it prints.
func Command(args ...string) {
	out, err := exec.Command("bin/flaxfront", args...).CombinedOutput()
	Check(err == nil, "flaxfront %v: %v: %s", args, err, out)
}

func (b *Broker) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.Listen + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tail returns the end of the broker's log.
func (b *Broker) tail() string {
	const most = 600
	text, _ := os.ReadFile(b.Log)
	return string(text[max(0, len(text)-most):])
}

// LogText returns the broker's log.
func (b *Broker) LogText() string {
	text, _ := os.ReadFile(b.Log)
	return string(text)
}

// Signal sends a signal to the broker.
func (b *Broker) Signal(s syscall.Signal) {
	b.run.Note("broker %s gets %v", b.Name, s)
	b.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (b *Broker) Ended() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// Kill ends the process.
func (b *Broker) Kill() {
	b.once.Do(func() {
		if !b.Ended() {
			b.cmd.Process.Signal(syscall.SIGCONT)
			b.cmd.Process.Kill()
			<-b.done
		}
	})
}
