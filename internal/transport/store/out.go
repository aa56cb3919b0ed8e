package store

// This file owns the parts that are out on one connection, in no order that matters but the same in every run. It must never
// hold one twice.

// indexFrom is the number of parts from which an index by id is worth its upkeep (BenchmarkOuts).
const indexFrom = 64

// outs are the parts out on a connection: few as a rule, thousands where no other connection may be opened.
type outs struct {
	parts []*Part
	index map[string]*Part // nil while there are few
}

func (o *outs) len() int { return len(o.parts) }

func (o *outs) last() *Part { return o.parts[len(o.parts)-1] }

func (o *outs) add(p *Part) {
	p.at = len(o.parts)
	o.parts = append(o.parts, p)
	if o.index != nil {
		o.index[p.ID] = p
	} else if len(o.parts) == indexFrom {
		o.index = make(map[string]*Part, 2*indexFrom)
		for _, p := range o.parts {
			o.index[p.ID] = p
		}
	}
}

// find looks for the part that an answer names.
func (o *outs) find(id string) *Part {
	if o.index != nil {
		return o.index[id]
	}
	for _, p := range o.parts {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// remove takes a part out; false: it was not there.
func (o *outs) remove(p *Part) bool {
	if p.at >= len(o.parts) || o.parts[p.at] != p {
		return false
	}
	last := o.last()
	o.parts[p.at], last.at = last, p.at
	o.parts[len(o.parts)-1] = nil
	o.parts = o.parts[:len(o.parts)-1]
	if o.index != nil {
		if delete(o.index, p.ID); len(o.parts) == 0 {
			o.index = nil
		}
	}
	return true
}
