package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"flaxfront/broker"
)

// pairs reads the path=value lines; the first fault is kept and names its key.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("setup: %s: %s", key, fmt.Sprintf(format, args...))
	}
}

func (p *pairs) text(key string, need bool) string {
	v, ok := p.m[key]
	if !ok && need {
		p.fail(key, "missing")
	}
	return v
}

func (p *pairs) num(key string, need bool, fallback float64) float64 {
	v := p.text(key, need)
	if v == "" {
		if _, there := p.m[key]; there {
			p.fail(key, "empty")
		}
		return fallback
	}
	return p.parse(key, v)
}

func (p *pairs) parse(key, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || f > 1<<62 {
		p.fail(key, "%q is no number in range", v)
		return 0
	}
	return f
}

func (p *pairs) count(key string, need bool, fallback int) int {
	f := p.num(key, need, float64(fallback))
	if f != math.Trunc(f) || f > 1<<31 {
		p.fail(key, "%v is no whole number in range", f)
		return 0
	}
	return int(f)
}

func (p *pairs) span(key string, need bool) time.Duration {
	return time.Duration(p.num(key, need, 0))
}

func (p *pairs) flag(key string) bool {
	switch v := p.text(key, false); v {
	case "true":
		return true
	case "", "false":
		return false
	default:
		p.fail(key, "%q is neither true nor false", v)
		return false
	}
}

// list reads n comma-joined numbers; an absent key gives the fallback n times.
func (p *pairs) list(key string, n int, fallback float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = fallback
	}
	v, ok := p.m[key]
	if !ok {
		return out
	}
	items := strings.Split(v, ",")
	if len(items) != n {
		p.fail(key, "%d values for %d classes", len(items), n)
		return out
	}
	for i, s := range items {
		out[i] = p.parse(key, s)
	}
	return out
}

// size bounds a count by the text that has to spell its items out.
func (p *pairs) size(key string, need bool) int {
	n := p.count(key, need, 0)
	if n > len(p.m) {
		p.fail(key, "%d items, but the setup holds %d lines", n, len(p.m))
		return 0
	}
	return n
}

// DecodeTerms reads a setup text into Terms.
func DecodeTerms(setup string, seed uint64) (broker.Terms, error) {
	p := &pairs{m: map[string]string{}}
	for line := range strings.SplitSeq(setup, "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return broker.Terms{}, fmt.Errorf("setup: line %.60q has no '='", line)
		}
		p.m[key] = value
	}
	t := broker.Terms{
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
		SecondCopies:  p.flag("permissions.secondCopies"),
		MaxRetryAfter: p.span("permissions.maxRetryAfterNs", false),
		MaxAttempts:   p.count("permissions.maxAttempts", true, 0),
		MaxOpen:       p.count("permissions.maxOpen", false, math.MaxInt32),

		ColdFrom:     p.num("safety.coldFrom", false, 1),
		WarmAfter:    p.span("safety.warmAfterNs", false),
		FallMultiple: p.num("safety.tipMultiple", false, 1),

		ExtraFloor:  p.num("safety.extraFloor", false, 0),
		ExtraShare:  p.num("safety.furtherRatio", false, 0),
		ExtraWindow: p.span("safety.lookBackNs", false),
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
	default:
		p.fail("registryMode", "unknown form %q", mode)
	}
	n := p.size("classes.count", true)
	floors, needs := p.list("domain.classFloor", n, 1), p.list("domain.wholeAt", n, 1)
	fetches := p.list("domain.fetchParts", n, 0)
	for i := range n {
		at := fmt.Sprintf("classes.%d.", i)
		c := broker.SearchType{
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
			c.Effect = broker.Idempotent
		case "idempotency_key":
			c.Effect = broker.Tokened
		case "non_idempotent":
			c.Effect = broker.NonIdempotent
		default:
			p.fail(at+"effect", "unknown form %q", effect)
		}
		t.Types = append(t.Types, c)
	}
	for i := range p.size("realms.count", false) {
		at := fmt.Sprintf("realms.%d.", i)
		t.Tenants = append(t.Tenants, broker.Tenant{
			Portion: p.num(at+"portion", true, 0),
			Quota:   p.num(at+"quotaPerS", false, 0),
		})
	}
	return t, p.err
}
