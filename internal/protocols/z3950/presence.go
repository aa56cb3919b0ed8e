package z3950

// This file checks which members of a sequence came. BER itself demands none, so that a missing one would be read as a zero, and of two
// the last would count.

import (
	"errors"
	"fmt"

	"flaxfront/internal/protocols/ber"
)

// presence is the set of the context-specific tags of a sequence's members, all of which Z39.50 has below 256.
type presence [4]uint64

// add adds a member. One that came before is an error.
func (p *presence) add(e *ber.Element) error {
	if e.Class != ber.Context || e.Tag >= 256 {
		return nil
	}
	if p.has(e.Tag) {
		return fmt.Errorf("element %d is given twice", e.Tag)
	}
	p[e.Tag/64] |= 1 << (e.Tag % 64)
	return nil
}

// has reports whether a member of the tag, below 256, came.
func (p *presence) has(tag uint32) bool { return p[tag/64]&(1<<(tag%64)) != 0 }

// require returns an error if a member is missing.
func (p *presence) require(tags ...uint32) error {
	for _, tag := range tags {
		if !p.has(tag) {
			return fmt.Errorf("element %d is missing", tag)
		}
	}
	return nil
}

// onlyChild returns the child of an element that stands for a choice and so has exactly one.
func onlyChild(e *ber.Element) (child ber.Element, err error) {
	children := 0
	err = e.Each(func(x *ber.Element) error {
		child = *x
		children++
		return nil
	})
	if err == nil && children != 1 {
		err = errors.New("a choice has one element")
	}
	return child, err
}
