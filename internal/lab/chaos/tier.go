package chaos

// This file runs a tier of real broker processes before simulated nodes: it writes their files, connects them through the mesh,
// and restarts a broker after a planned stop. It must never stop a broker by itself.

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
	Program string // path of the broker's executable
	Brokers int
	Voters  int // the first brokers are the voters
	Nodes   int
	Cells   int
	Seed    uint64
	Lease   time.Duration
	Fleet   map[string]any // further keys of the operators' file, under "fleet"
	Zones   []string       // of the brokers, in turn; empty: one zone
}

// Broker is one broker process of a tier.
type Broker struct {
	*Process
	Index          int
	URL            string
	PeerAddr       string // where it listens for other brokers
	Version        string // release version of its next run
	Config         string
	OperatorFile   string         // path of its operators' file
	FleetOverrides map[string]any // keys of its own under "fleet", which override Options.Fleet
}

// Tier is a set of brokers with nodes and discovery. All but the brokers are simulated.
type Tier struct {
	*lab.Fleet
	Brokers     []*Broker
	Mesh        *Mesh
	CommandFile string // operators' file for commands
	Monitor     *Monitor

	options        Options
	dir            string
	operatorKeys   *keys.Keyring // for requests to the voters
	mu             sync.Mutex
	prepareRestart func(b *Broker) error // prepares the run after a planned stop; nil: no restarts
	closed         bool
}

// NewTier writes all files and starts nodes and discovery, but no broker.
func NewTier(dir string, options Options) (*Tier, error) {
	f, err := lab.NewFleet(dir, options.Nodes, options.Cells, options.Seed)
	if err != nil {
		return nil, err
	}
	t := &Tier{Fleet: f, options: options, dir: dir}
	if err := f.Discovery.Up("127.0.0.1:0"); err != nil {
		return nil, err
	}
	authority := filepath.Join(dir, "authority")
	if err := keys.NewAuthority(authority, "tier", 24*time.Hour, time.Now()); err != nil {
		return nil, err
	}
	var agrees []string
	for i := range options.Brokers {
		b := &Broker{Index: i, Version: "v1"}
		name := fmt.Sprintf("b%d", i)
		listen, err := lab.FreeAddr()
		if err == nil {
			b.PeerAddr, err = lab.FreeAddr()
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
		b.URL, b.OperatorFile = "http://"+listen, filepath.Join(dir, name+".operator.json5")
		args := []string{"serve", "--config", b.Config, "--operator", b.OperatorFile}
		b.Process = NewProcess(name, filepath.Join(dir, name+".log"), options.Program, args, nil, func(l ProcessRun) { t.restartAfterStop(b, l) })
		t.Brokers, agrees = append(t.Brokers, b), append(agrees, b.PeerAddr)
	}
	if t.Mesh, err = NewMesh(agrees, options.Seed); err != nil {
		return nil, err
	}
	_, err = keys.Issue(authority, filepath.Join(dir, "keys", "operator"), keys.ID{Site: "here", Broker: "operator"}, 24*time.Hour, time.Now())
	if err == nil {
		t.operatorKeys, err = keys.Open(filepath.Join(dir, "keys", "operator"))
	}
	if err == nil {
		t.CommandFile, err = t.writeOperatorFile("operator", -1, "")
	}
	t.Monitor = newMonitor(t)
	return t, err
}

// writeOperatorFile writes the operators' file of a broker, which dials the others through its own relays; self -1 is for an
// operator.
func (t *Tier) writeOperatorFile(name string, self int, version string) (string, error) {
	var voters []string
	for i := range t.options.Voters {
		at := t.Brokers[i].PeerAddr
		if self >= 0 && i != self {
			at = t.Mesh.Addr(self, i)
		}
		voters = append(voters, fmt.Sprintf("b%d=%s", i, at))
	}
	fleet := map[string]any{"voters": voters, "keys": filepath.Join(t.dir, "keys", name), "lease": t.options.Lease.String()}
	if self >= 0 {
		fleet["listen"], fleet["slot"], fleet["release_version"] = t.Brokers[self].PeerAddr, self, version
		if self < t.options.Voters {
			fleet["directory"] = filepath.Join(t.dir, "agreed", name)
		}
		if len(t.options.Zones) > 0 {
			fleet["zone"] = t.options.Zones[self%len(t.options.Zones)]
		}
		maps.Copy(fleet, t.options.Fleet)
		maps.Copy(fleet, t.Brokers[self].FleetOverrides)
	}
	b, err := json.MarshalIndent(map[string]any{"fleet": fleet}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(t.dir, name+".operator.json5")
	return path, os.WriteFile(path, b, 0o600)
}

// Start starts a run of a broker with its current release version.
func (t *Tier) Start(b *Broker) error {
	if _, err := t.writeOperatorFile(b.Name, b.Index, b.Version); err != nil {
		return err
	}
	return b.Process.Start()
}

// InitLog initializes a voter's replicated log, as an operator does once.
func (t *Tier) InitLog(b *Broker) error {
	file, err := t.writeOperatorFile(b.Name, b.Index, b.Version)
	if err != nil {
		return err
	}
	if out, err := exec.Command(t.options.Program, "fleet", "begin", "--operator", file).CombinedOutput(); err != nil {
		return fmt.Errorf("initialize log of %s: %w: %s", b.Name, err, out)
	}
	return nil
}

// StartAll initializes the voters' logs, starts all brokers and waits until they serve.
func (t *Tier) StartAll(within time.Duration) error {
	for _, b := range t.Brokers[:t.options.Voters] {
		if err := t.InitLog(b); err != nil {
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
			if serves, _ := b.Serving(); serves {
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

// Supervise restarts each broker after a planned stop. prepare is called before each restart and may change the broker's version and
// files for the next run. If it returns an error, the broker is not restarted.
func (t *Tier) Supervise(prepare func(b *Broker) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepareRestart = prepare
}

func (t *Tier) restartAfterStop(b *Broker, l ProcessRun) {
	t.mu.Lock()
	prepareRestart, closed := t.prepareRestart, t.closed
	t.mu.Unlock()
	if closed || prepareRestart == nil || l.Status != 0 {
		return
	}
	if err := prepareRestart(b); err == nil {
		t.Start(b)
	}
}

var probeClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Serving reports whether a broker says that it serves. said is false if the broker neither answered nor refused the connection:
// then nothing is known.
func (b *Broker) Serving() (up, said bool) {
	resp, err := probeClient.Get(b.URL + "/up")
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, true
}

// Close stops the monitor and ends all processes, relays and nodes.
func (t *Tier) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Monitor.Close()
	for _, b := range t.Brokers {
		b.Close()
	}
	t.Mesh.Close()
	t.Fleet.Close()
}
