package query

// This file owns Type-1 queries: the tree of Z39.50's RPN, and the text in which people write it (PQF, prefix query format). It
// must never know how one is encoded.

// Bib1 is the attribute set that queries here are in, as an object identifier.
const Bib1 = "1.2.840.10003.3.1"

// Types of attributes of Bib-1.
const (
	Use          = 1
	Relation     = 2
	Position     = 3
	Structure    = 4
	Truncation   = 5
	Completeness = 6
)

// Attribute is one property of a term.
type Attribute struct {
	Set   string // an object identifier; empty: the query's
	Type  int
	Value int
	Text  string // instead of Value, where it is complex
}

// RPN is a part of a Type-1 query: an operand if Left is nil.
type RPN struct {
	Attributes []Attribute
	Term       string
	ResultSet  string

	Op          Op
	Proximity   []int // of prox: exclusion, distance, ordered, relation, known or private unit, unit
	Left, Right *RPN
}

// IsOperand tells operands from operators.
func (r *RPN) IsOperand() bool { return r.Left == nil }

// addAttribute gives an attribute to all operands below that have none of its type.
func (r *RPN) addAttribute(a Attribute) error {
	if !r.IsOperand() {
		if err := r.Left.addAttribute(a); err != nil {
			return err
		}
		return r.Right.addAttribute(a)
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

// attributeValue is the value of an attribute of Bib-1; 0: it has none.
func (r *RPN) attributeValue(kind int) int {
	for _, a := range r.Attributes {
		if a.Type == kind && (a.Set == "" || a.Set == Bib1) {
			return a.Value
		}
	}
	return 0
}
