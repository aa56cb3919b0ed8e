// Package readhint reads and writes the read hint: the header in which an application says how old the data that it reads may be,
// and which replica it wants to stay with. The grammar is in docs/design/pinned-reads.md. A hint is valid as a whole or ignored as a
// whole; what to do about one is decided elsewhere (package readpin).
//
// All functions may be called from any goroutine.
package readhint

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Header names the hint in a request over HTTP.
const Header = "X-Read-Hint"

// The bounds of a hint.
const (
	MaxBytes         = 2048 // no hint within the other bounds is longer
	MaxKeyBytes      = 64
	MaxPositions     = 64
	MaxShard         = 1<<20 - 1
	LongestStaleness = 10 * time.Minute
)

// maxQuotedBytes of a wrong directive are repeated in an error.
const maxQuotedBytes = 40

// Scope is what a query is pinned by. A session and a key of the same name are two pins.
type Scope string

// The scopes.
const (
	ScopeNone    Scope = ""
	ScopeSession Scope = "session"
	ScopeKey     Scope = "key"
)

// Position is how far a client has seen a shard's log of writes.
type Position struct {
	Shard  int
	Offset uint64 // 0: nothing was seen yet; the answer reports the position
}

// Hint is what a query says of its reads. The zero value asks for nothing.
type Hint struct {
	Scope        Scope         // what the query is pinned by; ScopeNone: it is not pinned
	Key          string        // the name of the session or key
	MaxStaleness time.Duration // writes acknowledged so long before the query arrived must be visible; 0: no bound
	NotBefore    []Position    // by ascending shard: what the client has seen
	AllowStale   bool          // if no replica is fresh enough, an answer that states its staleness will do
}

// SyntaxError says why a hint is ignored.
type SyntaxError struct {
	Directive string // the wrong directive, shortened; empty if the hint as a whole is wrong
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
	return "correct the application's " + Header + " by the grammar in docs/design/pinned-reads.md; until then its reads are ordinary ones"
}

func syntaxError(directive, reason string) *SyntaxError {
	return &SyntaxError{Directive: directive[:min(len(directive), maxQuotedBytes)], Reason: reason}
}

// IsZero reports whether the hint asks for nothing.
func (h *Hint) IsZero() bool {
	return h.Scope == ScopeNone && h.MaxStaleness == 0 && len(h.NotBefore) == 0
}

// MinOffset returns the offset that a replica of the shard must have reached; 0: any.
func (h *Hint) MinOffset(shard int) uint64 {
	for _, p := range h.NotBefore {
		if p.Shard == shard {
			return p.Offset
		}
	}
	return 0
}

// Validate checks a hint that a program has put together against the bounds of the grammar. The error is a *SyntaxError.
func (h *Hint) Validate() error {
	_, err := Parse(h.String())
	return err
}

// String returns the hint as the header carries it.
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

// FormatPositions returns positions as hints and answers carry them: SHARD:OFFSET,...
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

// formatDuration writes whole seconds or milliseconds. A shorter fraction fits no hint, and is written so that Parse refuses it.
func formatDuration(d time.Duration) string {
	switch {
	case d%time.Second == 0:
		return fmt.Sprintf("%ds", d/time.Second)
	case d%time.Millisecond == 0:
		return fmt.Sprintf("%dms", d/time.Millisecond)
	}
	return d.String() + "?"
}
