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
	Module   decision.Terms
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
	fmt.Fprintf(h, "%q %d %d %d", slices.Sorted(slices.Values(t.Zones)), t.Module.Cells, t.Module.Width, t.Shards)
	return fmt.Sprintf("%016x", h.Sum64())
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
	t := decision.Terms{
		Seed:         seed,
		Brokers:      max(1, p.count("balancers", false, 1)),
		Peers:        p.flag("permissions.peers"),
		MarksRepeats: p.flag("clients.marksRetry"),
		Step:         p.span("stepNs", false),
		OverShare:    p.num("overShareWorth", false, 1),
		Cells:        p.count("domain.cells", true, 0),
		Width:        p.count("domain.width", true, 0),
		BatchParts:   max(1, p.count("domain.partsACall", false, 1)),

		Cancels:       p.flag("permissions.cancel"),
		Probes:        p.flag("permissions.probes"),
		Idle:          f.Idle,
		SecondCopies:  p.flag("permissions.secondCopies"),
		MaxRetryAfter: p.span("permissions.maxRetryAfterNs", false),
		MaxAttempts:   p.count("permissions.maxAttempts", true, 0),
		MaxOpen:       p.count("permissions.maxOpen", false, math.MaxInt32),

		ColdFrom:     p.num("safety.coldFrom", false, 1),
		WarmAfter:    p.span("safety.warmAfterNs", false),
		FallMultiple: p.num("safety.tipMultiple", false, 1),
		FallAfter:    p.span("safety.fallNs", false),

		ExtraFloor:  p.num("safety.extraFloor", false, 0),
		ExtraShare:  p.num("safety.furtherRatio", false, 0),
		ExtraWindow: p.span("safety.lookBackNs", false),
	}
	switch by := p.text("countedBy", false); by {
	case "work":
		t.ByWork = true
	case "", "request":
	default:
		p.fail("countedBy", "unknown form %q", by)
	}
	if p.sockets && t.ExtraWindow == 0 && (t.ExtraFloor > 0 || t.ExtraShare > 0) {
		p.fail("safety.lookBackNs", "missing, and without it the budget would not hold")
	}
	if !p.flag("permissions.retryAfter") {
		t.MaxRetryAfter = 0
	}
	if t.Cells < 1 || t.Width < 1 || t.Width > t.Cells {
		p.fail("domain.width", "%d of %d cells", t.Width, t.Cells)
	}
	switch mode := p.text("registryMode", false); mode {
	case "ask":
		t.AskList = true
	case "", "push":
		f.Pushed = mode == "push"
		t.AskList = p.sockets // discovery on sockets tells only those who ask
	default:
		p.fail("registryMode", "unknown form %q", mode)
	}
	n := p.size("classes.count", true)
	floors, needs := p.list("domain.classFloor", n, 1), p.list("domain.wholeAt", n, 1)
	fetches := p.list("domain.fetchParts", n, 0)
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := decision.SearchType{
			Target:    p.span(at+"aimNs", true),
			Timeout:   p.span(at+"deadlineNs", true),
			Value:     p.num(at+"credit", false, 1),
			LateShare: p.num(at+"lateShare", false, 0),
			Window:    p.span(at+"windowNs", false),
			Floor:     floors[i],
			Need:      needs[i],
			Fetch:     int(fetches[i]),
		}
		switch effect := p.text(at+"effect", true); effect {
		case "read_like":
			c.Effect = decision.Idempotent
		case "idempotency_key":
			c.Effect = decision.Tokened
		case "non_idempotent":
			c.Effect = decision.NonIdempotent
		default:
			p.fail(at+"effect", "unknown form %q", effect)
		}
		if p.sockets && c.Effect == decision.Tokened && c.Window <= 0 {
			p.fail(at+"windowNs", "missing, and nothing tells how long repeats are dropped")
		}
		if p.sockets && (c.Floor > c.Need || c.Need > 1) {
			p.fail("domain.classFloor", "%v of %v that make a whole answer", c.Floor, c.Need)
		}
		if p.sockets && (c.Target <= 0 || c.Timeout < c.Target) {
			p.fail(at+"aimNs", "%v, with a client timeout of %v", c.Target, c.Timeout)
		}
		t.Types = append(t.Types, c)
		f.Types = append(f.Types, p.text(at+"name", p.sockets))
	}
	for i := range p.size("realms.count", false) {
		at := fmt.Sprintf("realms.%d.", i)
		f.Tenants = append(f.Tenants, p.text(at+"name", p.sockets))
		t.Tenants = append(t.Tenants, decision.Tenant{
			Portion: p.num(at+"portion", true, 0),
			Quota:   p.num(at+"quotaPerS", false, 0),
		})
	}
	f.Module = t
	return f
}
