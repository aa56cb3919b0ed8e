package statemachine

import "slices"

// format is the version of snapshots.
const format uint64 = 1

// Snapshot is the whole state: the same bytes on every broker that has applied the same entries.
func (s *State) Snapshot() []byte {
	c := &codec{}
	s.fields(c)
	return c.b
}

// Restore makes a machine of a snapshot. The error is of type *Damaged.
func Restore(b []byte) (*State, error) {
	s, c := &State{}, &codec{b: b, reading: true}
	s.fields(c)
	switch {
	case c.bad || len(c.b) > 0:
		return nil, &SnapshotError{Cause: "it is cut, damaged or of another version"}
	case s.gate == 0 || s.gate > SupportedProtocol:
		return nil, &SnapshotError{Cause: "it is of a newer protocol"}
	case !slices.IsSortedFunc(s.nodes, func(a, b *node) int { return CompareNodes(a.Node, b.Node) }) ||
		!slices.IsSortedFunc(s.brokers, func(a, b *member) int { return int(a.Slot) - int(b.Slot) }) ||
		!slices.IsSortedFunc(s.sessions, func(a, b *session) int { return int(a.Slot) - int(b.Slot) }):
		return nil, &SnapshotError{Cause: "it is not in order"}
	case s.release != nil && !s.release.sound():
		return nil, &SnapshotError{Cause: "its release contradicts itself"}
	}
	s.total()
	return s, nil
}

func (r *Release) sound() bool {
	return int(r.OpenBatch) < len(r.Batches) && r.Batches[len(r.Batches)-1] == uint32(len(r.Steps)) && slices.IsSorted(r.Batches)
}

// total counts anew what all may hold of each node.
func (s *State) total() {
	for _, m := range s.brokers {
		s.shift(nil, m.holding.most())
	}
}

func ptr[T any](each func(*codec, *T)) func(*codec, **T) {
	return func(c *codec, p **T) {
		if c.reading {
			*p = new(T)
		}
		each(c, *p)
	}
}

// some is what may not be there.
func some[T any](c *codec, p **T, each func(*codec, *T)) {
	there := *p != nil
	if c.flag(&there); there && !c.bad {
		ptr(each)(c, p)
	}
}

func (s *State) fields(c *codec) {
	version := format
	if num(c, &version); version != format {
		c.bad = true
	}
	num(c, &s.index)
	num(c, &s.term)
	num(c, &s.leader)
	num(c, &s.gate)
	num(c, &s.epoch)
	num(c, &s.least)
	num(c, &s.current)
	list(c, &s.brokers, ptr(func(c *codec, m *member) { m.fields(c) }))
	list(c, &s.nodes, ptr(func(c *codec, n *node) { n.fields(c) }))
	list(c, &s.sessions, ptr(func(c *codec, x *session) { x.fields(c) }))
	list(c, &s.policies, ptr(func(c *codec, p *ConnectionPolicy) { p.fields(c) }))
	some(c, &s.before, func(c *codec, p *ConnectionPolicy) { p.fields(c) })
	some(c, &s.release, func(c *codec, r *Release) { r.fields(c) })
}

func (m *member) fields(c *codec) {
	num(c, &m.Slot)
	c.str(&m.Name)
	num(c, &m.Incarnation)
	c.str(&m.Version)
	c.str(&m.Zone)
	num(c, &m.Protocol)
	num(c, &m.Status)
	c.flag(&m.HasServed)
	num(c, &m.Permit)
	num(c, &m.StatusIndex)
	num(c, &m.policy)
	m.pass.fields(c)
	h := &m.holding
	num(c, &h.Incarnation)
	num(c, &h.Number)
	rows(c, &h.Granted)
	rows(c, &h.PossiblyHeld)
	c.flag(&h.Acknowledged)
	c.flag(&h.Ended)
}

func (p *ReleasePermit) fields(c *codec) {
	num(c, &p.Number)
	num(c, &p.Release)
	c.flag(&p.ForNode)
	num(c, &p.Slot)
	num(c, &p.Incarnation)
	c.node(&p.Node)
	c.flag(&p.Used)
}

func (n *node) fields(c *codec) {
	n.NodeInfo.fields(c)
	c.flag(&n.listed)
	num(c, &n.down)
	n.pass.fields(c)
	d := &n.drain
	num(c, &d.Number)
	c.str(&d.Reason)
	num(c, &d.Release)
	list(c, &d.Acknowledged, func(c *codec, m *BrokerIncarnation) { num(c, &m.Slot); num(c, &m.Incarnation) })
	if c.reading && d.Number > 0 {
		d.Node = n.Node
	}
}

func (x *session) fields(c *codec) {
	num(c, &x.Slot)
	num(c, &x.Incarnation)
	num(c, &x.Forgotten)
	list(c, &x.Past, func(c *codec, p *past) {
		num(c, &p.Seq)
		num(c, &p.Number)
		num(c, &p.Reason)
		c.str(&p.Detail)
	})
}

func (r *Release) fields(c *codec) {
	num(c, &r.Number)
	r.ReleasePlan.fields(c)
	c.flag(&r.ForNodes)
	num(c, &r.State)
	c.str(&r.Reason)
	list(c, &r.Steps, func(c *codec, x *ReleaseStep) {
		num(c, &x.Slot)
		c.node(&x.Node)
		num(c, &x.State)
		c.flag(&x.Affected)
		c.str(&x.Version)
		c.flag(&x.OutAtRollback)
	})
	num(c, &r.OpenBatch)
	num(c, &r.RollbackOf)
	num(c, &r.ChangedIndex)
}
