package query

// This file defines the tree of Z39.50's Type-1 queries (RPN), whose text form is PQF (prefix query format). Package z3950 encodes
// the tree in BER.

// Bib1 is the object identifier of the attribute set Bib-1, the only one that is translated.
const Bib1 = "1.2.840.10003.3.1"

// Attribute types of Bib-1.
const (
	Use          = 1
	Relation     = 2
	Position     = 3
	Structure    = 4
	Truncation   = 5
	Completeness = 6
)

// Attribute qualifies a term by one attribute type and its value.
type Attribute struct {
	Set   string // object identifier of the attribute set; empty: the query's
	Type  int
	Value int
	Text  string // replaces Value if the value is not a number
}

// RPN is a part of a Type-1 query: an operand if Operands is nil, else an operator, which always has two operands.
type RPN struct {
	Attributes []Attribute
	Term       string
	ResultSet  string

	Op        Op
	Proximity []int   // parameters of Prox: exclusion, distance, ordered, relation, known or private unit, unit
	Operands  *[2]RPN // values, not pointers, so that none can be missing
}

// IsOperand reports whether r is an operand, not an operator.
func (r *RPN) IsOperand() bool { return r.Operands == nil }

// HasResultSet reports whether an operand of the query is a result set.
func (r *RPN) HasResultSet() bool {
	if r.IsOperand() {
		return r.ResultSet != ""
	}
	return r.Operands[0].HasResultSet() || r.Operands[1].HasResultSet()
}

// addAttribute adds an attribute to every operand below r that has none of the same type and set.
func (r *RPN) addAttribute(a Attribute) error {
	if !r.IsOperand() {
		if err := r.Operands[0].addAttribute(a); err != nil {
			return err
		}
		return r.Operands[1].addAttribute(a)
	}
	for _, present := range r.Attributes {
		if present.Type == a.Type && present.Set == a.Set {
			return nil
		}
	}
	if len(r.Attributes) >= MaxDepth {
		return badAttribute.withDetails(-1, "more than %d attributes of one term", MaxDepth)
	}
	r.Attributes = append([]Attribute{a}, r.Attributes...)
	return nil
}

// checkBounds returns an error if the query exceeds a bound of ParsePQF, by which a node's connection reads its text.
func (r *RPN) checkBounds() error {
	nodes := 0
	if depth := r.measure(&nodes); depth > MaxDepth || nodes > MaxNodes {
		return tooComplex.withDetails(-1, "%d parts, %d deep; %d and %d at most", nodes, depth, MaxNodes, MaxDepth)
	}
	if size := len(r.PQF()); size > MaxText {
		return tooComplex.withDetails(-1, "%d bytes as PQF, %d at most", size, MaxText)
	}
	return nil
}

// measure adds the number of the query's operands and operators to nodes, and returns how deep its operators are nested.
func (r *RPN) measure(nodes *int) (depth int) {
	*nodes++
	if r.IsOperand() {
		return 0
	}
	return 1 + max(r.Operands[0].measure(nodes), r.Operands[1].measure(nodes))
}

// join returns the operands, of which there is at least one, joined by an associative operator into a tree that is as flat as can be: a long
// list of alternatives does not exceed MaxDepth.
func join(op Op, operands []RPN) *RPN {
	if len(operands) == 1 {
		return &operands[0]
	}
	half := (len(operands) + 1) / 2
	return &RPN{Op: op, Operands: &[2]RPN{*join(op, operands[:half]), *join(op, operands[half:])}}
}

// attributeValue returns the value of the Bib-1 attribute of a type, or 0 if there is none.
func (r *RPN) attributeValue(kind int) int {
	for _, a := range r.Attributes {
		if a.Type == kind && (a.Set == "" || a.Set == Bib1) {
			return a.Value
		}
	}
	return 0
}
