// Package query holds searches as catalogue protocols state them: one small typed tree, which both CQL (SRU) and Type-1 queries
// (Z39.50) can be read into and printed from. It owns the two languages, the translation between them, and what can't be carried
// over. It must never search, and never hold more of a query than its bounds.
//
// CQL is version 1.2 as the Library of Congress publishes it with SRU 1.2 (and 2.0 as OASIS searchRetrieve part 5 does); Type-1 is
// ANSI/NISO Z39.50-2003, appendix OID 3 and the attribute set Bib-1.
//
// Depends on no package of this module. Concurrency: it keeps no state and starts no goroutine, so that its
// functions may be called from any goroutine; what they return is the caller's.
package query

import (
	"fmt"
	"strings"
)

// Bounds on what is read. Danger: a query that nests without end takes the stack, one of a million clauses the core.
const (
	MaxText  = 64 << 10
	MaxDepth = 64
	MaxNodes = 1000
)

// Op joins two parts of a query.
type Op uint8

// The booleans of both languages.
const (
	And Op = iota
	Or
	Not // and not
	Prox
)

func (o Op) String() string { return [...]string{"and", "or", "not", "prox"}[min(o, Prox)] }

// Modifier qualifies a relation, a boolean or a sort key: /name or /name comparison value.
type Modifier struct{ Name, Comparison, Value string }

// Node is a part of a query: a clause if Term is what it is about, else two parts and what joins them.
type Node struct {
	// of a clause
	Index     string // as it was written, such as dc.title; empty: the server's choice
	Relation  string // =, ==, <>, <, <=, >, >=, any, all, adj, within, encloses or another name; empty: the server's choice
	Term      string
	ResultSet string // a named result set instead of a term
	Modifiers []Modifier

	// of a boolean
	Op          Op
	Left, Right *Node
}

// IsClause tells clauses from booleans.
func (n *Node) IsClause() bool { return n.Left == nil }

// SortKey is one key to sort by.
type SortKey struct {
	Index     string
	Modifiers []Modifier
}

// Query is a whole query.
type Query struct {
	Prefixes []Prefix
	Root     *Node
	Sort     []SortKey
}

// Prefix names a context set.
type Prefix struct{ Name, URI string }

// Fault is why a query can't be used, in the terms of both protocols: a diagnostic of info:srw/diagnostic/1 and one of Bib-1.
type Fault struct {
	SRU, Bib1 int
	Details   string // what of the query is at fault
	Pos       int    // its place in the text; -1: none
}

// Diagnostics that queries can earn.
var (
	syntaxError         = Fault{10, 108, "", -1} // query syntax error; malformed query
	tooComplex          = Fault{38, 0, "", -1}   // too many boolean operators
	badIndex            = Fault{16, 114, "", -1} // unsupported index; unsupported use attribute
	badRelation         = Fault{19, 117, "", -1} // unsupported relation; unsupported relation attribute
	badModifier         = Fault{20, 118, "", -1} // unsupported relation modifier; unsupported structure attribute
	badBoolean          = Fault{37, 110, "", -1} // unsupported boolean operator; operator unsupported
	badProximity        = Fault{39, 129, "", -1} // proximity not supported; unsupported proximity
	badMaskingCharacter = Fault{28, 120, "", -1} // masking character not supported; unsupported truncation attribute
	emptyTerm           = Fault{27, 125, "", -1} // empty term unsupported; malformed search term
	badSort             = Fault{80, 207, "", -1} // sort not supported; cannot sort according to sequence
	badResultSet        = Fault{50, 128, "", -1} // result sets not supported; illegal result set name
	badAttribute        = Fault{10, 113, "", -1} // unsupported attribute type
	badAttributeSet     = Fault{10, 121, "", -1} // unsupported attribute set
)

func (f Fault) withDetails(at int, format string, args ...any) *Fault {
	f.Pos, f.Details = at, fmt.Sprintf(format, args...)
	return &f
}

func (f *Fault) Error() string {
	if f.Pos >= 0 {
		return fmt.Sprintf("query, at byte %d: %s (diagnostic %d)", f.Pos, f.Details, f.SRU)
	}
	return fmt.Sprintf("query: %s (diagnostic %d)", f.Details, f.SRU)
}

// Walk visits the clauses from left to right.
func (n *Node) Walk(visit func(*Node)) {
	if n == nil {
		return
	}
	if n.IsClause() {
		visit(n)
		return
	}
	n.Left.Walk(visit)
	n.Right.Walk(visit)
}

// equalFold compares names of the languages, whose case does not matter.
func equalFold(a, b string) bool { return strings.EqualFold(a, b) }
