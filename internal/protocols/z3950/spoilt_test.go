package z3950

// This file spoils valid messages element by element, so that they stay well-formed BER, and takes what decodes to its last user.

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/catalogue"
)

// tree is an element with its children, of which a primitive has none.
type tree struct {
	ber.Element
	children []*tree
}

func parseTree(t testing.TB, e ber.Element) *tree {
	t.Helper()
	n := &tree{Element: e}
	if !e.Constructed {
		return n
	}
	if err := e.Each(func(x *ber.Element) error {
		n.children = append(n.children, parseTree(t, *x))
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *tree) encode() []byte {
	body := n.Body
	if n.Constructed {
		body = nil
		for _, c := range n.children {
			body = append(body, c.encode()...)
		}
	}
	return ber.AppendElement(nil, n.Class, n.Tag, n.Constructed, body)
}

// elements returns the element and all below it, in their order.
func (n *tree) elements() []*tree {
	all := []*tree{n}
	for _, c := range n.children {
		all = append(all, c.elements()...)
	}
	return all
}

// A spoiler changes one child of an element. other is any element of a message; it is not used unless takesOther is set.
type spoiler struct {
	name       string
	takesOther bool
	apply      func(parent *tree, child int, other *tree)
}

var spoilers = []spoiler{
	{"dropped", false, func(p *tree, i int, _ *tree) { p.replaceChild(i) }},
	{"doubled", false, func(p *tree, i int, _ *tree) { p.replaceChild(i, p.children[i], p.children[i]) }},
	{"emptied", false, func(p *tree, i int, _ *tree) { p.replaceChild(i, &tree{Element: emptied(p.children[i].Element)}) }},
	{"moved", false, func(p *tree, i int, _ *tree) {
		moved := p.children[i]
		p.replaceChild(i)
		p.replaceChild(len(p.children), moved)
	}},
	{"retagged", true, func(p *tree, i int, other *tree) {
		n := *p.children[i]
		n.Class, n.Tag = other.Class, other.Tag
		p.replaceChild(i, &n)
	}},
	{"replaced", true, func(p *tree, i int, other *tree) { p.replaceChild(i, other) }},
}

// replaceChild puts any number of elements in the place of a child, or behind the last. The slice is copied, as other elements may share it.
func (n *tree) replaceChild(i int, by ...*tree) {
	n.children = slices.Concat(n.children[:i], by, n.children[min(i+1, len(n.children)):])
}

func emptied(e ber.Element) ber.Element {
	e.Body = nil
	return e
}

// decodeTestMessage returns the tree of one of the test messages.
func decodeTestMessage(t testing.TB, i int) *tree {
	t.Helper()
	messages := testMessages(t)
	e, _, err := ber.Next(Encode(messages[i%len(messages)]))
	if err != nil {
		t.Fatal(err)
	}
	return parseTree(t, e)
}

// checkDecodes takes a message that may be spoilt to its last user: it is an error, or it encodes to a message that decodes to the same one,
// and a search's query becomes a statement that a node's connection parses back to the same query, and CQL.
func checkDecodes(b []byte) error {
	m, err := Decode(b)
	if err != nil {
		return nil
	}
	if again, err := Decode(Encode(m)); err != nil || !reflect.DeepEqual(m, again) {
		return fmt.Errorf("%x\n%+v\ndecodes after encoding as %+v, error %v", b, m, again, err)
	}
	search, is := m.(*SearchRequest)
	if !is {
		return nil
	}
	q, err := search.Query.Query()
	if err != nil {
		return nil
	}
	q.CQL()
	want := catalogue.Want{Depth: 1, Syntax: "marc21", Query: search.Query}
	if back, err := catalogue.ParseStatement(want.Statement()); err != nil || !reflect.DeepEqual(back.Query, search.Query) {
		return fmt.Errorf("%x\nstatement %q parses as %+v, error %v", b, want.Statement(), back.Query, err)
	}
	return nil
}

// Guards against a broker that ends at a message whose elements are well-formed but missing, doubled or misplaced.
func TestSpoiltElements(t *testing.T) {
	for i := range testMessages(t) {
		others := decodeTestMessage(t, i).elements()
		for parent, element := range others {
			for child := range element.children {
				for _, s := range spoilers {
					for n, other := range others {
						if n > 0 && !s.takesOther {
							break
						}
						message := decodeTestMessage(t, i)
						s.apply(message.elements()[parent], child, other)
						if err := checkDecodes(message.encode()); err != nil {
							t.Fatalf("message %d, child %d of element %d %s (%d): %v", i, child, parent, s.name, n, err)
						}
					}
				}
			}
		}
	}
}

// FuzzSpoiltElements spoils elements of a valid message as often as the input says: a group of four bytes chooses an element, one of its
// children, how it is spoilt and another element. Random bytes rarely stay well-formed; these always do.
func FuzzSpoiltElements(f *testing.F) {
	for i := range testMessages(f) {
		f.Add(byte(i), []byte{0, 0, 0, 0, 3, 1, 5, 7})
	}
	f.Fuzz(func(t *testing.T, message byte, changes []byte) {
		root := decodeTestMessage(t, int(message))
		for change := range slices.Chunk(changes[:min(len(changes), 40)], 4) {
			others := decodeTestMessage(t, int(message)).elements()
			all := root.elements()
			parent := all[int(change[0])%len(all)]
			if len(change) < 4 || len(parent.children) == 0 || len(all) > 500 {
				continue
			}
			spoilers[int(change[2])%len(spoilers)].apply(parent, int(change[1])%len(parent.children), others[int(change[3])%len(others)])
		}
		if err := checkDecodes(root.encode()); err != nil {
			t.Fatal(err)
		}
	})
}
