package query

// This file translates CQL to Type-1, by the Bib-1 mappings that the Library of Congress publishes for the context sets cql, dc, rec
// and bath. A part of a query that has no translation is an error that names it; nothing is dropped.

import (
	"slices"
	"strings"
)

// useAttributes maps CQL indexes to Bib-1 use attributes. The first index of an attribute is the one that the attribute translates to.
var useAttributes = []struct {
	index string
	use   int
}{
	{"cql.serverChoice", 1016}, {"cql.anywhere", 1016}, {"cql.keywords", 1016}, {"dc.title", 4}, {"dc.creator", 1003}, {"dc.author", 1003},
	{"dc.subject", 21}, {"dc.identifier", 1007}, {"dc.date", 31}, {"dc.publisher", 1018}, {"dc.description", 62}, {"dc.language", 54},
	{"dc.type", 1031}, {"dc.format", 1034}, {"dc.contributor", 1003}, {"rec.identifier", 12}, {"rec.id", 12}, {"rec.lastModificationDate", 1012},
	{"rec.creationDate", 1011}, {"bath.isbn", 7}, {"bath.issn", 8}, {"bath.lccn", 9}, {"bath.personalName", 1}, {"bath.corporateName", 2},
	{"bath.conferenceName", 3}, {"bath.uniformTitle", 6}, {"bath.keyTitle", 33}, {"bath.name", 1002}, {"bath.notes", 63},
}

func useAttribute(index string) int {
	if index == "" {
		index = "cql.serverChoice"
	}
	for _, u := range useAttributes {
		if equalFold(u.index, index) || !strings.Contains(index, ".") && equalFold(u.index, "dc."+index) {
			return u.use
		}
	}
	return 0
}

var relationAttributes = map[string]int{"<": 1, "<=": 2, "=": 3, ">=": 4, ">": 5, "<>": 6}

// RPN translates a query to Type-1. Its errors are of type *Fault.
func (q *Query) RPN() (*RPN, error) {
	if len(q.Sort) > 0 {
		return nil, badSort.withDetails(-1, "sortby %.40q: Type-1 has no order; Z39.50 sorts result sets", q.Sort[0].Index)
	}
	r, err := q.Root.toRPN()
	if err != nil {
		return nil, err
	}
	if err := r.checkBounds(); err != nil {
		return nil, err
	}
	return r, nil
}

func (n *Node) toRPN() (*RPN, error) {
	if !n.IsClause() {
		if n.Op == Prox {
			return n.proxToRPN()
		}
		if len(n.Modifiers) > 0 {
			return nil, badBoolean.withDetails(-1, "%s/%.40s", n.Op, n.Modifiers[0].Name)
		}
		if n.Op == Not {
			return n.joinOperands(&RPN{Op: n.Op})
		}
		operands, err := n.appendOperands(n.Op, nil)
		if err != nil {
			return nil, err
		}
		return join(n.Op, operands), nil
	}
	if n.ResultSet != "" {
		return &RPN{ResultSet: n.ResultSet}, nil
	}
	if equalFold(n.Index, "cql.allRecords") {
		return &RPN{Attributes: []Attribute{{Type: Use, Value: 1036}, {Type: Relation, Value: 103}}, Term: "1"}, nil
	}
	use := useAttribute(n.Index)
	if use == 0 {
		return nil, badIndex.withDetails(-1, "%.60s", n.Index)
	}
	r := &RPN{Attributes: []Attribute{{Type: Use, Value: use}}}
	add := func(kind, value int) { r.Attributes = append(r.Attributes, Attribute{Type: kind, Value: value}) }
	words := strings.Fields(n.Term)
	switch relation := n.Relation; relation {
	case "", "=", "scr":
		add(Relation, 3)
		if len(words) > 1 {
			add(Structure, 6) // word list
		}
	case "==", "exact":
		add(Relation, 3)
		add(Position, 1)
		add(Structure, 1)
		add(Completeness, 3)
	case "adj":
		add(Relation, 3)
		add(Structure, 1)
	case "any", "all":
		if len(words) > 1 {
			return n.expandWords(words, map[string]Op{"any": Or, "all": And}[relation])
		}
		add(Relation, 3)
	default:
		value := relationAttributes[relation]
		if value == 0 {
			return nil, badRelation.withDetails(-1, "%.40s", relation)
		}
		add(Relation, value)
	}
	for _, m := range n.Modifiers {
		switch strings.ToLower(m.Name) {
		case "relevant", "rel.relevant":
			r.setAttribute(Relation, 102)
		case "stem", "cql.stem":
			r.setAttribute(Relation, 101)
		case "phonetic", "fuzzy", "cql.fuzzy":
			r.setAttribute(Relation, 100)
		case "word", "cql.word":
			r.setAttribute(Structure, 2)
		case "string", "cql.string":
			r.setAttribute(Structure, 108)
		case "isodate", "cql.isodate":
			r.setAttribute(Structure, 5)
		default:
			return nil, badModifier.withDetails(-1, "%.40s", m.Name)
		}
	}
	term, truncation, err := parseMasks(n.Term)
	if err != nil {
		return nil, err
	}
	if r.Term = term; truncation > 0 {
		add(Truncation, truncation)
	}
	if term == "" {
		return nil, emptyTerm.withDetails(-1, "%.40s", n.Index)
	}
	return r, nil
}

