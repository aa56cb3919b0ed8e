package z3950

// This file decodes the operators of Type-1 queries.

import (
	"fmt"

	"flaxfront/internal/protocols/ber"
	"flaxfront/internal/protocols/query"
)

func readOperator(e *ber.Element, r *query.RPN) error {
	x, err := onlyChild(e)
	if err != nil {
		return err
	}
	switch {
	case x.IsContext(0):
		r.Op = query.And
	case x.IsContext(1):
		r.Op = query.Or
	case x.IsContext(2):
		r.Op = query.Not
	case x.IsContext(3):
		r.Op = query.Prox
		r.Proximity, err = readProximity(&x)
	default:
		err = fmt.Errorf("operator %d", x.Tag)
	}
	return err
}

// readProximity decodes the parameters of a proximity operator, in the order of query.RPN.
func readProximity(e *ber.Element) ([]int, error) {
	parameters := make([]int, 6)
	var members presence
	err := e.Each(func(x *ber.Element) (err error) {
		if err = members.add(x); err != nil {
			return err
		}
		switch {
		case x.IsContext(1):
			parameters[0], err = readFlag(x)
		case x.IsContext(2):
			parameters[1], err = x.Int()
		case x.IsContext(3):
			parameters[2], err = readFlag(x)
		case x.IsContext(4):
			parameters[3], err = x.Int()
		case x.IsContext(5):
			var unit ber.Element
			if unit, err = onlyChild(x); err == nil {
				parameters[4], parameters[5], err = readUnit(&unit)
			}
		default:
			err = fmt.Errorf("element %d of a proximity operator", x.Tag)
		}
		return err
	})
	if err == nil {
		err = members.require(2, 3, 4, 5)
	}
	return parameters, err
}

func readFlag(e *ber.Element) (int, error) {
	set, err := e.Bool()
	if set {
		return 1, err
	}
	return 0, err
}

// readUnit decodes the unit of a proximity operator's distance: whether it is a known (1) or a private (2) one, and its number.
func readUnit(e *ber.Element) (kind, number int, err error) {
	if !e.IsContext(1) && !e.IsContext(2) {
		return 0, 0, fmt.Errorf("unit of type %d", e.Tag)
	}
	number, err = e.Int()
	return int(e.Tag), number, err
}
