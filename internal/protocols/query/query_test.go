package query

import (
	"errors"
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes rapid generate the same queries in each run; -rapid.seed on the command line overrides it.
func init() { flag.Set("rapid.seed", "1") }

// Queries that the published grammar allows are parsed, printed in a canonical form, and parsed again to the same query.
func TestCQL(t *testing.T) {
	for text, want := range map[string]string{
		`cat`:                                       `cat`,
		`dc.title = "a cat"`:                        `dc.title = "a cat"`,
		`dc.title ANY "a b"`:                        `dc.title any "a b"`,
		`a and b or c`:                              `a and b or c`,
		`a and (b or c)`:                            `a and (b or c)`,
		`(((a)))`:                                   `a`,
		`title=/stem/rel.algorithm=x y`:             `title = /stem /rel.algorithm = x y`,
		`a prox/distance<=3/unit=word b`:            `a prox /distance <= 3 /unit = word b`,
		`> dc = "info:srw/1" dc.title = x`:          `> dc = "info:srw/1" dc.title = x`,
		`x sortby dc.date/sort.descending dc.title`: `x sortby dc.date /sort.descending dc.title`,
		`cql.resultSetId = "7 a"`:                   `cql.resultSetId = "7 a"`,
		`"and" AND "say \"so\""`:                    `"and" and "say \"so\""`,
		`dc.date >= 1990`:                           `dc.date >= 1990`,
		`""`:                                        `""`,
	} {
		q, err := ParseCQL(text)
		if err != nil || q.CQL() != want {
			t.Errorf("%s: %v, %v", text, q, err)
			continue
		}
		if again, err := ParseCQL(q.CQL()); err != nil || again.CQL() != want {
			t.Errorf("%s printed as %s parses as %v, %v", text, q.CQL(), again, err)
		}
	}
}

// A query that the grammar does not allow, or that exceeds a bound, is a *Fault with its SRU diagnostic.
func TestBadCQL(t *testing.T) {
	deep := strings.Repeat("(", 100) + "a" + strings.Repeat(")", 100)
	for text, code := range map[string]int{"": 10, "(a": 10, "a)": 10, "a and": 10, "and": 10, `"a`: 10, "a =": 10, "a = and": 10, "a / b": 10,
		"a sortby": 10, "> = x a": 10, "a\xff": 10, deep: 38, strings.Repeat("a or ", 2000) + "a": 38, strings.Repeat("x", MaxText+1): 38} {
		_, err := ParseCQL(text)
		var f *Fault
		if !errors.As(err, &f) || f.SRU != code || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: %v", text, err)
		}
	}
}

func TestTranslation(t *testing.T) {
	for text, want := range map[string]string{
		`cat`:                       `@attr 1=1016 @attr 2=3 "cat"`,
		`dc.title = "a cat"`:        `@attr 1=4 @attr 2=3 @attr 4=6 "a cat"`,
		`title adj "a cat"`:         `@attr 1=4 @attr 2=3 @attr 4=1 "a cat"`,
		`dc.title == "a cat"`:       `@attr 1=4 @attr 2=3 @attr 3=1 @attr 4=1 @attr 6=3 "a cat"`,
		`dc.title all "a cat"`:      `@and @attr 1=4 @attr 2=3 "a" @attr 1=4 @attr 2=3 "cat"`,
		`dc.creator = sm* not b`:    `@not @attr 1=1003 @attr 2=3 @attr 5=1 "sm" @attr 1=1016 @attr 2=3 "b"`,
		`dc.date >= 1990`:           `@attr 1=31 @attr 2=4 "1990"`,
		`a prox/unit=sentence b`:    `@prox 0 1 0 2 1 3 @attr 1=1016 @attr 2=3 "a" @attr 1=1016 @attr 2=3 "b"`,
		`cql.resultSetId = s and a`: `@and @set "s" @attr 1=1016 @attr 2=3 "a"`,
		`dc.title = a\*b`:           `@attr 1=4 @attr 2=3 "a*b"`,
		`dc.title =/stem x`:         `@attr 1=4 @attr 2=101 "x"`,
	} {
		q, err := ParseCQL(text)
		if err != nil {
			t.Fatal(text, err)
		}
		r, err := q.RPN()
		if err != nil || r.PQF() != want {
			t.Errorf("%s: %v, %v", text, r, err)
			continue
		}
		_, again, err := ParsePQF(want)
		if err != nil || again.PQF() != want {
			t.Errorf("%s parses as %v, %v", want, again, err)
		}
		back, err := r.Query()
		if err != nil {
			t.Errorf("%s: %v", want, err)
			continue
		}
		if round, err := back.RPN(); err != nil || round.PQF() != want {
			t.Errorf("%s translated to CQL as %s and back to %v, %v", want, back.CQL(), round, err)
		}
	}
}

