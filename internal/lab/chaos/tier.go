package chaos

// This file owns a tier of real processes before simulated nodes: its files, its links through the mesh, and the supervisor that
// starts a broker anew when it has ended as planned. It must never end a broker by itself.

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"flaxfront/internal/lab"
	"flaxfront/internal/transport/keys"
)

// Options describe a tier.
type Options struct {
	Program string // path of the program
	Brokers int
	Voters  int // the first of them
	Nodes   int
	Cells   int
	Seed    uint64
	Lease   time.Duration
	Fleet   map[string]any // further keys of the operators' file, under "fleet"
	Zones   []string       // of the brokers, in turn; empty: one
}

// Broker is one process of a tier.
type Broker struct {
	*Process
	Index   int
	URL     string
	Agrees  string // where it listens for other brokers
	Version string // release that its next life runs
	Config  string
	File    string         // operators' file
	Own     map[string]any // further keys of its own, under "fleet"
}

// Tier is brokers, nodes and discovery. All but the brokers are simulated.
type Tier struct {
	*lab.Fleet
	Brokers []*Broker
	Mesh    *Mesh
	Operate string // operators' file of whoever gives commands
	Watch   *Watch

	o    Options
	dir  string
	ring *keys.Keyring // of the operator
	mu   sync.Mutex
	next func(b *Broker) error // prepares the life after a planned stop; nil: the same again
	off  bool
}

// NewTier writes all files and starts nodes and discovery; no broker is started.
func NewTier(dir string, o Options) (*Tier, error) {
	f, err := lab.NewFleet(dir, o.Nodes, o.Cells, o.Seed)
	if err != nil {
		return nil, err
	}
	t := &Tier{Fleet: f, o: o, dir: dir}
	if err := f.Discovery.Up("127.0.0.1:0"); err != nil {
		return nil, err
	}
	authority := filepath.Join(dir, "authority")
	if err := keys.NewAuthority(authority, "tier", 24*time.Hour, time.Now()); err != nil {
		return nil, err
	}
	var agrees []string
	for i := range o.Brokers {
		b := &Broker{Index: i, Version: "v1"}
		name := fmt.Sprintf("b%d", i)
		listen, err := lab.FreeAddr()
		if err == nil {
			b.Agrees, err = lab.FreeAddr()
		}
		if err == nil {
			_, err = keys.Issue(authority, filepath.Join(dir, "keys", name), keys.ID{Site: "here", Broker: name}, 24*time.Hour, time.Now())
		}
		if err == nil {
			b.Config, err = f.Config(name, listen, f.Discovery.Addr(), true)
		}
		if err != nil {
			return nil, err
		}
		b.URL, b.File = "http://"+listen, filepath.Join(dir, name+".operator.json5")
		args := []string{"serve", "--config", b.Config, "--operator", b.File}
		b.Process = NewProcess(name, filepath.Join(dir, name+".log"), o.Program, args, nil, func(l Life) { t.ended(b, l) })
		t.Brokers, agrees = append(t.Brokers, b), append(agrees, b.Agrees)
	}
	if t.Mesh, err = NewMesh(agrees, o.Seed); err != nil {
		return nil, err
	}
	_, err = keys.Issue(authority, filepath.Join(dir, "keys", "operator"), keys.ID{Site: "here", Broker: "operator"}, 24*time.Hour, time.Now())
	if err == nil {
		t.ring, err = keys.Open(filepath.Join(dir, "keys", "operator"))
	}
	if err == nil {
		t.Operate, err = t.write("operator", -1, "")
	}
	t.Watch = newWatch(t)
	return t, err
}

// write writes the operators' file of a broker. It dials the others through its own relays.
func (t *Tier) write(name string, self int, version string) (string, error) {
	var voters []string
	for i := range t.o.Voters {
		at := t.Brokers[i].Agrees
		if self >= 0 && i != self {
			at = t.Mesh.Addr(self, i)
		}
		voters = append(voters, fmt.Sprintf("b%d=%s", i, at))
	}
	fleet := map[string]any{"voters": voters, "keys": filepath.Join(t.dir, "keys", name), "lease": t.o.Lease.String()}
	if self >= 0 {
		fleet["listen"], fleet["slot"], fleet["release_version"] = t.Brokers[self].Agrees, self, version
		if self < t.o.Voters {
			fleet["directory"] = filepath.Join(t.dir, "agreed", name)
		}
		if len(t.o.Zones) > 0 {
			fleet["zone"] = t.o.Zones[self%len(t.o.Zones)]
		}
		maps.Copy(fleet, t.o.Fleet)
		maps.Copy(fleet, t.Brokers[self].Own)
	}
	b, err := json.MarshalIndent(map[string]any{"fleet": fleet}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(t.dir, name+".operator.json5")
	return path, os.WriteFile(path, b, 0o600)
}

// Start starts a life of a broker as the release that it is to run.
func (t *Tier) Start(b *Broker) error {
	if _, err := t.write(b.Name, b.Index, b.Version); err != nil {
		return err
	}
	return b.Process.Start()
}

// Begin begins a voter's log, as an operator does once in its life.
func (t *Tier) Begin(b *Broker) error {
	file, err := t.write(b.Name, b.Index, b.Version)
	if err != nil {
		return err
	}
	if out, err := exec.Command(t.o.Program, "fleet", "begin", "--operator", file).CombinedOutput(); err != nil {
		return fmt.Errorf("log of %s: %w: %s", b.Name, err, out)
	}
	return nil
}

// StartAll begins the voters' logs, starts all brokers and waits until they serve.
func (t *Tier) StartAll(within time.Duration) error {
	for _, b := range t.Brokers[:t.o.Voters] {
		if err := t.Begin(b); err != nil {
			return err
		}
	}
	for _, b := range t.Brokers {
		if err := t.Start(b); err != nil {
			return err
		}
	}
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		up := 0
		for _, b := range t.Brokers {
			if serves, _ := b.Up(); serves {
				up++
			}
		}
		if up == len(t.Brokers) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d brokers serve after %v", up, len(t.Brokers), within)
		}
	}
}

// Supervise has whatever ended as planned started again, after prepare has changed what its next life is to run.
func (t *Tier) Supervise(prepare func(b *Broker) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = prepare
}

func (t *Tier) ended(b *Broker, l Life) {
	t.mu.Lock()
	next, off := t.next, t.off
	t.mu.Unlock()
	if off || next == nil || l.Status != 0 {
		return
	}
	if err := next(b); err == nil {
		t.Start(b)
	}
}

var quick = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Up tells whether a broker says that it serves. said is false where it says nothing in time, which tells nothing.
func (b *Broker) Up() (up, said bool) {
	resp, err := quick.Get(b.URL + "/up")
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, true
}

// Close ends everything.
func (t *Tier) Close() {
	t.mu.Lock()
	t.off = true
	t.mu.Unlock()
	t.Watch.Close()
	for _, b := range t.Brokers {
		b.Close()
	}
	t.Mesh.Close()
	t.Fleet.Close()
}
