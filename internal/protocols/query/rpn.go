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

// attributeValue returns the value of the Bib-1 attribute of a type, or 0 if there is none.
func (r *RPN) attributeValue(kind int) int {
	for _, a := range r.Attributes {
		if a.Type == kind && (a.Set == "" || a.Set == Bib1) {
			return a.Value
		}
	}
	return 0
}
