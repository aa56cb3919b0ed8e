package lab

// This file runs a rehearsal on loopback sockets: the same script as in virtual time, as far as one machine can run it. It must
// reject a fault that it cannot simulate, not skip it.

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxfront/internal/lab/script"
)

// Rehearsal holds the nodes, the discovery and the clients of a script on sockets.
type Rehearsal struct {
	*Fleet
	s         *script.Script
	schedule  *script.Schedule
	startedAt time.Time
	mu        sync.Mutex
	models    []*NodeModel
}

// NewRehearsal starts nodes and discovery. WriteBrokerConfig then configures the brokers.
func NewRehearsal(dir string, s *script.Script) (*Rehearsal, error) {
	for i, t := range s.Faults {
		switch t.Kind {
		case "die", "hang", "slow", "jump", "discovery_down":
		default:
			return nil, fmt.Errorf("troubles.%d: fault %q cannot be simulated on sockets; supported are die, hang, slow, jump and discovery_down", i, t.Kind)
		}
	}
	for i, y := range s.Types {
		if y.Work != s.Types[0].Work {
			return nil, fmt.Errorf("types.%d.work: %v: on sockets all types must have the same work", i, y.Work)
		}
	}
	st := &Rehearsal{Fleet: &Fleet{Discovery: NewDiscovery(40), Cells: s.Fleet.Cells, Dir: dir}, s: s, schedule: s.Schedule(), startedAt: time.Now()}
	warm := WarmUpParams{InitialCapacity: s.Fleet.ColdCapacity, RampTime: s.Fleet.WarmUpAfter, OverloadMultiple: s.Fleet.CrashMultiple, For: s.Fleet.CrashAfter}
	for i := range s.Fleet.Nodes {
		name := fmt.Sprintf("n%05d.0", i)
		model := NewNodeModel(name, i%s.Fleet.Cells, s.Fleet.Cores, st.meanWork(i, 0), warm, uint64(s.Seed+i))
		model.Queue = time.Duration(s.Fleet.Queue) * st.meanWork(i, 0) / time.Duration(s.Fleet.Cores)
		n, err := StartNode("127.0.0.1:0", model, s.Fleet.Cells, st.startedAt)
		if err != nil {
			return nil, err
		}
		st.Nodes, st.models = append(st.Nodes, n), append(st.models, model)
		st.List = append(st.List, Instance{name, n.Addr(), string(rune('a' + s.ZoneOf(i))), i % s.Fleet.Cells, "in_service", 1, 0})
	}
	st.Discovery.SetList(st.List)
	return st, st.Discovery.Up("127.0.0.1:0")
}

func (st *Rehearsal) meanWork(node int, at time.Duration) time.Duration {
	return time.Duration(float64(st.s.Types[0].Work+st.s.Fleet.CallWork) * st.schedule.Slow(node, at))
}

// WriteBrokerConfig writes the configuration file of a broker and returns its path and the address where the broker is to listen.
func (st *Rehearsal) WriteBrokerConfig(name string) (path, listen string, err error) {
	if listen, err = FreeAddr(); err != nil {
		return "", "", err
	}
	settings, err := st.s.Settings()
	if err != nil {
		return "", "", err
	}
	b, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": st.Discovery.Addr(), "seed": "1f",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": st.s.Brokers.Sockets},
		"settings": json.RawMessage(settings)})
	if err != nil {
		return "", "", err
	}
	path = filepath.Join(st.Dir, name+".json")
	return path, listen, os.WriteFile(path, b, 0o600)
}

// RehearsalResult counts what clients observed.
type RehearsalResult struct {
	Asked, InTarget, Late, Shed, Failed, Tries int
	Service                                    float64
	Latency                                    *hdrhistogram.Histogram // microseconds
	Broken                                     []string
}

// Run runs the load and the faults against brokers that listen at the given addresses.
func (st *Rehearsal) Run(brokers []string) *RehearsalResult {
	out := &RehearsalResult{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	st.startedAt = time.Now()
	stop := make(chan struct{})
	go st.applyFaults(stop)
	var all sync.WaitGroup
	worth, got := 0.0, 0.0
	for b, at := range brokers {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}, Timeout: 10 * time.Second}
		defer client.CloseIdleConnections()
		all.Go(func() {
			r := rand.New(rand.NewPCG(uint64(st.s.Seed), uint64(b)))
			most := st.s.Load.Rate / float64(len(brokers)) * st.schedule.Max()
			for due := time.Duration(0); due < st.s.Length; due += time.Duration(r.ExpFloat64() / most * float64(time.Second)) {
				factor, _ := st.schedule.Load(0, due)
				if r.Float64()*st.schedule.Max() >= factor {
					continue
				}
				y := &st.s.Types[st.drawQueryType(r)]
				n, first := y.Min+r.IntN(y.Max-y.Min+1), r.IntN(st.s.Shards())
				seed := r.Uint64()
				time.Sleep(time.Until(st.startedAt.Add(due)))
				all.Go(func() {
					v, tries, took, broken := st.runQuery(client, at, y, first, n, seed, st.startedAt.Add(due))
					out.record(st, y, v, tries, took, broken, &worth, &got)
				})
			}
		})
	}
	all.Wait()
	close(stop)
	out.Service = got / max(1, worth)
	return out
}

