package query

// This file translates Type-1 queries into the tree of CQL queries.

import (
	"cmp"
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
	switch {
	case !r.IsOperand():
		return r.toBoolean()
	case r.ResultSet == "":
		return r.toClause()
	case !utf8.ValidString(r.ResultSet):
		return nil, badResultSet.withDetails(-1, "not UTF-8: %.40q", r.ResultSet)
	}
	return &Node{ResultSet: r.ResultSet}, nil
}

// Attribute values that stand for all records, whatever the term is.
const (
	useAnyRecord          = 1036
	relationAlwaysMatches = 103
)

// toClause translates a term and its attributes.
func (r *RPN) toClause() (*Node, error) {
	if err := r.checkAttributes(); err != nil {
		return nil, err
	}
	if r.attributeValue(Relation) == relationAlwaysMatches || r.attributeValue(Use) == useAnyRecord {
		return &Node{Index: "cql.allRecords", Relation: "=", Term: "1"}, nil
	}
	n := &Node{Relation: "="}
	for _, translate := range []func(*Node) error{r.translateUse, r.translateRelation, r.translateStructure, r.translateTerm} {
		if err := translate(n); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (r *RPN) translateUse(n *Node) error {
	use := cmp.Or(r.attributeValue(Use), useAttribute(""))
	for _, u := range useAttributes {
		if u.use == use {
			n.Index = u.index
			return nil
		}
	}
	return badIndex.withDetails(-1, "use attribute %d", use)
}

func (r *RPN) translateRelation(n *Node) error {
	switch relation := r.attributeValue(Relation); relation {
	case 0, 3:
	case 1, 2, 4, 5, 6:
		n.Relation = []string{"", "<", "<=", "=", ">=", ">", "<>"}[relation]
	case 100, 101, 102:
		n.Modifiers = append(n.Modifiers, Modifier{Name: []string{"fuzzy", "stem", "relevant"}[relation-100]})
	default:
		return badRelation.withDetails(-1, "relation attribute %d", relation)
	}
	return nil
}

// translateStructure translates the attributes for structure, completeness and position, which together say what the term has to match.
func (r *RPN) translateStructure(n *Node) error {
	completeness := r.attributeValue(Completeness)
	if completeness > 3 {
		return badCompleteness.withDetails(-1, "completeness attribute %d", completeness)
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
		return badModifier.withDetails(-1, "structure attribute %d", structure)
	}
	if position := r.attributeValue(Position); position > 1 && position != 3 || position == 1 && !whole {
		return badPosition.withDetails(-1, "position attribute %d", position)
	}
	return nil
}

func (r *RPN) translateTerm(n *Node) error {
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
		return badMaskingCharacter.withDetails(-1, "truncation attribute %d", truncation)
	}
	if r.Term == "" {
		return emptyTerm.withDetails(-1, "%s", n.Index)
	}
	if !utf8.ValidString(r.Term) {
		return malformedTerm.withDetails(-1, "not UTF-8: %.40q", r.Term)
	}
	return nil
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
