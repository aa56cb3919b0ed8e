package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	InstanceID string  `json:"instanceId"`
	HostPort   string  `json:"hostPort"`
	Zone       string  `json:"zone"`
	Machine    string  `json:"machineType"`
	Cell       int     `json:"cell"`
	Lifecycle  string  `json:"lifecycle"`
	Weight     float64 `json:"weight"`
	StartedAt  int64   `json:"startedAtMs"`
}

// Discovery is the service that tells brokers of the nodes.
type Discovery struct {
	Addr string

	run        *Run
	listener   net.Listener
	server     *http.Server
	mu         sync.Mutex
	oldest     uint64 // generation from which changes are known
	generation uint64
	list       []Instance
	changes    []change
	changed    chan struct{}
}

// change is an entry that changed with a generation of the list.
type change struct {
	generation uint64
	entry      Instance
}

// ListOf returns the list's entries for nodes that are in service, in a zone.
func ListOf(zone string, nodes ...*Node) (list []Instance) {
	for _, n := range nodes {
		list = append(list, Instance{InstanceID: n.Name, HostPort: n.Addr, Zone: zone, Machine: "small-2c", Cell: n.Cell,
			Lifecycle: "in_service", Weight: 1})
	}
	return list
}

// StartDiscovery starts a discovery service with a list.
func (r *Run) StartDiscovery(list []Instance) *Discovery {
	return r.StartDiscoveryAt(list, FirstGeneration)
}

// FirstGeneration is the usual generation of a list that has not changed yet.
const FirstGeneration = 41

// StartDiscoveryAt starts a discovery service with a list of a generation.
func (r *Run) StartDiscoveryAt(list []Instance, generation uint64) *Discovery {
	d := &Discovery{run: r, Addr: FreeAddr(), oldest: generation, generation: generation, list: slices.Clone(list), changed: make(chan struct{})}
	d.Up()
	return d
}

// Up lets discovery listen.
func (d *Discovery) Up() {
	l, err := net.Listen("tcp", d.Addr)
	Must(err)
	d.listener = l
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(l)
}

// Down ends discovery's process, with all its connections.
func (d *Discovery) Down() { d.server.Close() }

// SetLifecycle changes the state of some nodes.
func (d *Discovery) SetLifecycle(lifecycle string, nodes ...*Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, n := range nodes {
		i := slices.IndexFunc(d.list, func(e Instance) bool { return e.InstanceID == n.Name })
		d.list[i].Lifecycle = lifecycle
		d.changes = append(d.changes, change{d.generation, d.list[i]})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// document is a list as discovery writes it.
type document struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// since returns what changed since a generation, or the whole list if that is not known.
func (d *Discovery) since(generation uint64, known bool) document {
	if !known || generation < d.oldest || generation > d.generation {
		return document{d.generation, true, d.list}
	}
	out := document{d.generation, false, []Instance{}}
	for _, c := range d.changes {
		if c.generation > generation {
			out.Instances = append(out.Instances, c.entry)
		}
	}
	return out
}

// longestWatch is the longest time that a watch waits.
const longestWatch = 60000

func (d *Discovery) handle(w http.ResponseWriter, q *http.Request) {
	index, err := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	d.mu.Lock()
	current := err == nil && index == d.generation
	changed := d.changed
	d.mu.Unlock()
	if current && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, longestWatch)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	d.mu.Lock()
	answer := d.since(index, err == nil)
	d.mu.Unlock()
	b, _ := json.Marshal(answer)
	d.run.Note("discovery %s: answers %s with generation %d, whole %v, %d entries, %d bytes", d.Addr, q.URL, answer.Generation, answer.Reset,
		len(answer.Instances), len(b))
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

// Leave ends a service that brokers have been moved away from: it accepts no new connection, and closes the open ones after a while.
func (d *Discovery) Leave(after time.Duration) {
	d.listener.Close()
	time.AfterFunc(after, func() { d.server.Close() })
}