// appendOperands translates the parts that an associative operator without modifiers joins, also over several of its nodes.
func (n *Node) appendOperands(op Op, all []RPN) ([]RPN, error) {
	if n.IsClause() || n.Op != op || len(n.Modifiers) > 0 {
		r, err := n.toRPN()
		if err != nil {
			return nil, err
		}
		return append(all, *r), nil
	}
	all, err := n.Operands[0].appendOperands(op, all)
	if err != nil {
		return nil, err
	}
	return n.Operands[1].appendOperands(op, all)
}

// joinOperands translates the operands of a boolean operator into those of the operator r.
func (n *Node) joinOperands(r *RPN) (*RPN, error) {
	r.Operands = &[2]RPN{}
	for i := range n.Operands {
		operand, err := n.Operands[i].toRPN()
		if err != nil {
			return nil, err
		}
		r.Operands[i] = *operand
	}
	return r, nil
}

func (r *RPN) setAttribute(kind, value int) {
	for i := range r.Attributes {
		if r.Attributes[i].Type == kind {
			r.Attributes[i].Value = value
			return
		}
	}
	r.Attributes = append(r.Attributes, Attribute{Type: kind, Value: value})
}

// expandWords joins one clause for each word by op, as Bib-1 has no attribute for the relations any and all.
func (n *Node) expandWords(words []string, op Op) (*RPN, error) {
	if len(words) > MaxNodes {
		return nil, tooComplex.withDetails(-1, "%d words", len(words))
	}
	var all []RPN
	for _, w := range words {
		clause, err := (&Node{Index: n.Index, Relation: "=", Term: w, Modifiers: n.Modifiers}).toRPN()
		if err != nil {
			return nil, err
		}
		all = append(all, *clause)
	}
	return join(op, all), nil
}

// parseMasks removes masking characters and escapes from a term and returns the truncation attribute: 1 for a trailing *, 2 for a
// leading one, 3 for both, 0 for none. Any other masking character is an error.
func parseMasks(term string) (plain string, truncation int, err error) {
	var b strings.Builder
	for i := 0; i < len(term); i++ {
		switch c := term[i]; {
		case c == '\\' && i+1 < len(term):
			i++
			b.WriteByte(term[i])
		case c == '*' && i == 0 && len(term) > 1:
			truncation |= 2
		case c == '*' && i == len(term)-1:
			truncation |= 1
		case c == '*' || c == '?' || c == '^':
			return "", 0, badMaskingCharacter.withDetails(-1, "%c in %.40q", c, term)
		default:
			b.WriteByte(c)
		}
	}
	return b.String(), truncation, nil
}

func (n *Node) proxToRPN() (*RPN, error) {
	proximity := []int{0, 1, 0, 2, 1, 2} // by default, adjacent words in any order
	for _, m := range n.Modifiers {
		switch strings.ToLower(m.Name) {
		case "distance":
			d := 0
			for _, c := range m.Value {
				if c < '0' || c > '9' || d > 1000 {
					return nil, badProximity.withDetails(-1, "distance %.20q", m.Value)
				}
				d = 10*d + int(c-'0')
			}
			relation := relationAttributes[m.Comparison]
			if relation == 0 || m.Value == "" {
				return nil, badProximity.withDetails(-1, "distance %s %.20q", m.Comparison, m.Value)
			}
			proximity[1], proximity[3] = d, relation
		case "ordered":
			proximity[2] = 1
		case "unordered":
			proximity[2] = 0
		case "unit":
			unit := slices.Index([]string{"", "character", "word", "sentence", "paragraph", "section", "chapter", "document", "element"}, m.Value)
			if unit < 1 {
				return nil, badProximity.withDetails(-1, "unit %.40q", m.Value)
			}
			proximity[5] = unit
		default:
			return nil, badProximity.withDetails(-1, "modifier %.40q", m.Name)
		}
	}
	return n.joinOperands(&RPN{Op: Prox, Proximity: proximity})
}