func (st *Rehearsal) drawQueryType(r *rand.Rand) int {
	sum := 0.0
	for i := range st.s.Types {
		sum += st.s.Types[i].Share
	}
	at := r.Float64() * sum
	for i := range st.s.Types {
		if at -= st.s.Types[i].Share; at < 0 {
			return i
		}
	}
	return 0
}

func (out *RehearsalResult) record(st *Rehearsal, y *script.Type, share float64, tries int, took time.Duration, broken string, worth, got *float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	out.Asked, out.Tries, *worth = out.Asked+1, out.Tries+tries, *worth+y.Value
	if broken != "" {
		out.Broken = append(out.Broken, broken)
	}
	switch {
	case share < 0:
		out.Shed++
	case share == 0:
		out.Failed++
	default:
		out.Latency.RecordValue(max(1, took.Microseconds()))
		value := y.Value
		if share < 1 {
			value *= 0.9 * share
		}
		if out.InTarget++; took > y.Objective {
			out.InTarget--
			out.Late++
			value *= y.Late
		}
		*got += value
	}
}

// runQuery sends a client's query with its retries and returns the share that came back: 0 if it failed, -1 if it was shed.
func (st *Rehearsal) runQuery(client *http.Client, at string, y *script.Type, first, n int, seed uint64, due time.Time) (share float64, tries int, took time.Duration, broken string) {
	var body strings.Builder
	body.WriteString(`{"tablets":[`)
	for i := range n {
		fmt.Fprintf(&body, `%s{"tablet":%d,"fraction":%.9f}`, strings.Repeat(",", min(i, 1)), (first+i)%st.s.Shards(), 1/float64(n))
	}
	body.WriteString(`],"statement":"0"}`)
	for {
		tries++
		left := time.Until(due.Add(y.Timeout))
		if left < 5*time.Millisecond {
			return 0, tries, 0, ""
		}
		id := fmt.Sprintf("%016x", seed+uint64(tries))
		req, _ := http.NewRequest("POST", "http://"+at+"/"+y.Name, strings.NewReader(body.String()))
		req.Header.Set("X-Request-ID", id)
		req.Header.Set("X-Tenant-Id", st.s.Tenants[0].Name)
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		req.Header["Idempotency-Key"] = nil
		if tries > 1 {
			req.Header.Set("X-Retried", "1")
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, tries, 0, fmt.Sprintf("rule 1: query %s has no answer: %v", id, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 200 {
			var doc struct {
				Full   bool `json:"full"`
				Pieces []struct {
					Tablet int    `json:"tablet"`
					Cell   string `json:"cell"`
				} `json:"pieces"`
			}
			if err := json.Unmarshal(text, &doc); err != nil {
				return 0, tries, 0, fmt.Sprintf("rule 5: query %s: %v", id, err)
			}
			for _, p := range doc.Pieces {
				if p.Cell != Value(fmt.Sprintf("%s.%d", id, p.Tablet), p.Tablet) {
					broken = fmt.Sprintf("rule 5: query %s has the wrong value %q for shard %d", id, p.Cell, p.Tablet)
				}
			}
			share := float64(len(doc.Pieces)) / float64(n)
			if doc.Full != (len(doc.Pieces) == n) || share < y.RequiredShare-1e-4 {
				broken = fmt.Sprintf("rule 5: query %s has %.2f of its shards, full %v", id, share, doc.Full)
			}
			return share, tries, time.Since(due), broken
		}
		wait := st.s.Load.After
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			wait = time.Duration(after * float64(time.Second))
		}
		if tries > st.s.Load.Retries || time.Now().Add(wait).After(due.Add(y.Timeout)) {
			if resp.StatusCode == 503 || resp.StatusCode == 429 {
				return -1, tries, 0, ""
			}
			return 0, tries, 0, ""
		}
		time.Sleep(wait)
	}
}
