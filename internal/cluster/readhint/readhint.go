// Package readhint owns the grammar of the read hint: what application code says in a query about the age of what it reads and the
// replica that it reads from. The specification is docs/design/pinned-reads.md. A hint is taken whole or not at all: it must never
// be half obeyed, and never decide what to do about it.
//
// Depends on no package of this module. Concurrency: it keeps no state and starts no goroutine, so that its
// functions may be called from any goroutine; what they return is the caller's.
package readhint

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Header names the hint in a request over HTTP.
const Header = "X-Read-Hint"

// Bounds of a hint. What is longer is wrong, whatever it says.
const (
	MaxBytes         = 2048 // no hint within the other bounds is longer
	MaxKeyBytes      = 64
	MaxPositions     = 64
	MaxShard         = 1<<20 - 1
	LongestStaleness = 10 * time.Minute
)

// Scope is what a pin stands for. A session and a key of the same name are two pins.
type Scope string

// The scopes there are.
const (
	ScopeNone    Scope = ""
	ScopeSession Scope = "session"
	ScopeKey     Scope = "key"
)

// Position is how far a shard's log of writes was seen.
type Position struct {
	Shard  int
	Offset uint64 // 0: nothing was seen yet, and the answer is to tell
}

// Hint is what a query says of its reads. The zero value asks for nothing.
type Hint struct {
	Scope        Scope         // what the query is pinned by; None: it is not
	Key          string        // its name
	MaxStaleness time.Duration // what was acknowledged so long before the search was taken must be in; 0: no bound
	NotBefore    []Position    // by ascending shard: what the client has seen
	AllowStale   bool          // where that can't be had, an answer that states its age will do
}

// SyntaxError tells why a hint is ignored.
type SyntaxError struct {
	Directive string // the directive that is wrong, at most 40 bytes of it
	Reason    string
}

func (w *SyntaxError) Error() string {
	if w.Directive == "" {
		return w.Reason
	}
	return w.Reason + ": " + strconv.QuoteToASCII(w.Directive)
}

// Remedy says what an operator can do.
func (w *SyntaxError) Remedy() string {
	return "correct the application's " + Header + " by the grammar in docs/design/pinned-reads.md; until then its reads are ordinary ones"
}

func wrong(part, why string) *SyntaxError { return &SyntaxError{part[:min(len(part), 40)], why} }

// IsZero tells whether a hint asks for nothing.
func (h *Hint) IsZero() bool {
	return h.Scope == ScopeNone && h.MaxStaleness == 0 && len(h.NotBefore) == 0
}

// MinOffset is the position that a shard must have reached; 0: any.
func (h *Hint) MinOffset(shard int) uint64 {
	for _, p := range h.NotBefore {
		if p.Shard == shard {
			return p.Offset
		}
	}
	return 0
}

// Validate holds a hint that a program has put together against the bounds of the grammar.
func (h *Hint) Validate() error {
	_, err := Parse(h.String())
	return err
}

// String writes a hint as the header carries it.
func (h *Hint) String() string {
	var all []string
	if h.Scope != ScopeNone || h.Key != "" {
		all = append(all, "pin="+string(h.Scope)+":"+h.Key)
	}
	if h.MaxStaleness != 0 {
		all = append(all, "max-stale="+span(h.MaxStaleness))
	}
	if len(h.NotBefore) > 0 {
		all = append(all, "not-before="+FormatPositions(h.NotBefore))
	}
	if h.AllowStale {
		all = append(all, "or-stale=yes")
	}
	return strings.Join(all, "; ")
}

// FormatPositions writes positions as hints and answers carry them.
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

// span writes a time in whole seconds where it is some, and in milliseconds else. A part of a millisecond fits no hint: it is
// written so that it is refused.
func span(d time.Duration) string {
	switch {
	case d%time.Second == 0:
		return fmt.Sprintf("%ds", d/time.Second)
	case d%time.Millisecond == 0:
		return fmt.Sprintf("%dms", d/time.Millisecond)
	}
	return d.String() + "?"
}
