package lab

// This file sets up a small site on loopback: nodes, discovery and the configuration of the brokers before them.

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Fleet is a set of nodes and the discovery that lists them.
type Fleet struct {
	Nodes     []*Node
	Discovery *Discovery
	List      []Instance
	Cells     int
	Dir       string // directory of the brokers' configuration files
}

// NewFleet starts nodes spread over the cells, and a discovery that lists them but does not listen until Up.
func NewFleet(dir string, nodes, cells int, seed uint64) (*Fleet, error) {
	f := &Fleet{Discovery: NewDiscovery(40), Cells: cells, Dir: dir}
	warm := WarmUpParams{InitialCapacity: 0.3, RampTime: 12 * time.Second, OverloadMultiple: 2, For: 2 * time.Second}
	began := time.Now()
	for i := range nodes {
		name := fmt.Sprintf("node-%08x", i)
		n, err := StartNode("127.0.0.1:0", NewNodeModel(name, i%cells, 2, 5*time.Millisecond, warm, seed+uint64(i)), cells, began)
		if err != nil {
			return nil, err
		}
		f.Nodes = append(f.Nodes, n)
		f.List = append(f.List, Instance{name, n.Addr(), []string{"a", "b"}[i%2], i % cells, "in_service", 1, 0})
	}
	f.Discovery.SetList(f.List)
	return f, nil
}

// Settings returns the deployment settings for brokers of this fleet, as JSON.
func (f *Fleet) Settings() string {
	return fmt.Sprintf(`{"azs":["a","b"],"balancers":1,
 "classes":[{"aimNs":1000000000,"deadlineNs":2000000000,"effect":"read_like","name":"find"},
  {"aimNs":2000000000,"deadlineNs":4000000000,"effect":"read_like","name":"report"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"non_idempotent","name":"sign"},
  {"aimNs":1000000000,"deadlineNs":2000000000,"effect":"idempotency_key","name":"book","windowNs":1500000000}],
 "clients":{"marksRetry":true},"domain":{"cells":%d,"classFloor":[1,0.5,1,1],"partsACall":4,"slices":%d,"width":1},
 "permissions":{"cancel":true,"connIdleNs":30000000000,"connectTimeoutNs":250000000,"maxAttempts":4,"maxOpen":4096,
  "maxRetryAfterNs":2000000000,"multiplex":32,"retryAfter":true,"secondCopies":true},
 "realms":[{"name":"acme","portion":0.5},{"name":"quiet","portion":0.5}],"registryMode":"ask",
 "safety":{"askWithinNs":10000000000,"coldFrom":0.3,"drainGraceNs":500000000,"fallNs":2000000000,"tipMultiple":2,
  "warmAfterNs":12000000000},"stepNs":5000000}`, f.Cells, 2*f.Cells)
}

var freeAddrCount atomic.Uint32

// FreeAddr returns a free loopback address on an IP of its own, so that no other listener on this machine takes it in the
// meantime.
func FreeAddr() (string, error) {
	n := freeAddrCount.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n>>8&0xff, 1+n&0x7f))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Config writes a broker's configuration file and returns its path; known says whether the file contains the endpoint list.
func (f *Fleet) Config(name, listen, discovery string, known bool) (string, error) {
	c := map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": "1f",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(f.Settings())}
	if known {
		c["known"] = map[string]any{"generation": 41, "reset": true, "instances": f.List}
	}
	b, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.Dir, name+".json")
	return path, os.WriteFile(path, b, 0o600)
}

// Close stops discovery and all nodes.
func (f *Fleet) Close() {
	f.Discovery.Down()
	for _, n := range f.Nodes {
		n.SetMode(Dead)
	}
}

// SetMeanWork sets the mean service time of the nodes' shard requests.
func (f *Fleet) SetMeanWork(mean time.Duration) {
	for _, n := range f.Nodes {
		n.mu.Lock()
		n.model.MeanWork = mean
		n.mu.Unlock()
	}
}
