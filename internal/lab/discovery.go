package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// This file simulates discovery on a loopback socket. It can be down, silent, slow, out of date or at another address.

// Instance is an entry of discovery's endpoint list.
type Instance struct {
	InstanceID string  `json:"instanceId"`
	HostPort   string  `json:"hostPort"`
	Zone       string  `json:"zone"`
	Cell       int     `json:"cell"`
	Lifecycle  string  `json:"lifecycle"`
	Weight     float64 `json:"weight"`
	StartedAt  int64   `json:"startedAtMs"`
}

// Discovery simulates the service that provides the endpoint list.
type Discovery struct {
	Calls          atomic.Int64
	mu             sync.Mutex
	addr           string
	srv            *http.Server
	list           []Instance
	listGeneration uint64
	changed        chan struct{}
	silent         bool
	delay          time.Duration
}

// NewDiscovery returns a Discovery that does not listen yet.
func NewDiscovery(generation uint64) *Discovery {
	return &Discovery{listGeneration: generation, changed: make(chan struct{})}
}

// Up starts listening, at the previous address if there was one.
func (d *Discovery) Up(addr string) error {
	if d.addr != "" {
		addr = d.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	d.srv = &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: 5 * time.Second}
	go d.srv.Serve(ln)
	return nil
}

// Down closes the listener and all connections.
func (d *Discovery) Down() {
	if d.srv != nil {
		d.srv.Close()
		d.srv = nil
	}
}

// Addr returns the current or last listen address.
func (d *Discovery) Addr() string { return d.addr }

// SetFault makes discovery accept calls without answering, or answer them after a delay.
func (d *Discovery) SetFault(silent bool, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent, d.delay = silent, delay
}

// SetList replaces the endpoint list and wakes the watches.
func (d *Discovery) SetList(list []Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list, d.listGeneration = slices.Clone(list), d.listGeneration+1
	close(d.changed)
	d.changed = make(chan struct{})
}

// handle answers one call. Every change is sent as the whole list, which the protocol allows.
func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	d.Calls.Add(1)
	d.mu.Lock()
	silent, delay := d.silent, d.delay
	d.mu.Unlock()
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	if silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	d.mu.Lock()
	if changed := d.changed; watch && index >= d.listGeneration {
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	list := struct {
		Generation uint64     `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []Instance `json:"instances"`
	}{d.listGeneration, !watch || index != d.listGeneration, []Instance{}}
	if list.Reset {
		list.Instances = append(list.Instances, d.list...)
	}
	d.mu.Unlock()
	b, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}
