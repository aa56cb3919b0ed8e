// Package query parses, prints and translates the queries of catalogue protocols: CQL of SRU and Type-1 of Z39.50, which is written
// as PQF. What one language cannot express of the other is an error that names it. The package runs no searches, and the size of
// a query is bounded.
//
// CQL is version 1.2 as published by the Library of Congress with SRU 1.2, and 2.0 of OASIS searchRetrieve part 5; Type-1 is that of
// ANSI/NISO Z39.50-2003, appendix OID 3, with the attribute set Bib-1.
//
// Depends on no package of this module. Concurrency: the package keeps no state and starts no goroutines; its
// functions may be called from any goroutine, and the caller owns what they return.
package query

import (
	"fmt"
	"strings"
)

// Bounds on a query's text in bytes, its nesting depth and the number of its nodes. Without them a deeply nested query would
// exhaust the stack, and one of a million clauses would occupy a CPU core.
const (
	MaxText  = 64 << 10
	MaxDepth = 64
	MaxNodes = 1000
)

// Op is a boolean operator, which joins two parts of a query.
type Op uint8

// The boolean operators of both languages.
const (
	And Op = iota
	Or
	Not // AND NOT
	Prox
)

func (o Op) String() string { return [...]string{"and", "or", "not", "prox"}[min(o, Prox)] }

// Modifier qualifies a relation, a boolean or a sort key: /name or /name comparison value.
type Modifier struct{ Name, Comparison, Value string }

// Node is a part of a CQL query: a search clause if Operands is nil, else a boolean operator, which always has two operands.
type Node struct {
	// fields of a search clause
	Index     string // as written in the query, such as dc.title; empty: cql.serverChoice
	Relation  string // =, ==, <>, <, <=, >, >=, any, all, adj, within, encloses or another name; empty: the server's choice
	Term      string
	ResultSet string // name of a result set, which replaces the term
	Modifiers []Modifier

	// fields of a boolean operator
	Op       Op
	Operands *[2]Node // values, not pointers, so that none can be missing
}

// IsClause reports whether the node is a search clause, not a boolean operator.
func (n *Node) IsClause() bool { return n.Operands == nil }

// SortKey is one key of a sortby clause.
type SortKey struct {
	Index     string
	Modifiers []Modifier
}

// Query is a complete CQL query.
type Query struct {
	Prefixes []Prefix
	Root     *Node
	Sort     []SortKey
}

// Prefix assigns a name to the URI of a context set.
type Prefix struct{ Name, URI string }

// Fault is the error of a query that cannot be used. It has the diagnostics of both protocols: the code of info:srw/diagnostic/1
// (SRU) and that of the Bib-1 diagnostic set (Z39.50).
type Fault struct {
	SRU, Bib1 int
	Details   string // the part of the query that the diagnostic is about
	Pos       int    // byte offset in the query's text; -1: unknown
}

// Diagnostics of queries, with the message of the SRU diagnostic and of the Bib-1 diagnostic.
var (
	syntaxError         = Fault{10, 108, "", -1} // query syntax error; malformed query
	tooComplex          = Fault{38, 6, "", -1}   // too many boolean operators
	badIndex            = Fault{16, 114, "", -1} // unsupported index; unsupported use attribute
	badRelation         = Fault{19, 117, "", -1} // unsupported relation; unsupported relation attribute
	badModifier         = Fault{20, 118, "", -1} // unsupported relation modifier; unsupported structure attribute
	badBoolean          = Fault{37, 110, "", -1} // unsupported boolean operator; operator unsupported
	badProximity        = Fault{39, 129, "", -1} // proximity not supported; unsupported proximity
	badMaskingCharacter = Fault{28, 120, "", -1} // masking character not supported; unsupported truncation attribute
	badPosition         = Fault{10, 119, "", -1} // unsupported position attribute
	badCompleteness     = Fault{10, 122, "", -1} // unsupported completeness attribute
	badCombination      = Fault{10, 123, "", -1} // unsupported attribute combination
	emptyTerm           = Fault{27, 125, "", -1} // empty term unsupported; malformed search term
	malformedTerm       = Fault{10, 125, "", -1} // malformed search term
	badSort             = Fault{80, 207, "", -1} // sort not supported; cannot sort according to sequence
	badResultSet        = Fault{50, 128, "", -1} // result sets not supported; illegal result set name
	badAttribute        = Fault{10, 113, "", -1} // unsupported attribute type
	badAttributeSet     = Fault{10, 121, "", -1} // unsupported attribute set
)

// zeroAttributes has the diagnostic of an attribute without a usable value, by its type.
var zeroAttributes = [Completeness + 1]Fault{Use: badIndex, Relation: badRelation, Position: badPosition, Structure: badModifier,
	Truncation: badMaskingCharacter, Completeness: badCompleteness}

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

// Walk calls visit for each search clause, from left to right.
func (n *Node) Walk(visit func(*Node)) {
	if n.IsClause() {
		visit(n)
		return
	}
	n.Operands[0].Walk(visit)
	n.Operands[1].Walk(visit)
}

// equalFold compares names of CQL and PQF, which are case-insensitive.
func equalFold(a, b string) bool { return strings.EqualFold(a, b) }
