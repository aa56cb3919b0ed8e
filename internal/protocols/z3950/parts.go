package z3950

// This file decodes Type-1 queries. A query that could be read in two ways, or that lacks something, is an error: what runs is what was sent.

import (
	"errors"
	"fmt"
	"strconv"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

// readQuery decodes a query of Type-1, tag [1], or Type-101, tag [101], which has the same form. Other types are an error.
func (m *SearchRequest) readQuery(e *ber.Element) error {
	x, err := onlyChild(e)
	if err != nil {
		return err
	}
	if !x.IsContext(1) && !x.IsContext(101) {
		return fmt.Errorf("query of type %d", x.Tag)
	}
	nodes := 0
	err = x.Each(func(y *ber.Element) (err error) {
		switch {
		case y.IsUniversal(ber.TagOID) && m.AttributeSet == "":
			m.AttributeSet, err = y.OID()
		case m.Query == nil:
			m.Query, err = readRPN(y, 0, &nodes)
		default:
			err = errors.New("more than an attribute set and a query")
		}
		return err
	})
	if err == nil && (m.AttributeSet == "" || m.Query == nil) {
		err = errors.New("an attribute set and a query are required")
	}
	return err
}

// readRPN decodes a part of a query and the parts below it.
func readRPN(e *ber.Element, depth int, nodes *int) (*query.RPN, error) {
	if *nodes++; *nodes > query.MaxNodes || depth > query.MaxDepth {
		return nil, fmt.Errorf("more than %d parts, or %d deep", query.MaxNodes, query.MaxDepth)
	}
	r := &query.RPN{}
	switch {
	case e.IsContext(0):
		return r, readOperand(e, r)
	case e.IsContext(1):
		return r, readOperation(e, r, depth, nodes)
	}
	return nil, fmt.Errorf("part %d", e.Tag)
}

// readOperation decodes two operands and the operator that joins them.
func readOperation(e *ber.Element, r *query.RPN, depth int, nodes *int) error {
	var operands []query.RPN
	operators := 0
	err := e.Each(func(x *ber.Element) error {
		if x.IsContext(46) {
			operators++
			return readOperator(x, r)
		}
		operand, err := readRPN(x, depth+1, nodes)
		if err != nil {
			return err
		}
		operands = append(operands, *operand)
		return nil
	})
	if err != nil {
		return err
	}
	if len(operands) != 2 || operators != 1 {
		return fmt.Errorf("%d operands and %d operators instead of 2 and 1", len(operands), operators)
	}
	r.Operands = (*[2]query.RPN)(operands)
	return nil
}

// readOperand decodes an operand: the name of a result set, or a term with its attributes.
func readOperand(e *ber.Element, r *query.RPN) error {
	x, err := onlyChild(e)
	if err != nil {
		return err
	}
	switch {
	case x.IsContext(102):
		return readAttributesAndTerm(&x, r)
	case x.IsContext(31):
		b, err := x.Bytes()
		if err == nil && len(b) == 0 {
			err = errors.New("a result set without a name")
		}
		r.ResultSet = string(b)
		return err
	}
	return fmt.Errorf("operand %d", x.Tag)
}

func readAttributesAndTerm(e *ber.Element, r *query.RPN) error {
	lists, terms := 0, 0
	err := e.Each(func(x *ber.Element) (err error) {
		if x.IsContext(44) {
			lists++
			return readAttributes(x, r)
		}
		terms++
		r.Term, err = readTerm(x)
		return err
	})
	if err == nil && (lists > 1 || terms != 1) {
		err = fmt.Errorf("%d lists of attributes and %d terms instead of 1 and 1", lists, terms)
	}
	return err
}

func readAttributes(e *ber.Element, r *query.RPN) error {
	return e.Each(func(x *ber.Element) error {
		a, err := readAttribute(x)
		if r.Attributes = append(r.Attributes, a); len(r.Attributes) > query.MaxDepth {
			err = errors.New("too many attributes")
		}
		return err
	})
}

func readAttribute(e *ber.Element) (a query.Attribute, err error) {
	var members presence
	err = e.Each(func(x *ber.Element) (err error) {
		if err = members.add(x); err != nil {
			return err
		}
		switch {
		case x.IsContext(1):
			a.Set, err = x.OID()
		case x.IsContext(120):
			a.Type, err = x.Int()
		case x.IsContext(121):
			a.Value, err = x.Int()
		case x.IsContext(224): // complex value: a list of numbers or strings, which is not decoded
			a.Text = "complex"
		default:
			err = fmt.Errorf("element %d of an attribute", x.Tag)
		}
		return err
	})
	if err == nil {
		err = members.require(120)
	}
	if err == nil && members.has(121) == members.has(224) {
		err = errors.New("an attribute has one value")
	}
	return a, err
}

func readTerm(e *ber.Element) (string, error) {
	switch {
	case e.IsContext(45), e.IsContext(216): // general, characterString
		b, err := e.Bytes()
		return string(b), err
	case e.IsContext(215): // numeric
		n, err := e.Int()
		return strconv.Itoa(n), err
	}
	return "", fmt.Errorf("term of type %d", e.Tag)
}
