package statemachine

type kind uint64

// Kinds are never given anew: a number that is not among them is a newer version's.
const (
	kLead kind = iota + 1
	kRegister
	kLost
	kForget
	kReturn
	kPlan
	kPermit
	kUse
	kAdvance
	kHalt
	kResume
	kRevert
	kDrainNode
	kDrainAck
	kUndrain
	kNodeDown
	kPolicy
	kPolicyAck
	kGrant
	kGrantAck
	kGiveUp
	kExpire
	kEpoch
	kGate
)

// SupportedProtocol is the newest version of entries that this code reads.
const SupportedProtocol uint64 = 1

// since is the protocol that a kind, or a kind's present fields, came with.
func since(kind) uint64 { return 1 }

func blank(k kind) Entry {
	all := [...]Entry{kLead: &LeaderElected{}, kRegister: &RegisterBroker{}, kLost: &MarkBrokerLost{}, kForget: &RemoveBroker{}, kReturn: &ReturnToService{}, kPlan: &ReleasePlan{},
		kPermit: &IssuePermit{}, kUse: &UsePermit{}, kAdvance: &OpenNextBatch{}, kHalt: &HaltRelease{}, kResume: &ResumeRelease{}, kRevert: &RollBackRelease{},
		kDrainNode: &DrainNode{}, kDrainAck: &AcknowledgeDrain{}, kUndrain: &UndrainNode{}, kNodeDown: &MarkNodeDown{}, kPolicy: &ConnectionPolicy{},
		kPolicyAck: &AcknowledgePolicy{}, kGrant: &GrantLease{},
		kGrantAck: &AcknowledgeLease{}, kGiveUp: &RelinquishLease{}, kExpire: &ExpireLease{}, kEpoch: &SetNodeList{}, kGate: &RaiseProtocol{}}
	if k >= kind(len(all)) {
		return nil
	}
	return all[k]
}

// Encode is an entry as it is proposed.
func Encode(id ProposalID, e Entry) []byte {
	c := &codec{}
	version, k := since(e.kind()), e.kind()
	num(c, &version)
	num(c, &k)
	id.fields(c)
	e.fields(c)
	return c.b
}

// Decode reads an entry. The error is *Unknown for one of a newer version, *Malformed for what is none.
func Decode(data []byte) (id ProposalID, e Entry, err error) {
	c := &codec{b: data, reading: true}
	var version uint64
	var k kind
	num(c, &version)
	num(c, &k)
	if c.bad || version == 0 || k == 0 {
		return id, nil, &MalformedEntryError{}
	}
	if e = blank(k); e == nil || version > SupportedProtocol {
		return id, nil, &UnknownEntryError{Version: version, Kind: uint64(k)}
	}
	id.fields(c)
	e.fields(c)
	if c.bad || len(c.b) > 0 {
		return id, nil, &MalformedEntryError{Kind: uint64(k)}
	}
	return id, e, nil
}

func (i *ProposalID) fields(c *codec) { num(c, &i.Slot); num(c, &i.Incarnation); num(c, &i.Sequence) }

func (*LeaderElected) kind() kind     { return kLead }
func (*RegisterBroker) kind() kind    { return kRegister }
func (*MarkBrokerLost) kind() kind    { return kLost }
func (*RemoveBroker) kind() kind      { return kForget }
func (*ReturnToService) kind() kind   { return kReturn }
func (*ReleasePlan) kind() kind       { return kPlan }
func (*IssuePermit) kind() kind       { return kPermit }
func (*UsePermit) kind() kind         { return kUse }
func (*OpenNextBatch) kind() kind     { return kAdvance }
func (*HaltRelease) kind() kind       { return kHalt }
func (*ResumeRelease) kind() kind     { return kResume }
func (*RollBackRelease) kind() kind   { return kRevert }
func (*DrainNode) kind() kind         { return kDrainNode }
func (*AcknowledgeDrain) kind() kind  { return kDrainAck }
func (*UndrainNode) kind() kind       { return kUndrain }
func (*MarkNodeDown) kind() kind      { return kNodeDown }
func (*ConnectionPolicy) kind() kind  { return kPolicy }
func (*AcknowledgePolicy) kind() kind { return kPolicyAck }
func (*GrantLease) kind() kind        { return kGrant }
func (*AcknowledgeLease) kind() kind  { return kGrantAck }
func (*RelinquishLease) kind() kind   { return kGiveUp }
func (*ExpireLease) kind() kind       { return kExpire }
func (*SetNodeList) kind() kind       { return kEpoch }
func (*RaiseProtocol) kind() kind     { return kGate }

