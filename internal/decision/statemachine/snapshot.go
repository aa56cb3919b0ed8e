package statemachine

import "slices"

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat uint64 = 1

// Snapshot returns the whole state, encoded. Brokers that have applied the same entries return the same bytes.
func (s *State) Snapshot() []byte {
	c := &codec{}
	s.fields(c)
	return c.data
}

// Restore decodes a snapshot. The error is of type *SnapshotError.
func Restore(b []byte) (*State, error) {
	s := &State{}
	c := &codec{data: b, reading: true}
	s.fields(c)
	switch {
	case c.failed || len(c.data) > 0:
		return nil, &SnapshotError{Cause: "it is truncated, damaged or of another format version"}
	case s.tierProtocol == 0 || s.tierProtocol > SupportedProtocol:
		return nil, &SnapshotError{Cause: "its protocol is not supported by this program"}
	case !s.isSorted():
		return nil, &SnapshotError{Cause: "its brokers, nodes or sessions are not sorted"}
	case s.release != nil && !s.release.isConsistent():
		return nil, &SnapshotError{Cause: "its release is inconsistent: batches and steps do not match"}
	}
	s.recountLeased()
	return s, nil
}

func (s *State) isSorted() bool {
	return slices.IsSortedFunc(s.nodes, func(a, b *nodeRecord) int { return CompareNodes(a.Node, b.Node) }) &&
		slices.IsSortedFunc(s.brokers, func(a, b *brokerRecord) int { return int(a.Slot) - int(b.Slot) }) &&
		slices.IsSortedFunc(s.sessions, func(a, b *session) int { return int(a.Slot) - int(b.Slot) })
}

// isConsistent reports whether the batches are sorted, cover all steps, and include the open batch.
func (r *Release) isConsistent() bool {
	return int(r.OpenBatch) < len(r.Batches) && r.Batches[len(r.Batches)-1] == uint32(len(r.Steps)) && slices.IsSorted(r.Batches)
}

// recountLeased computes, for each node, the connections that all brokers may hold, which a snapshot does not store.
func (s *State) recountLeased() {
	for _, b := range s.brokers {
		s.adjustLeased(nil, b.lease.possiblyHeld())
	}
}

func (s *State) fields(c *codec) {
	version := snapshotFormat
	uintField(c, &version)
	if version != snapshotFormat {
		c.failed = true
	}
	uintField(c, &s.index)
	uintField(c, &s.term)
	uintField(c, &s.leader)
	uintField(c, &s.tierProtocol)
	uintField(c, &s.epoch)
	uintField(c, &s.minReadyReplicas)
	uintField(c, &s.policyVersion)
	listField(c, &s.brokers, pointerField(func(c *codec, b *brokerRecord) { b.fields(c) }))
	listField(c, &s.nodes, pointerField(func(c *codec, n *nodeRecord) { n.fields(c) }))
	listField(c, &s.sessions, pointerField(func(c *codec, x *session) { x.fields(c) }))
	listField(c, &s.policies, pointerField(func(c *codec, p *ConnectionPolicy) { p.fields(c) }))
	optionalField(c, &s.previousPolicy, func(c *codec, p *ConnectionPolicy) { p.fields(c) })
	optionalField(c, &s.release, func(c *codec, r *Release) { r.fields(c) })
}

func (b *brokerRecord) fields(c *codec) {
	uintField(c, &b.Slot)
	c.stringField(&b.Name)
	uintField(c, &b.Incarnation)
	c.stringField(&b.Version)
	c.stringField(&b.Zone)
	uintField(c, &b.Protocol)
	uintField(c, &b.Status)
	c.boolField(&b.HasServed)
	uintField(c, &b.Permit)
	uintField(c, &b.StatusIndex)
	uintField(c, &b.acknowledgedPolicy)
	b.releasePermit.fields(c)
	lease := &b.lease
	uintField(c, &lease.Incarnation)
	uintField(c, &lease.Number)
	leaseRowsField(c, &lease.Granted)
	leaseRowsField(c, &lease.Outstanding)
	c.boolField(&lease.Acknowledged)
	c.boolField(&lease.Ended)
}

func (p *ReleasePermit) fields(c *codec) {
	uintField(c, &p.Number)
	uintField(c, &p.Release)
	c.boolField(&p.ForNode)
	uintField(c, &p.Slot)
	uintField(c, &p.Incarnation)
	c.nodeField(&p.Node)
	c.boolField(&p.Used)
}

func (n *nodeRecord) fields(c *codec) {
	n.NodeInfo.fields(c)
	c.boolField(&n.listed)
	uintField(c, &n.downIndex)
	n.releasePermit.fields(c)
	d := &n.drain
	uintField(c, &d.Number)
	c.stringField(&d.Reason)
	uintField(c, &d.Release)
	listField(c, &d.Acknowledged, func(c *codec, b *BrokerIncarnation) {
		uintField(c, &b.Slot)
		uintField(c, &b.Incarnation)
	})
	if c.reading && d.Number > 0 {
		d.Node = n.Node
	}
}

func (x *session) fields(c *codec) {
	uintField(c, &x.Slot)
	uintField(c, &x.Incarnation)
	uintField(c, &x.ForgottenThrough)
	listField(c, &x.Results, func(c *codec, p *proposalResult) {
		uintField(c, &p.Sequence)
		uintField(c, &p.Number)
		uintField(c, &p.Reason)
		c.stringField(&p.Detail)
	})
}

func (r *Release) fields(c *codec) {
	uintField(c, &r.Number)
	r.ReleasePlan.fields(c)
	c.boolField(&r.ForNodes)
	uintField(c, &r.State)
	c.stringField(&r.Reason)
	listField(c, &r.Steps, func(c *codec, x *ReleaseStep) {
		uintField(c, &x.Slot)
		c.nodeField(&x.Node)
		uintField(c, &x.State)
		c.boolField(&x.Affected)
		c.stringField(&x.Version)
		c.boolField(&x.OutAtRollback)
	})
	uintField(c, &r.OpenBatch)
	uintField(c, &r.RollbackOf)
	uintField(c, &r.ChangedIndex)
}
