// Package terms reads what a broker is told at its start. It owns the one decoding of the settings object, which
// the simulator writes as path=value lines and the platform as nested JSON, and the configuration file round it.
// It must never decide anything, fill in a figure of its own, or let a setting through that it could not read.
//
// Depends on decision. Concurrency: it keeps no state and starts no goroutine, so that its functions
// may be called from any goroutine; what they return is the caller's.
package terms

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"flaxfront/internal/decision"
)

// Terms are the settings: the module's, and those that only a front on sockets needs.
type Terms struct {
	Module   decision.Settings
	Types    []string // names, in the order of Module.Types
	Tenants  []string
	Zones    []string
	Shards   int
	Streams  int           // sub-requests that a connection carries at once
	Idle     time.Duration // a node closes a connection that stood idle for so long
	Dial     time.Duration // a connection that is not up by then has failed
	AskEvery time.Duration // the longest a broker may go without hearing from discovery
	Pushed   bool          // an agent of this broker's own holds the list and tells it at once
	Me       int           // its number among the peers
}

// Fingerprint names the deployment that a node list belongs to: its zones, cells and shards.
func (t *Terms) Fingerprint() string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %d %d %d", slices.Sorted(slices.Values(t.Zones)), t.Module.Cells, t.Module.CellsPerShard, t.Shards)
	return fmt.Sprintf("%016x", h.Sum64())
}

// LongestTimeout is the longest time that a client of any query type waits.
func (t *Terms) LongestTimeout() (longest time.Duration) {
	for i := range t.Module.QueryTypes {
		longest = max(longest, t.Module.QueryTypes[i].Timeout)
	}
	return longest
}

// FromText reads the simulator's path=value lines.
func FromText(setup string, seed uint64) (Terms, error) {
	p := &pairs{m: map[string][]string{}}
	for line := range strings.SplitSeq(setup, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Terms{}, fmt.Errorf("settings: line %.60q has no '='", line)
		}
		p.m[key] = strings.Split(value, ",")
	}
	return p.terms(seed), p.err
}

// FromJSON reads the nested form that a front on sockets is given.
func FromJSON(raw []byte, seed uint64) (Terms, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return Terms{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Terms{}, errors.New("settings: something follows the object")
	}
	p := &pairs{m: map[string][]string{}, sockets: true}
	p.flatten("", tree)
	return p.terms(seed), p.err
}

