package terms

// This file reads single settings by their path. It has no defaults of its own: the caller states each one.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// settingsReader holds the values of each path. It keeps the first error, which names its key.
type settingsReader struct {
	values     map[string][]string
	forSockets bool // settings that only a broker on sockets needs are required too
	err        error
}

// fail records an error about a key, unless there is an earlier one.
func (p *settingsReader) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, fmt.Sprintf(format, args...))
	}
}

// text returns the single value of a key, or "" if the key is absent, which is an error if the key is needed.
func (p *settingsReader) text(key string, need bool) string {
	v, ok := p.values[key]
	switch {
	case !ok && need:
		p.fail(key, "missing")
	case ok && len(v) != 1:
		p.fail(key, "%d values, want one", len(v))
	case ok:
		return v[0]
	}
	return ""
}

// number returns the value of a key as a number from 0 to 2^60, or the fallback if the key is absent.
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
		p.fail(key, "%q is not a number from 0 to 2^60", v)
		return 0
	}
	return f
}

// count returns the value of a key as a whole number from 0 to 2^31, or the fallback if the key is absent.
func (p *settingsReader) count(key string, need bool, fallback int) int {
	f := p.number(key, need, float64(fallback))
	if f != math.Trunc(f) || f > 1<<31 {
		p.fail(key, "%v is not a whole number up to 2^31", f)
		return 0
	}
	return int(f)
}

// duration returns a time that is given in nanoseconds, or 0 if the key is absent.
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

// numbers returns the n values of a list of numbers, or the fallback n times if the key is absent.
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
		p.fail(key, "%d values for %d query types", len(items), n)
		return out
	}
	for i, s := range items {
		out[i] = p.parse(key, s)
	}
	return out
}

// listLength returns the length of a list. Since the settings have at least one entry per item, a length above the number of entries is rejected,
// before anything of that size is allocated.
func (p *settingsReader) listLength(key string, need bool) int {
	n := p.count(key, need, 0)
	if n > len(p.values) {
		p.fail(key, "a list of %d items, but all settings together have only %d entries", n, len(p.values))
		return 0
	}
	return n
}

// positive returns a number above 0, which is required for a broker on sockets and else defaults to 1.
func (p *settingsReader) positive(key string) float64 {
	f := p.number(key, p.forSockets, 1)
	if f <= 0 {
		p.fail(key, "%v must be above 0", f)
	}
	return f
}

// flatten stores a JSON tree under the simulator's paths. The length of a list is stored under its path and .count, and an object in a list
// under the list's path and the object's index.
func (p *settingsReader) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			if strings.Contains(key, ".") { // could be mistaken for the path of a nested key
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
