package readhint

import (
	"strconv"
	"strings"
	"time"
)

// Parse reads a hint. The error is a *Wrong, and then nothing of the hint holds.
func Parse(text string) (Hint, error) {
	var h Hint
	if len(text) > MaxBytes {
		return Hint{}, wrong("", "longer than "+strconv.Itoa(MaxBytes)+" bytes")
	}
	seen := map[string]bool{}
	for directive := range strings.SplitSeq(text, ";") {
		directive = strings.Trim(directive, " \t")
		name, value, ok := strings.Cut(directive, "=")
		if !ok {
			return Hint{}, wrong(directive, "not NAME=VALUE")
		}
		if seen[name] {
			return Hint{}, wrong(directive, "said twice")
		}
		seen[name] = true
		why := ""
		switch name {
		case "pin":
			why = h.readPin(value)
		case "max-stale":
			why = h.readSpan(value)
		case "not-before":
			why = h.readPositions(value)
		case "or-stale":
			if h.AllowStale = value == "yes"; !h.AllowStale {
				why = "only yes can be said"
			}
		default:
			why = "no such directive"
		}
		if why != "" {
			return Hint{}, wrong(directive, why)
		}
	}
	if h.IsZero() {
		return Hint{}, wrong("", "or-stale alone asks for nothing")
	}
	return h, nil
}

func (h *Hint) readPin(value string) (why string) {
	scope, key, _ := strings.Cut(value, ":")
	if s := Scope(scope); s != ScopeSession && s != ScopeKey {
		return "neither session nor key"
	}
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return "a name has 1 to " + strconv.Itoa(MaxKeyBytes) + " bytes"
	}
	for i := range len(key) {
		if c := key[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("-_.~", c) >= 0) {
			return "a byte that no name may have"
		}
	}
	h.Scope, h.Key = Scope(scope), key
	return ""
}

func (h *Hint) readSpan(value string) (why string) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(value, "ms")
	if !ok {
		unit = time.Second
		if digits, ok = strings.CutSuffix(value, "s"); !ok {
			return "neither ms nor s"
		}
	}
	n, ok := number(digits)
	if !ok || n == 0 || n > uint64(LongestStaleness/unit) {
		return "not a whole number between nothing and " + LongestStaleness.String()
	}
	h.MaxStaleness = time.Duration(n) * unit
	return ""
}

func (h *Hint) readPositions(value string) (why string) {
	if strings.Count(value, ",") >= MaxPositions {
		return "more than " + strconv.Itoa(MaxPositions) + " positions"
	}
	for pair := range strings.SplitSeq(value, ",") {
		left, right, _ := strings.Cut(pair, ":")
		shard, ok1 := number(left)
		at, ok2 := number(right)
		if !ok1 || !ok2 || shard > MaxShard {
			return "not SHARD:POSITION"
		}
		if n := len(h.NotBefore); n > 0 && h.NotBefore[n-1].Shard >= int(shard) {
			return "shards must ascend"
		}
		h.NotBefore = append(h.NotBefore, Position{int(shard), at})
	}
	return ""
}

// number reads digits alone, without signs and leading zeros.
func number(text string) (uint64, bool) {
	if len(text) > 1 && text[0] == '0' || text == "" || text[0] == '+' {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}