func (p *pairs) terms(seed uint64) Terms {
	f := Terms{
		Zones:    p.m["azs"],
		Shards:   p.count("domain.slices", p.sockets, 0),
		Streams:  max(1, int(p.positive("permissions.multiplex"))),
		Idle:     time.Duration(p.positive("permissions.connIdleNs")),
		Dial:     time.Duration(p.positive("permissions.connectTimeoutNs")),
		AskEvery: time.Duration(p.positive("safety.askWithinNs")),
		Me:       p.count("me", false, 0),
	}
	if p.sockets && len(f.Zones) == 0 {
		p.fail("azs", "no zones")
	}
	if p.sockets && f.Shards == 0 {
		p.fail("domain.slices", "no shards")
	}
	t := decision.Settings{
		Seed:               seed,
		BrokerCount:        max(1, p.count("balancers", false, 1)),
		GossipAllowed:      p.flag("permissions.peers"),
		ClientsMarkRetries: p.flag("clients.marksRetry"),
		ClockStep:          p.span("stepNs", false),
		OverQuotaWeight:    p.num("overShareWorth", false, 1),
		Cells:              p.count("domain.cells", true, 0),
		CellsPerShard:      p.count("domain.width", true, 0),
		MaxBatch:           max(1, p.count("domain.partsACall", false, 1)),

		CancelAllowed:       p.flag("permissions.cancel"),
		HealthChecksAllowed: p.flag("permissions.probes"),
		ConnIdleTimeout:     f.Idle,
		HedgingAllowed:      p.flag("permissions.secondCopies"),
		MaxRetryAfter:       p.span("permissions.maxRetryAfterNs", false),
		MaxAttempts:         p.count("permissions.maxAttempts", true, 0),
		MaxInFlight:         p.count("permissions.maxOpen", false, math.MaxInt32),

		InitialCapacity:  p.num("safety.coldFrom", false, 1),
		WarmUpTime:       p.span("safety.warmAfterNs", false),
		OverloadMultiple: p.num("safety.tipMultiple", false, 1),
		OverloadAfter:    p.span("safety.fallNs", false),

		ExtraAttemptsMin:    p.num("safety.extraFloor", false, 0),
		ExtraAttemptsShare:  p.num("safety.furtherRatio", false, 0),
		ExtraAttemptsWindow: p.span("safety.lookBackNs", false),
	}
	switch by := p.text("countedBy", false); by {
	case "work":
		t.WeightPerShardRequest = true
	case "", "request":
	default:
		p.fail("countedBy", "unknown form %q", by)
	}
	if p.sockets && t.ExtraAttemptsWindow == 0 && (t.ExtraAttemptsMin > 0 || t.ExtraAttemptsShare > 0) {
		p.fail("safety.lookBackNs", "missing, and without it the budget would not hold")
	}
	if !p.flag("permissions.retryAfter") {
		t.MaxRetryAfter = 0
	}
	if t.Cells < 1 || t.CellsPerShard < 1 || t.CellsPerShard > t.Cells {
		p.fail("domain.width", "%d of %d cells", t.CellsPerShard, t.Cells)
	}
	switch mode := p.text("registryMode", false); mode {
	case "ask":
		t.PollList = true
	case "", "push":
		f.Pushed = mode == "push"
		t.PollList = p.sockets // discovery on sockets tells only those who ask
	default:
		p.fail("registryMode", "unknown form %q", mode)
	}
	n := p.size("classes.count", true)
	floors, needs := p.list("domain.classFloor", n, 1), p.list("domain.wholeAt", n, 1)
	fetches := p.list("domain.fetchParts", n, 0)
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := decision.QueryType{
			LatencyObjective:    p.span(at+"aimNs", true),
			Timeout:             p.span(at+"deadlineNs", true),
			PriorityWeight:      p.num(at+"credit", false, 1),
			LateWeight:          p.num(at+"lateShare", false, 0),
			IdempotencyWindow:   p.span(at+"windowNs", false),
			MinCompleteness:     floors[i],
			FullCompleteness:    needs[i],
			SecondPhaseRequests: int(fetches[i]),
		}
		switch effect := p.text(at+"effect", true); effect {
		case "read_like":
			c.Idempotency = decision.Idempotent
		case "idempotency_key":
			c.Idempotency = decision.IdempotencyKeyed
		case "non_idempotent":
			c.Idempotency = decision.NonIdempotent
		default:
			p.fail(at+"effect", "unknown form %q", effect)
		}
		if p.sockets && c.Idempotency == decision.IdempotencyKeyed && c.IdempotencyWindow <= 0 {
			p.fail(at+"windowNs", "missing, and nothing tells how long repeats are dropped")
		}
		if p.sockets && (c.MinCompleteness > c.FullCompleteness || c.FullCompleteness > 1) {
			p.fail("domain.classFloor", "%v of %v that make a whole answer", c.MinCompleteness, c.FullCompleteness)
		}
		if p.sockets && (c.LatencyObjective <= 0 || c.Timeout < c.LatencyObjective) {
			p.fail(at+"aimNs", "%v, with a client timeout of %v", c.LatencyObjective, c.Timeout)
		}
		t.QueryTypes = append(t.QueryTypes, c)
		f.Types = append(f.Types, p.text(at+"name", p.sockets))
	}
	for i := range p.size("realms.count", false) {
		at := fmt.Sprintf("realms.%d.", i)
		f.Tenants = append(f.Tenants, p.text(at+"name", p.sockets))
		t.Tenants = append(t.Tenants, decision.Tenant{
			TrafficShare: p.num(at+"portion", true, 0),
			Quota:        p.num(at+"quotaPerS", false, 0),
		})
	}
	f.Module = t
	return f
}
