package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// The states of a node.
const (
	Ready    = "in_service"
	Draining = "terminating"
	Gone     = "terminated"
)

// Discovery is the service that holds the list of nodes. It tells each change as the protocol page says.
type Discovery struct {
	Address string
	Indent  bool // lists come indented
	record  *Record
	mu      sync.Mutex
	list    []Instance
	changed map[string]uint64 // by id: the version of its last change
	version uint64
	news    chan struct{} // closed at a change
}

// NewDiscovery starts a discovery service with a list.
func (r *Run) NewDiscovery(list []Instance) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), record: r.Record, version: 1, list: list, changed: map[string]uint64{}, news: make(chan struct{})}
	go http.Serve(listener, d)
	return d, nil
}

// List returns the list as it stands, in the form of a configuration's field known.
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answer(d.list, true)
}

func (d *Discovery) answer(list []Instance, whole bool) map[string]any {
	return map[string]any{"generation": d.version, "reset": whole, "instances": list}
}

// Change sets the state of a node and tells the watches.
func (d *Discovery) Change(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	list := make([]Instance, 0, len(d.list))
	for _, n := range d.list {
		if n.ID == id {
			n.Lifecycle = lifecycle
			d.changed[id] = d.version
		}
		list = append(list, n)
	}
	d.list = list
	d.record.Write("discovery: version %d: %s is %s", d.version, id, lifecycle)
	close(d.news)
	d.news = make(chan struct{})
}

// ServeHTTP answers a call: the whole list, or the changes since a version once there are some or the wait is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/discovery/hosts" {
		http.NotFound(w, q)
		return
	}
	since, err := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait"))
	end := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer end.Stop()
	for waiting := !whole; waiting; {
		d.mu.Lock()
		news, newer := d.news, d.version > since
		d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-news:
		case <-end.C:
			waiting = false
		case <-q.Context().Done():
			return
		}
	}
	d.mu.Lock()
	list := []Instance{}
	for _, n := range d.list {
		if whole && n.Lifecycle != Gone || !whole && d.changed[n.ID] > since {
			list = append(list, n)
		}
	}
	answer := d.answer(list, whole)
	text, _ := json.Marshal(answer)
	if d.Indent {
		text, _ = json.MarshalIndent(answer, "", "  ")
	}
	version := d.version
	d.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
	if whole || len(list) > 0 {
		d.record.Write("discovery: told version %d, whole list: %v, %d entries, %d bytes, to %s", version, whole, len(list), len(text), q.RemoteAddr)
	}
}
