package statemachine

// SupportedProtocol is the newest protocol of entries that this program reads.
const SupportedProtocol uint64 = 1

// minProtocol returns the protocol that introduced a kind, or the current fields of a kind.
func minProtocol(kind) uint64 { return 1 }

// Encode returns the encoded form of an entry, in which it is proposed and stored.
func Encode(id ProposalID, e Entry) []byte {
	c := &codec{}
	k := e.kind()
	version := minProtocol(k)
	uintField(c, &version)
	uintField(c, &k)
	id.fields(c)
	e.fields(c)
	return c.data
}

// Decode decodes an entry. The error is *UnknownEntryError for an entry of a newer version, and *MalformedEntryError for bytes that no
// version writes.
func Decode(data []byte) (id ProposalID, e Entry, err error) {
	c := &codec{data: data, reading: true}
	var version uint64
	var k kind
	uintField(c, &version)
	uintField(c, &k)
	if c.failed || version == 0 || k == 0 {
		return id, nil, &MalformedEntryError{}
	}
	e = newEntry(k)
	if e == nil || version > SupportedProtocol {
		return id, nil, &UnknownEntryError{Version: version, Kind: uint64(k)}
	}
	id.fields(c)
	e.fields(c)
	if c.failed || len(c.data) > 0 {
		return id, nil, &MalformedEntryError{Kind: uint64(k)}
	}
	return id, e, nil
}

func (i *ProposalID) fields(c *codec) {
	uintField(c, &i.Slot)
	uintField(c, &i.Incarnation)
	uintField(c, &i.Sequence)
}

func (e *LeaderElected) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Term)
}

func (e *RegisterBroker) fields(c *codec) {
	uintField(c, &e.Slot)
	c.stringField(&e.Name)
	uintField(c, &e.Incarnation)
	c.stringField(&e.Version)
	c.stringField(&e.Zone)
	uintField(c, &e.Protocol)
}

func (e *MarkBrokerLost) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	uintField(c, &e.Term)
}

func (e *RemoveBroker) fields(c *codec) {
	uintField(c, &e.Slot)
}

func (e *ReturnToService) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	c.boolField(&e.ForNode)
	c.nodeField(&e.Node)
}

func (e *ReleasePlan) fields(c *codec) {
	c.stringField(&e.Name)
	c.stringField(&e.From)
	c.stringField(&e.To)
	listField(c, &e.Slots, uintField[Slot])
	listField(c, &e.Nodes, (*codec).nodeField)
	listField(c, &e.Batches, uintField[uint32])
	uintField(c, &e.MaxOut)
	uintField(c, &e.MaxOutPerZone)
	uintField(c, &e.MinReadyReplicas)
	uintField(c, &e.PauseMS)
	c.stringField(&e.Gates)
}

func (e *IssuePermit) fields(c *codec) {
	uintField(c, &e.Release)
	uintField(c, &e.Term)
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	c.boolField(&e.ForNode)
	c.nodeField(&e.Node)
}

func (e *UsePermit) fields(c *codec) {
	uintField(c, &e.Permit)
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	c.boolField(&e.ForNode)
	c.nodeField(&e.Node)
}

func (e *OpenNextBatch) fields(c *codec) {
	uintField(c, &e.Release)
	uintField(c, &e.Term)
	uintField(c, &e.Batch)
}

func (e *HaltRelease) fields(c *codec) {
	uintField(c, &e.Release)
	c.stringField(&e.Reason)
}

func (e *ResumeRelease) fields(c *codec) {
	uintField(c, &e.Release)
}

func (e *RollBackRelease) fields(c *codec) {
	uintField(c, &e.Release)
	c.stringField(&e.Reason)
}

func (e *DrainNode) fields(c *codec) {
	c.nodeField(&e.Node)
	c.stringField(&e.Reason)
}

func (e *AcknowledgeDrain) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	c.nodeField(&e.Node)
	uintField(c, &e.Number)
}

func (e *UndrainNode) fields(c *codec) {
	c.nodeField(&e.Node)
}

func (e *MarkNodeDown) fields(c *codec) {
	c.nodeField(&e.Node)
	c.stringField(&e.Reason)
}

func (e *ConnectionPolicy) fields(c *codec) {
	uintField(c, &e.Version)
	c.stringField(&e.Text)
	uintField(c, &e.MaxBrokers)
	listField(c, &e.Budgets, func(c *codec, b *NodeBudget) {
		c.nodeField(&b.Node)
		uintField(c, &b.Connections)
		uintField(c, &b.ReservedPerBroker)
	})
}

func (e *AcknowledgePolicy) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	uintField(c, &e.Version)
}

func (r *LeaseRow) fields(c *codec) {
	c.nodeField(&r.Node)
	c.stringField(&r.Tenant)
	uintField(c, &r.Connections)
}

func leaseRowsField(c *codec, l *[]LeaseRow) {
	listField(c, l, func(c *codec, r *LeaseRow) { r.fields(c) })
}

func (e *GrantLease) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	uintField(c, &e.Number)
	leaseRowsField(c, &e.Rows)
}

func (e *AcknowledgeLease) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	uintField(c, &e.Number)
}

func (e *RelinquishLease) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Incarnation)
	uintField(c, &e.Number)
}

func (e *ExpireLease) fields(c *codec) {
	uintField(c, &e.Slot)
	uintField(c, &e.Number)
	uintField(c, &e.Term)
}

func (e *NodeInfo) fields(c *codec) {
	c.nodeField(&e.Node)
	c.stringField(&e.Zone)
	listField(c, &e.Shards, uintField[uint32])
}

func (e *SetNodeList) fields(c *codec) {
	uintField(c, &e.Epoch)
	uintField(c, &e.MinReadyReplicas)
	listField(c, &e.Nodes, func(c *codec, n *NodeInfo) { n.fields(c) })
}

func (e *RaiseProtocol) fields(c *codec) {
	uintField(c, &e.Protocol)
}
