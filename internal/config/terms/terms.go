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
	Module          decision.Settings
	Types           []string // names, in the order of Module.Types
	Tenants         []string
	Zones           []string
	Shards          int
	Streams         int           // sub-requests that a connection carries at once
	Idle            time.Duration // a node closes a connection that stood idle for so long
	Dial            time.Duration // a connection that is not up by then has failed
	MaxPollInterval time.Duration // the longest a broker may go without hearing from discovery
	ListPushed      bool          // an agent of this broker's own holds the list and tells it at once
	PeerNumber      int           // its number among the peers
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
	p := &settingsReader{values: map[string][]string{}}
	for line := range strings.SplitSeq(setup, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Terms{}, fmt.Errorf("settings: line %.60q has no '='", line)
		}
		p.values[key] = strings.Split(value, ",")
	}
	return p.readTerms(seed), p.err
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
	p := &settingsReader{values: map[string][]string{}, forSockets: true}
	p.flatten("", tree)
	return p.readTerms(seed), p.err
}

func (p *settingsReader) readTerms(seed uint64) Terms {
	result := Terms{
		Zones:           p.values["azs"],
		Shards:          p.count("domain.slices", p.forSockets, 0),
		Streams:         max(1, int(p.positive("permissions.multiplex"))),
		Idle:            time.Duration(p.positive("permissions.connIdleNs")),
		Dial:            time.Duration(p.positive("permissions.connectTimeoutNs")),
		MaxPollInterval: time.Duration(p.positive("safety.askWithinNs")),
		PeerNumber:      p.count("me", false, 0),
	}
	if p.forSockets && len(result.Zones) == 0 {
		p.fail("azs", "no zones")
	}
	if p.forSockets && result.Shards == 0 {
		p.fail("domain.slices", "no shards")
	}
	module := decision.Settings{
		Seed:               seed,
		BrokerCount:        max(1, p.count("balancers", false, 1)),
		GossipAllowed:      p.flag("permissions.peers"),
		ClientsMarkRetries: p.flag("clients.marksRetry"),
		ClockStep:          p.duration("stepNs", false),
		OverQuotaWeight:    p.number("overShareWorth", false, 1),
		Cells:              p.count("domain.cells", true, 0),
		CellsPerShard:      p.count("domain.width", true, 0),
		MaxBatch:           max(1, p.count("domain.partsACall", false, 1)),

		CancelAllowed:       p.flag("permissions.cancel"),
		HealthChecksAllowed: p.flag("permissions.probes"),
		ConnIdleTimeout:     result.Idle,
		HedgingAllowed:      p.flag("permissions.secondCopies"),
		MaxRetryAfter:       p.duration("permissions.maxRetryAfterNs", false),
		MaxAttempts:         p.count("permissions.maxAttempts", true, 0),
		MaxInFlight:         p.count("permissions.maxOpen", false, math.MaxInt32),

		InitialCapacity:  p.number("safety.coldFrom", false, 1),
		WarmUpTime:       p.duration("safety.warmAfterNs", false),
		OverloadMultiple: p.number("safety.tipMultiple", false, 1),
		OverloadAfter:    p.duration("safety.fallNs", false),

		ExtraAttemptsMin:    p.number("safety.extraFloor", false, 0),
		ExtraAttemptsShare:  p.number("safety.furtherRatio", false, 0),
		ExtraAttemptsWindow: p.duration("safety.lookBackNs", false),
	}
	switch by := p.text("countedBy", false); by {
	case "work":
		module.WeightPerShardRequest = true
	case "", "request":
	default:
		p.fail("countedBy", "unknown form %q", by)
	}
	if p.forSockets && module.ExtraAttemptsWindow == 0 && (module.ExtraAttemptsMin > 0 || module.ExtraAttemptsShare > 0) {
		p.fail("safety.lookBackNs", "missing, and without it the budget would not hold")
	}
	if !p.flag("permissions.retryAfter") {
		module.MaxRetryAfter = 0
	}
	if module.Cells < 1 || module.CellsPerShard < 1 || module.CellsPerShard > module.Cells {
		p.fail("domain.width", "%d of %d cells", module.CellsPerShard, module.Cells)
	}
	switch mode := p.text("registryMode", false); mode {
	case "ask":
		module.PollList = true
	case "", "push":
		result.ListPushed = mode == "push"
		module.PollList = p.forSockets // discovery on sockets tells only those who ask
	default:
		p.fail("registryMode", "unknown form %q", mode)
	}
	n := p.listLength("classes.count", true)
	floors, needs := p.numbers("domain.classFloor", n, 1), p.numbers("domain.wholeAt", n, 1)
	fetches := p.numbers("domain.fetchParts", n, 0)
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		queryType := decision.QueryType{
			LatencyObjective:    p.duration(at+"aimNs", true),
			Timeout:             p.duration(at+"deadlineNs", true),
			PriorityWeight:      p.number(at+"credit", false, 1),
			LateWeight:          p.number(at+"lateShare", false, 0),
			IdempotencyWindow:   p.duration(at+"windowNs", false),
			MinCompleteness:     floors[i],
			FullCompleteness:    needs[i],
			SecondPhaseRequests: int(fetches[i]),
		}
		switch effect := p.text(at+"effect", true); effect {
		case "read_like":
			queryType.Idempotency = decision.Idempotent
		case "idempotency_key":
			queryType.Idempotency = decision.IdempotencyKeyed
		case "non_idempotent":
			queryType.Idempotency = decision.NonIdempotent
		default:
			p.fail(at+"effect", "unknown form %q", effect)
		}
		if p.forSockets && queryType.Idempotency == decision.IdempotencyKeyed && queryType.IdempotencyWindow <= 0 {
			p.fail(at+"windowNs", "missing, and nothing tells how long repeats are dropped")
		}
		if p.forSockets && (queryType.MinCompleteness > queryType.FullCompleteness || queryType.FullCompleteness > 1) {
			p.fail("domain.classFloor", "%v of %v that make a whole answer", queryType.MinCompleteness, queryType.FullCompleteness)
		}
		if p.forSockets && (queryType.LatencyObjective <= 0 || queryType.Timeout < queryType.LatencyObjective) {
			p.fail(at+"aimNs", "%v, with a client timeout of %v", queryType.LatencyObjective, queryType.Timeout)
		}
		module.QueryTypes = append(module.QueryTypes, queryType)
		result.Types = append(result.Types, p.text(at+"name", p.forSockets))
	}
	for i := range p.listLength("realms.count", false) {
		at := fmt.Sprintf("realms.%d.", i)
		result.Tenants = append(result.Tenants, p.text(at+"name", p.forSockets))
		module.Tenants = append(module.Tenants, decision.Tenant{
			TrafficShare: p.number(at+"portion", true, 0),
			Quota:        p.number(at+"quotaPerS", false, 0),
		})
	}
	result.Module = module
	return result
}
