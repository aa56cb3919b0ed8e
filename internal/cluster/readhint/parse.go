package readhint

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Parse parses a hint from the value of its header. An error is a *SyntaxError, and the hint is then empty.
func Parse(text string) (Hint, error) {
	if len(text) > MaxBytes {
		return Hint{}, syntaxError("", fmt.Sprintf("hint is longer than %d bytes", MaxBytes))
	}
	var hint Hint
	seen := map[string]bool{}
	for directive := range strings.SplitSeq(text, ";") {
		directive = strings.Trim(directive, " \t")
		name, value, ok := strings.Cut(directive, "=")
		if !ok {
			return Hint{}, syntaxError(directive, "not NAME=VALUE")
		}
		if seen[name] {
			return Hint{}, syntaxError(directive, "directive is given twice")
		}
		seen[name] = true
		if reason := hint.parseDirective(name, value); reason != "" {
			return Hint{}, syntaxError(directive, reason)
		}
	}
	if hint.IsZero() {
		return Hint{}, syntaxError("", "or-stale has no effect without pin, max-stale or not-before")
	}
	return hint, nil
}

// parseDirective parses one directive into the hint. The reason is empty if the directive is valid, and says what is wrong otherwise.
func (h *Hint) parseDirective(name, value string) (reason string) {
	switch name {
	case "pin":
		return h.parsePin(value)
	case "max-stale":
		return h.parseMaxStaleness(value)
	case "not-before":
		return h.parsePositions(value)
	case "or-stale":
		return h.parseAllowStale(value)
	}
	return "unknown directive"
}

func (h *Hint) parsePin(value string) (reason string) {
	scopeName, key, _ := strings.Cut(value, ":")
	scope := Scope(scopeName)
	if scope != ScopeSession && scope != ScopeKey {
		return "pin is neither session: nor key:"
	}
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return fmt.Sprintf("name must have 1 to %d bytes", MaxKeyBytes)
	}
	for i := range len(key) {
		if !isKeyByte(key[i]) {
			return "name contains a byte other than 0-9, A-Z, a-z, -, _, . and ~"
		}
	}
	h.Scope = scope
	h.Key = key
	return ""
}

func isKeyByte(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	}
	return strings.IndexByte("-_.~", c) >= 0
}

func (h *Hint) parseMaxStaleness(value string) (reason string) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(value, "ms")
	if !ok {
		unit = time.Second
		digits, ok = strings.CutSuffix(value, "s")
	}
	if !ok {
		return "unit is neither ms nor s"
	}
	n, ok := parseNumber(digits)
	if !ok || n == 0 || n > uint64(LongestStaleness/unit) {
		return "not a whole number above 0 and up to " + LongestStaleness.String()
	}
	h.MaxStaleness = time.Duration(n) * unit
	return ""
}

func (h *Hint) parsePositions(value string) (reason string) {
	if strings.Count(value, ",") >= MaxPositions {
		return fmt.Sprintf("more than %d positions", MaxPositions)
	}
	previous := -1
	for pair := range strings.SplitSeq(value, ",") {
		position, ok := parsePosition(pair)
		if !ok {
			return "not SHARD:POSITION"
		}
		if position.Shard <= previous {
			return "shards are not in ascending order"
		}
		previous = position.Shard
		h.NotBefore = append(h.NotBefore, position)
	}
	return ""
}

func parsePosition(pair string) (Position, bool) {
	shardText, offsetText, _ := strings.Cut(pair, ":")
	shard, shardOK := parseNumber(shardText)
	offset, offsetOK := parseNumber(offsetText)
	if !shardOK || !offsetOK || shard > MaxShard {
		return Position{}, false
	}
	return Position{Shard: int(shard), Offset: offset}, true
}

func (h *Hint) parseAllowStale(value string) (reason string) {
	if value != "yes" {
		return "the only value is yes"
	}
	h.AllowStale = true
	return ""
}

// parseNumber parses a decimal number without a sign or leading zeros.
func parseNumber(text string) (uint64, bool) {
	if text == "" || text[0] == '+' {
		return 0, false
	}
	if len(text) > 1 && text[0] == '0' {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}
