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
	MostBytes     = 2048 // no hint within the other bounds is longer
	MostKey       = 64
	MostPositions = 64
	MostShard     = 1<<20 - 1
	MostStale     = 10 * time.Minute
)

// Scope is what a pin stands for. A session and a key of the same name are two pins.
type Scope string

// The scopes there are.
const (
	None    Scope = ""
	Session Scope = "session"
	Key     Scope = "key"
)

// Position is how far a shard's log of writes was seen.
type Position struct {
	Shard int
	At    uint64 // 0: nothing was seen yet, and the answer is to tell
}

// Hint is what a query says of its reads. The zero value asks for nothing.
type Hint struct {
	Scope     Scope         // what the query is pinned by; None: it is not
	Key       string        // its name
	MaxStale  time.Duration // what was acknowledged so long before the search was taken must be in; 0: no bound
	NotBefore []Position    // by ascending shard: what the client has seen
	OrStale   bool          // where that can't be had, an answer that states its age will do
}

// Wrong tells why a hint is ignored.
type Wrong struct {
	Part string // the directive that is wrong, at most 40 bytes of it
	Why  string
}

func (w *Wrong) Error() string {
	if w.Part == "" {
		return w.Why
	}
	return w.Why + ": " + strconv.QuoteToASCII(w.Part)
}

// Remedy says what an operator can do.
func (w *Wrong) Remedy() string {
	return "correct the application's " + Header + " by the grammar in docs/design/pinned-reads.md; until then its reads are ordinary ones"
}

func wrong(part, why string) *Wrong { return &Wrong{part[:min(len(part), 40)], why} }

// Empty tells whether a hint asks for nothing.
func (h *Hint) Empty() bool {
	return h.Scope == None && h.MaxStale == 0 && len(h.NotBefore) == 0
}

// Needs is the position that a shard must have reached; 0: any.
func (h *Hint) Needs(shard int) uint64 {
	for _, p := range h.NotBefore {
		if p.Shard == shard {
			return p.At
		}
	}
	return 0
}

// Check holds a hint that a program has put together against the bounds of the grammar.
func (h *Hint) Check() error {
	_, err := Parse(h.String())
	return err
}

// String writes a hint as the header carries it.
func (h *Hint) String() string {
	var all []string
	if h.Scope != None || h.Key != "" {
		all = append(all, "pin="+string(h.Scope)+":"+h.Key)
	}
	if h.MaxStale != 0 {
		all = append(all, "max-stale="+span(h.MaxStale))
	}
	if len(h.NotBefore) > 0 {
		all = append(all, "not-before="+Positions(h.NotBefore))
	}
	if h.OrStale {
		all = append(all, "or-stale=yes")
	}
	return strings.Join(all, "; ")
}

// Positions writes positions as hints and answers carry them.
func Positions(list []Position) string {
	b := make([]byte, 0, 16*len(list))
	for i, p := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(strconv.AppendInt(b, int64(p.Shard), 10), ':')
		b = strconv.AppendUint(b, p.At, 10)
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
