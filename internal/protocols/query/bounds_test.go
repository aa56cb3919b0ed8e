package query

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// alternatives returns the terms a0 to a(n-1), joined by a separator.
func alternatives(n int, separator string) string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("a%d", i))
	}
	return strings.Join(all, separator)
}

// Guards against a query that is accepted and then fails at every node, as its text can't be parsed there: it is translated to a text that
// parses back, or refused with a diagnostic.
func TestTranslatedQueryParsesBack(t *testing.T) {
	nested := strings.Repeat("(a and (b or ", 30) + "c" + strings.Repeat("))", 30)
	for name, c := range map[string]struct {
		cql     string
		refused bool
	}{
		"100 alternatives":         {alternatives(100, " or "), false},
		"300 alternatives":         {alternatives(300, " or "), false},
		"100 words":                {`dc.title all "` + alternatives(100, " ") + `"`, false},
		"400 words":                {`dc.title any "` + alternatives(400, " ") + `"`, false},
		"100 exclusions":           {alternatives(100, " not "), true},
		"600 words":                {`dc.title any "` + alternatives(600, " ") + `"`, true},
		"30000 words":              {`dc.title any "` + strings.Repeat("a ", 30_000) + `"`, true},
		"a term of 32760 quotes":   {`"` + strings.Repeat(`\"`, 32_760) + `"`, true},
		"60 operators, nested":     {nested, false},
		"alternatives of 40 lists": {strings.TrimSuffix(strings.Repeat("("+alternatives(8, " and ")+") or ", 40), " or "), false},
	} {
		q, err := ParseCQL(c.cql)
		if err != nil {
			t.Fatal(name, err)
		}
		r, err := q.RPN()
		var f *Fault
		if c.refused && (!errors.As(err, &f) || f.SRU != 38 || f.Bib1 != 6) || !c.refused && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil {
			continue
		}
		if _, back, err := ParsePQF(r.PQF()); err != nil || !reflect.DeepEqual(back, r) {
			t.Errorf("%s: parsed back with error %v", name, err)
		}
	}
}

// Guards against a Type-1 query with many attributes, or of large terms, that is accepted and then fails at every node.
func TestTypeOneQueryParsesBack(t *testing.T) {
	operand := RPN{Attributes: []Attribute{{Type: Use, Value: 4}, {Type: Relation, Value: 3}, {Type: Structure, Value: 2}}, Term: "a"}
	var many []RPN
	for range 400 {
		many = append(many, operand)
	}
	deep := &operand
	for range MaxDepth {
		deep = &RPN{Op: Not, Operands: &[2]RPN{*deep, operand}}
	}
	for name, c := range map[string]struct {
		query   *RPN
		refused bool
	}{
		"400 operands of 3 attributes": {join(Or, many), false},
		"64 operators deep":            {deep, false},
		"65 operators deep":            {&RPN{Op: Not, Operands: &[2]RPN{*deep, operand}}, true},
		"a term of 70000 bytes":        {&RPN{Term: strings.Repeat("a", 70_000)}, true},
	} {
		_, err := c.query.Query()
		var f *Fault
		if c.refused && (!errors.As(err, &f) || f.Bib1 != 6) || !c.refused && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, back, err := ParsePQF(c.query.PQF()); !c.refused && (err != nil || !reflect.DeepEqual(back, c.query)) {
			t.Errorf("%s: parsed back with error %v", name, err)
		}
	}
}
