package terms

// This file owns the reading of single settings by their path. It must never fill in a figure of its own.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// pairs holds each path with its value or values; the first fault is kept and names its key.
type pairs struct {
	m       map[string][]string
	sockets bool // what only sockets need must be there too
	err     error
}

func (p *pairs) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, fmt.Sprintf(format, args...))
	}
}

func (p *pairs) text(key string, need bool) string {
	v, ok := p.m[key]
	switch {
	case !ok && need:
		p.fail(key, "missing")
	case ok && len(v) != 1:
		p.fail(key, "%d values for one", len(v))
	case ok:
		return v[0]
	}
	return ""
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
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || f > 1<<60 {
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
	items, ok := p.m[key]
	if !ok {
		return out
	}
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
		p.fail(key, "%d items, but the settings hold %d entries", n, len(p.m))
		return 0
	}
	return n
}

// positive is a number that must be there and above nothing where sockets need it.
func (p *pairs) positive(key string) float64 {
	f := p.num(key, p.sockets, 1)
	if f <= 0 {
		p.fail(key, "%v is not above 0", f)
	}
	return f
}

// flatten lays a tree out as the simulator does: a list of objects has its length under .count.
func (p *pairs) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, below := range v {
			if strings.Contains(key, ".") { // it could pass for something deeper
				continue
			}
			if path != "" {
				key = path + "." + key
			}
			p.flatten(key, below)
		}
	case []any:
		plain := []string{}
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				p.flatten(fmt.Sprintf("%s.%d", path, i), item)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		p.m[path], p.m[path+".count"] = plain, []string{strconv.Itoa(len(v))}
	case nil:
	default:
		p.m[path] = []string{fmt.Sprint(v)}
	}
}
