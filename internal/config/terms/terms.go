// Package terms reads the configuration that a broker is given at its start: the configuration file and the settings object in it.
// One decoder serves both forms of the settings, path=value lines from the simulator and nested JSON from the platform.
// A setting that cannot be read is an error, never replaced by a default.
//
// Depends on decision. Its functions keep no state and start no goroutine, may be called from any goroutine, and return values that
// the caller owns.
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

// Terms are the settings of a broker: those of the decision module, and those that only a broker on sockets needs.
type Terms struct {
	Module          decision.Settings
	Types           []string // names, in the order of Module.QueryTypes
	Tenants         []string
	Zones           []string
	Shards          int
	Streams         int           // attempts that a connection carries at once
	Idle            time.Duration // a node closes a connection that has been idle for this long
	Dial            time.Duration // a connection that is not established within this time has failed
	MaxPollInterval time.Duration // the longest time that a broker may go without an answer of discovery
	ListPushed      bool          // an agent beside this broker holds the endpoint list and sends changes at once
	PeerNumber      int           // this broker's number among the peers
}

// Fingerprint returns a hash that identifies the deployment to which an endpoint list belongs, by its zones, cells and shards.
func (t *Terms) Fingerprint() string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %d %d %d", slices.Sorted(slices.Values(t.Zones)), t.Module.Cells, t.Module.CellsPerShard, t.Shards)
	return fmt.Sprintf("%016x", h.Sum64())
}

// LongestTimeout returns the longest client timeout of all query types.
func (t *Terms) LongestTimeout() (longest time.Duration) {
	for i := range t.Module.QueryTypes {
		longest = max(longest, t.Module.QueryTypes[i].Timeout)
	}
	return longest
}

// FromText decodes the simulator's path=value lines.
func FromText(setup string, seed uint64) (Terms, error) {
	p := &settingsReader{values: map[string][]string{}}
	for line := range strings.SplitSeq(setup, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Terms{}, fmt.Errorf("settings: line %.60q is not of the form path=value", line)
		}
		p.values[key] = strings.Split(value, ",")
	}
	return p.readTerms(seed), p.err
}

// FromJSON decodes the nested JSON that a broker on sockets is given.
func FromJSON(raw []byte, seed uint64) (Terms, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return Terms{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return Terms{}, errors.New("settings: unexpected data after the JSON object")
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
		p.fail("azs", "at least one zone is required")
	}
	if p.forSockets && result.Shards == 0 {
		p.fail("domain.slices", "at least one shard is required")
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
		p.fail("countedBy", "%q is neither work nor request", by)
	}
	if p.forSockets && module.ExtraAttemptsWindow == 0 && (module.ExtraAttemptsMin > 0 || module.ExtraAttemptsShare > 0) {
		p.fail("safety.lookBackNs", "required with extraFloor or furtherRatio: without a window the extra attempts would not be limited")
	}
	if !p.flag("permissions.retryAfter") {
		module.MaxRetryAfter = 0
	}
	if module.Cells < 1 || module.CellsPerShard < 1 || module.CellsPerShard > module.Cells {
		p.fail("domain.width", "a shard on %d of %d cells; it must be at least 1 and at most all of them", module.CellsPerShard, module.Cells)
	}
	switch mode := p.text("registryMode", false); mode {
	case "ask":
		module.PollList = true
	case "", "push":
		result.ListPushed = mode == "push"
		module.PollList = p.forSockets // on sockets, discovery answers polls only
	default:
		p.fail("registryMode", "%q is neither ask nor push", mode)
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
			p.fail(at+"effect", "%q is none of read_like, idempotency_key, non_idempotent", effect)
		}
		if p.forSockets && queryType.Idempotency == decision.IdempotencyKeyed && queryType.IdempotencyWindow <= 0 {
			p.fail(at+"windowNs", "required with an idempotency key: for this long nodes drop repeated requests")
		}
		if p.forSockets && (queryType.MinCompleteness > queryType.FullCompleteness || queryType.FullCompleteness > 1) {
			p.fail("domain.classFloor", "a minimum of %v is above the %v that makes a complete result, or that is above 1", queryType.MinCompleteness, queryType.FullCompleteness)
		}
		if p.forSockets && (queryType.LatencyObjective <= 0 || queryType.Timeout < queryType.LatencyObjective) {
			p.fail(at+"aimNs", "a latency objective of %v must be above 0 and at most the client timeout, %v", queryType.LatencyObjective, queryType.Timeout)
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
