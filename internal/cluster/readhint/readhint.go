// Package readhint parses and formats read hints. A read hint is a header in which an application says how old the data that it reads may
// be, and that it wants to keep reading from the same replica. The grammar is in docs/design/pinned-reads.md. A hint with a fault in any
// directive is ignored as a whole. Package readpin decides how to follow a hint.
//
// All functions may be called from any goroutine.
package readhint

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the HTTP header that carries a hint.
const Header = "X-Read-Hint"

// The bounds of a hint.
const (
	MaxBytes         = 2048 // enough for any hint within the other bounds
	MaxKeyBytes      = 64
	MaxPositions     = 64
	MaxShard         = 1<<20 - 1
	LongestStaleness = 10 * time.Minute
)

// maxQuotedBytes is how many bytes of an invalid directive an error quotes.
const maxQuotedBytes = 40

// Scope is the kind of name that a query is pinned by. A session and a key of the same name are different pins.
type Scope string

// The scopes.
const (
	ScopeNone    Scope = ""
	ScopeSession Scope = "session"
	ScopeKey     Scope = "key"
)

// Position is how far in a shard's log of writes a client has seen.
type Position struct {
	Shard  int
	Offset uint64 // 0: nothing seen yet; the response reports the position
}

// Hint is what a query requires of its reads. The zero value requires nothing.
type Hint struct {
	Scope        Scope         // ScopeNone: the query is not pinned
	Key          string        // the name of the session or key
	MaxStaleness time.Duration // writes acknowledged at least this long before the query arrived must be visible; 0: no bound
	NotBefore    []Position    // what the client has seen, in ascending order of shards
	AllowStale   bool          // if no replica is fresh enough, an older result that states its staleness is accepted
}

// SyntaxError reports a hint that is ignored because it does not follow the grammar.
type SyntaxError struct {
	Directive string // the invalid directive, truncated to maxQuotedBytes; empty if the hint as a whole is invalid
	Reason    string
}

func (e *SyntaxError) Error() string {
	if e.Directive == "" {
		return e.Reason
	}
	return e.Reason + ": " + strconv.QuoteToASCII(e.Directive)
}

// Remedy says what an operator can do.
func (e *SyntaxError) Remedy() string {
	return "correct the application's " + Header + " header by the grammar in docs/design/pinned-reads.md; until then its hint is ignored"
}

func syntaxError(directive, reason string) *SyntaxError {
	return &SyntaxError{Directive: directive[:min(len(directive), maxQuotedBytes)], Reason: reason}
}

// IsZero reports whether the hint requires nothing.
func (h *Hint) IsZero() bool {
	return h.Scope == ScopeNone && h.MaxStaleness == 0 && len(h.NotBefore) == 0
}

// MinOffset returns the offset that a replica of the shard must have reached, or 0 if the hint sets no bound for the shard.
func (h *Hint) MinOffset(shard int) uint64 {
	for _, p := range h.NotBefore {
		if p.Shard == shard {
			return p.Offset
		}
	}
	return 0
}

// Validate checks a hint that was not parsed, but set by a program, against the grammar. The error is a *SyntaxError.
func (h *Hint) Validate() error {
	_, err := Parse(h.String())
	return err
}

// String formats the hint as the value of its header.
func (h *Hint) String() string {
	var all []string
	if h.Scope != ScopeNone || h.Key != "" {
		all = append(all, "pin="+string(h.Scope)+":"+h.Key)
	}
	if h.MaxStaleness != 0 {
		all = append(all, "max-stale="+formatDuration(h.MaxStaleness))
	}
	if len(h.NotBefore) > 0 {
		all = append(all, "not-before="+FormatPositions(h.NotBefore))
	}
	if h.AllowStale {
		all = append(all, "or-stale=yes")
	}
	return strings.Join(all, "; ")
}

// FormatPositions formats positions as in hints and responses: SHARD:OFFSET,...
func FormatPositions(list []Position) string {
	b := make([]byte, 0, 16*len(list))
	for i, p := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(strconv.AppendInt(b, int64(p.Shard), 10), ':')
		b = strconv.AppendUint(b, p.Offset, 10)
	}
	return string(b)
}

// formatDuration formats whole seconds or milliseconds. A hint cannot express a finer duration: it is formatted so that Parse rejects it.
func formatDuration(d time.Duration) string {
	switch {
	case d%time.Second == 0:
		return fmt.Sprintf("%ds", d/time.Second)
	case d%time.Millisecond == 0:
		return fmt.Sprintf("%dms", d/time.Millisecond)
	}
	return d.String() + "?"
}
