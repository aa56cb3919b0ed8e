package terms

// This file owns the reading of single settings by their path. It must never fill in a figure of its own.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// settingsReader holds each path with its value or values; the first fault is kept and names its key.
type settingsReader struct {
	values     map[string][]string
	forSockets bool // what only sockets need must be there too
	err        error
}

func (p *settingsReader) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, fmt.Sprintf(format, args...))
	}
}

func (p *settingsReader) text(key string, need bool) string {
	v, ok := p.values[key]
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

func (p *settingsReader) number(key string, need bool, fallback float64) float64 {
	v := p.text(key, need)
	if v == "" {
		if _, present := p.values[key]; present {
			p.fail(key, "empty")
		}
		return fallback
	}
	return p.parse(key, v)
}

func (p *settingsReader) parse(key, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || f > 1<<60 {
		p.fail(key, "%q is no number in range", v)
		return 0
	}
	return f
}

func (p *settingsReader) count(key string, need bool, fallback int) int {
	f := p.number(key, need, float64(fallback))
	if f != math.Trunc(f) || f > 1<<31 {
		p.fail(key, "%v is no whole number in range", f)
		return 0
	}
	return int(f)
}

func (p *settingsReader) duration(key string, need bool) time.Duration {
	return time.Duration(p.number(key, need, 0))
}

func (p *settingsReader) flag(key string) bool {
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

// numbers reads n comma-joined numbers; an absent key gives the fallback n times.
func (p *settingsReader) numbers(key string, n int, fallback float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = fallback
	}
	items, ok := p.values[key]
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

// listLength bounds a count by the text that has to spell its items out.
func (p *settingsReader) listLength(key string, need bool) int {
	n := p.count(key, need, 0)
	if n > len(p.values) {
		p.fail(key, "%d items, but the settings hold %d entries", n, len(p.values))
		return 0
	}
	return n
}

// positive is a number that must be there and above nothing where sockets need it.
func (p *settingsReader) positive(key string) float64 {
	f := p.number(key, p.forSockets, 1)
	if f <= 0 {
		p.fail(key, "%v is not above 0", f)
	}
	return f
}

// flatten lays a tree out as the simulator does: a list of objects has its length under .count.
func (p *settingsReader) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			if strings.Contains(key, ".") { // it could pass for something deeper
				continue
			}
			if path != "" {
				key = path + "." + key
			}
			p.flatten(key, child)
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
		p.values[path], p.values[path+".count"] = plain, []string{strconv.Itoa(len(v))}
	case nil:
	default:
		p.values[path] = []string{fmt.Sprint(v)}
	}
}
