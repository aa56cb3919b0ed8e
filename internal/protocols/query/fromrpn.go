package query

// This file translates Type-1 queries into the tree of CQL queries.

import (
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Query translates a Type-1 query to CQL. Its errors are of type *Fault.
func (r *RPN) Query() (*Query, error) {
	if err := r.checkBounds(); err != nil {
		return nil, err
	}
	root, err := r.toNode()
	if err != nil {
		return nil, err
	}
	return &Query{Root: root}, nil
}

func (r *RPN) toNode() (*Node, error) {
	if !r.IsOperand() {
		return r.toBoolean()
	}
	if r.ResultSet != "" {
		if !utf8.ValidString(r.ResultSet) {
			return nil, badResultSet.withDetails(-1, "not UTF-8: %.40q", r.ResultSet)
		}
		return &Node{ResultSet: r.ResultSet}, nil
	}
	if err := r.checkAttributes(); err != nil {
		return nil, err
	}
	n := &Node{Relation: "="}
	use := r.attributeValue(Use)
	if r.attributeValue(Relation) == 103 || use == 1036 {
		return &Node{Index: "cql.allRecords", Relation: "=", Term: "1"}, nil
	}
	row := slices.IndexFunc(useAttributes, func(u struct {
		index string
		use   int
	}) bool {
		return u.use == use || use == 0 && u.use == 1016
	})
	if row < 0 {
		return nil, badIndex.withDetails(-1, "use attribute %d", use)
	}
	n.Index = useAttributes[row].index
	switch relation := r.attributeValue(Relation); relation {
	case 0, 3:
	case 1, 2, 4, 5, 6:
		n.Relation = []string{"", "<", "<=", "=", ">=", ">", "<>"}[relation]
	case 100, 101, 102:
		n.Modifiers = append(n.Modifiers, Modifier{Name: []string{"fuzzy", "stem", "relevant"}[relation-100]})
	default:
		return nil, badRelation.withDetails(-1, "relation attribute %d", relation)
	}
	completeness := r.attributeValue(Completeness)
	if completeness > 3 {
		return nil, badCompleteness.withDetails(-1, "completeness attribute %d", completeness)
	}
	whole := completeness == 3 || completeness == 2
	switch structure := r.attributeValue(Structure); {
	case structure == 0 || structure == 6:
	case structure == 1 && whole:
		n.Relation = "=="
	case structure == 1:
		n.Relation = "adj"
	case structure == 2:
		n.Modifiers = append(n.Modifiers, Modifier{Name: "word"})
	case structure == 108:
		n.Modifiers = append(n.Modifiers, Modifier{Name: "string"})
	case structure == 5 || structure == 4 || structure == 100:
		n.Modifiers = append(n.Modifiers, Modifier{Name: "isoDate"})
	default:
		return nil, badModifier.withDetails(-1, "structure attribute %d", structure)
	}
	if position := r.attributeValue(Position); position > 1 && position != 3 || position == 1 && !whole {
		return nil, badPosition.withDetails(-1, "position attribute %d", position)
	}
	n.Term = escapeTerm(r.Term)
	switch truncation := r.attributeValue(Truncation); truncation {
	case 0, 100:
	case 1:
		n.Term += "*"
	case 2:
		n.Term = "*" + n.Term
	case 3:
		n.Term = "*" + n.Term + "*"
	default:
		return nil, badMaskingCharacter.withDetails(-1, "truncation attribute %d", truncation)
	}
	if r.Term == "" {
		return nil, emptyTerm.withDetails(-1, "%s", n.Index)
	}
	if !utf8.ValidString(r.Term) {
		return nil, malformedTerm.withDetails(-1, "not UTF-8: %.40q", r.Term)
	}
	return n, nil
}

// checkAttributes returns an error unless each attribute is of Bib-1, has a value, and is the only one of its type.
func (r *RPN) checkAttributes() error {
	var given [Completeness + 1]bool
	for _, a := range r.Attributes {
		switch {
		case a.Set != "" && a.Set != Bib1:
			return badAttributeSet.withDetails(-1, "%.60s", a.Set)
		case a.Text != "" || a.Type < Use || a.Type > Completeness:
			return badAttribute.withDetails(-1, "%d=%d%.40s", a.Type, a.Value, a.Text)
		case a.Value < 1: // no attribute has such a value, and 0 would count as not given
			return zeroAttributes[a.Type].withDetails(-1, "%d=%d", a.Type, a.Value)
		case given[a.Type]:
			return badCombination.withDetails(-1, "two attributes of type %d", a.Type)
		}
		given[a.Type] = true
	}
	return nil
}

// toBoolean translates an operator and its operands.
func (r *RPN) toBoolean() (*Node, error) {
	n := &Node{Op: r.Op, Operands: &[2]Node{}}
	if r.Op == Prox {
		var err error
		if n.Modifiers, err = r.proximityModifiers(); err != nil {
			return nil, err
		}
	}
	for i := range r.Operands {
		operand, err := r.Operands[i].toNode()
		if err != nil {
			return nil, err
		}
		n.Operands[i] = *operand
	}
	return n, nil
}

// proximityModifiers translates the parameters of a proximity operator.
func (r *RPN) proximityModifiers() ([]Modifier, error) {
	if len(r.Proximity) != 6 || r.Proximity[0] != 0 || r.Proximity[4] != 1 || r.Proximity[5] < 1 || r.Proximity[5] > 8 {
		return nil, badProximity.withDetails(-1, "%v", r.Proximity)
	}
	names := []string{"<", "<=", "=", ">=", ">", "<>"}
	row := r.Proximity[3] - 1
	if row < 0 || row >= len(names) {
		return nil, badProximity.withDetails(-1, "relation %d", r.Proximity[3])
	}
	order := "unordered"
	if r.Proximity[2] == 1 {
		order = "ordered"
	}
	units := []string{"", "character", "word", "sentence", "paragraph", "section", "chapter", "document", "element"}
	return []Modifier{{"distance", names[row], strconv.Itoa(r.Proximity[1])}, {order, "", ""}, {"unit", "=", units[r.Proximity[5]]}}, nil
}

// escapeTerm escapes the characters that have a meaning of their own in a CQL term.
func escapeTerm(term string) string {
	var b strings.Builder
	for i := range len(term) {
		if strings.IndexByte(`\*?^`, term[i]) >= 0 {
			b.WriteByte('\\')
		}
		b.WriteByte(term[i])
	}
	return b.String()
}

// Indexes returns the names of the indexes that have a use attribute.
func Indexes() (all []string) {
	for _, u := range useAttributes {
		all = append(all, u.index)
	}
	return all
}