func (e *LeaderElected) fields(c *codec) { num(c, &e.Slot); num(c, &e.Term) }
func (e *RegisterBroker) fields(c *codec) {
	num(c, &e.Slot)
	c.str(&e.Name)
	num(c, &e.Incarnation)
	c.str(&e.Version)
	c.str(&e.Zone)
	num(c, &e.Protocol)
}
func (e *MarkBrokerLost) fields(c *codec) { num(c, &e.Slot); num(c, &e.Incarnation); num(c, &e.Term) }
func (e *RemoveBroker) fields(c *codec)   { num(c, &e.Slot) }
func (e *ReturnToService) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.ForNode)
	c.node(&e.Node)
}
func (e *ReleasePlan) fields(c *codec) {
	c.str(&e.Name)
	c.str(&e.From)
	c.str(&e.To)
	list(c, &e.Slots, num[Slot])
	list(c, &e.Nodes, (*codec).node)
	list(c, &e.Batches, num[uint32])
	num(c, &e.MaxOut)
	num(c, &e.MaxOutPerZone)
	num(c, &e.MinReadyReplicas)
	num(c, &e.PauseMS)
	c.str(&e.Gates)
}
func (e *IssuePermit) fields(c *codec) {
	num(c, &e.Release)
	num(c, &e.Term)
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.ForNode)
	c.node(&e.Node)
}
func (e *UsePermit) fields(c *codec) {
	num(c, &e.Permit)
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.ForNode)
	c.node(&e.Node)
}
func (e *OpenNextBatch) fields(c *codec)   { num(c, &e.Release); num(c, &e.Term); num(c, &e.Batch) }
func (e *HaltRelease) fields(c *codec)     { num(c, &e.Release); c.str(&e.Reason) }
func (e *ResumeRelease) fields(c *codec)   { num(c, &e.Release) }
func (e *RollBackRelease) fields(c *codec) { num(c, &e.Release); c.str(&e.Reason) }
func (e *DrainNode) fields(c *codec)       { c.node(&e.Node); c.str(&e.Reason) }
func (e *AcknowledgeDrain) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.node(&e.Node)
	num(c, &e.Number)
}
func (e *UndrainNode) fields(c *codec)  { c.node(&e.Node) }
func (e *MarkNodeDown) fields(c *codec) { c.node(&e.Node); c.str(&e.Reason) }
func (e *ConnectionPolicy) fields(c *codec) {
	num(c, &e.Version)
	c.str(&e.Text)
	num(c, &e.MaxBrokers)
	list(c, &e.Budgets, func(c *codec, b *NodeBudget) { c.node(&b.Node); num(c, &b.Connections); num(c, &b.ReservedPerBroker) })
}
func (e *AcknowledgePolicy) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	num(c, &e.Version)
}
func (r *LeaseRow) fields(c *codec) { c.node(&r.Node); c.str(&r.Tenant); num(c, &r.Connections) }
func rows(c *codec, l *[]LeaseRow)  { list(c, l, func(c *codec, r *LeaseRow) { r.fields(c) }) }
func (e *GrantLease) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	num(c, &e.Number)
	rows(c, &e.Rows)
}
func (e *AcknowledgeLease) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	num(c, &e.Number)
}
func (e *RelinquishLease) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	num(c, &e.Number)
}
func (e *ExpireLease) fields(c *codec) { num(c, &e.Slot); num(c, &e.Number); num(c, &e.Term) }
func (e *NodeInfo) fields(c *codec)    { c.node(&e.Node); c.str(&e.Zone); list(c, &e.Shards, num[uint32]) }
func (e *SetNodeList) fields(c *codec) {
	num(c, &e.Epoch)
	num(c, &e.MinReadyReplicas)
	list(c, &e.Nodes, func(c *codec, n *NodeInfo) { n.fields(c) })
}
func (e *RaiseProtocol) fields(c *codec) { num(c, &e.Protocol) }