// A query that the other language cannot express is a *Fault with a diagnostic of both protocols and details.
func TestUntranslatable(t *testing.T) {
	for text, code := range map[string]int{"foo.bar = x": 114, "dc.title within x": 117, "dc.title =/odd x": 118, "a and/rel.x b": 110,
		"dc.title = a?b": 120, "dc.title = a*b": 120, `dc.title = ""`: 125, "a sortby dc.title": 207, "a prox/unit=mile b": 129} {
		q, err := ParseCQL(text)
		if err != nil {
			t.Fatal(text, err)
		}
		_, err = q.RPN()
		var f *Fault
		if !errors.As(err, &f) || f.Bib1 != code || f.Details == "" || f.SRU == 0 {
			t.Errorf("%s: %v", text, err)
		}
	}
	for text, code := range map[string]int{"@attr 1=9999 x": 114, "@attr 2=99 x": 117, "@attr 4=77 x": 118, "@attr 5=101 x": 120, "@attr 3=2 x": 119,
		"@attr 1.2.3 1=4 x": 121, "@attr 1=0 x": 114, "@attr 2=0 x": 117, "@attr 3=0 x": 119, "@attr 4=0 x": 118, "@attr 5=0 x": 120,
		"@attr 6=0 x": 122, "@attr 6=4 x": 122, "@attr 9=1 x": 113, "@attr 1=title x": 113, `""`: 125, "@prox 1 1 1 1 k 2 a b": 129} {
		_, r, err := ParsePQF(text)
		if err == nil {
			_, err = r.Query()
		}
		var f *Fault
		if !errors.As(err, &f) || f.Bib1 != code {
			t.Errorf("%s: %v", text, err)
		}
	}
	for _, text := range []string{"", "@and a", "@foo a", "a b", `"a`, "@attr x=1 a", "@attr 1= a", "@set", strings.Repeat("@and a ", 100) + "a"} {
		if _, r, err := ParsePQF(text); err == nil {
			t.Errorf("%q parsed as %s, want an error", text, r.PQF())
		}
	}
}

// drawNode generates a query tree of at most the given depth.
func drawNode(t *rapid.T, depth int) *Node {
	if depth > 0 && rapid.Bool().Draw(t, "boolean") {
		op := Op(rapid.IntRange(0, 2).Draw(t, "op"))
		return &Node{Op: op, Operands: &[2]Node{*drawNode(t, depth-1), *drawNode(t, depth-1)}}
	}
	n := &Node{Term: rapid.StringMatching(`[a-zA-Z0-9 "()=<>/é.*-]{0,12}`).Draw(t, "term")}
	if rapid.Bool().Draw(t, "indexed") {
		n.Index, n.Relation = useAttributes[rapid.IntRange(0, len(useAttributes)-1).Draw(t, "index")].index, rapid.SampledFrom([]string{"=", "==", "<", "any", "all", "adj"}).Draw(t, "relation")
		if rapid.Bool().Draw(t, "modified") {
			n.Modifiers = []Modifier{{Name: "stem"}, {Name: "x", Comparison: "<=", Value: "a b"}}
		}
	}
	return n
}

// Any generated query prints as CQL that parses and prints as the same text.
func TestPrintedQueryParsesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Query{Root: drawNode(t, 4)}
		text := q.CQL()
		again, err := ParseCQL(text)
		if err != nil || again.CQL() != text {
			t.Fatalf("%s: %v, %v", text, again, err)
		}
	})
}

func FuzzCQL(f *testing.F) {
	f.Add(`dc.title any/stem "a b" and (c or d) sortby x/y>z`)
	f.Add(`> a = b > c x prox/distance<3 "\"" `)
	f.Fuzz(func(t *testing.T, text string) {
		q, err := ParseCQL(text)
		if err != nil {
			return
		}
		again, err := ParseCQL(q.CQL())
		if err != nil || again.CQL() != q.CQL() {
			t.Fatalf("%q printed as %q: %v", text, q.CQL(), err)
		}
		if r, err := q.RPN(); err == nil {
			if _, back, err := ParsePQF(r.PQF()); err != nil || back.PQF() != r.PQF() {
				t.Fatalf("%q translated to %q, which parses with error %v", text, r.PQF(), err)
			}
		}
	})
}

func FuzzPQF(f *testing.F) {
	f.Add(`@attrset bib-1 @and @attr 1=4 "a b" @or @set x @prox 0 1 0 2 k 2 c d`)
	f.Fuzz(func(t *testing.T, text string) {
		_, r, err := ParsePQF(text)
		if err != nil {
			return
		}
		if _, back, err := ParsePQF(r.PQF()); err != nil || back.PQF() != r.PQF() {
			t.Fatalf("%q printed as %q: %v", text, r.PQF(), err)
		}
		r.Query()
	})
}
