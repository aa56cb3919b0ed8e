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

// Protocol is the newest version of entries that this code reads.
const Protocol uint64 = 1

// since is the protocol that a kind, or a kind's present fields, came with.
func since(kind) uint64 { return 1 }

func blank(k kind) Entry {
	all := [...]Entry{kLead: &Lead{}, kRegister: &Register{}, kLost: &Lost{}, kForget: &Forget{}, kReturn: &Return{}, kPlan: &Plan{},
		kPermit: &Permit{}, kUse: &Use{}, kAdvance: &Advance{}, kHalt: &Halt{}, kResume: &Resume{}, kRevert: &Revert{},
		kDrainNode: &DrainNode{}, kDrainAck: &DrainAck{}, kUndrain: &Undrain{}, kNodeDown: &NodeDown{}, kPolicy: &Policy{},
		kPolicyAck: &PolicyAck{}, kGrant: &Grant{},
		kGrantAck: &GrantAck{}, kGiveUp: &GiveUp{}, kExpire: &Expire{}, kEpoch: &Epoch{}, kGate: &Gate{}}
	if k >= kind(len(all)) {
		return nil
	}
	return all[k]
}

// Encode is an entry as it is proposed.
func Encode(id ID, e Entry) []byte {
	c := &codec{}
	version, k := since(e.kind()), e.kind()
	num(c, &version)
	num(c, &k)
	id.fields(c)
	e.fields(c)
	return c.b
}

// Decode reads an entry. The error is *Unknown for one of a newer version, *Malformed for what is none.
func Decode(data []byte) (id ID, e Entry, err error) {
	c := &codec{b: data, reading: true}
	var version uint64
	var k kind
	num(c, &version)
	num(c, &k)
	if c.bad || version == 0 || k == 0 {
		return id, nil, &Malformed{}
	}
	if e = blank(k); e == nil || version > Protocol {
		return id, nil, &Unknown{Version: version, Kind: uint64(k)}
	}
	id.fields(c)
	e.fields(c)
	if c.bad || len(c.b) > 0 {
		return id, nil, &Malformed{Kind: uint64(k)}
	}
	return id, e, nil
}

func (i *ID) fields(c *codec) { num(c, &i.Slot); num(c, &i.Incarnation); num(c, &i.Seq) }

func (*Lead) kind() kind      { return kLead }
func (*Register) kind() kind  { return kRegister }
func (*Lost) kind() kind      { return kLost }
func (*Forget) kind() kind    { return kForget }
func (*Return) kind() kind    { return kReturn }
func (*Plan) kind() kind      { return kPlan }
func (*Permit) kind() kind    { return kPermit }
func (*Use) kind() kind       { return kUse }
func (*Advance) kind() kind   { return kAdvance }
func (*Halt) kind() kind      { return kHalt }
func (*Resume) kind() kind    { return kResume }
func (*Revert) kind() kind    { return kRevert }
func (*DrainNode) kind() kind { return kDrainNode }
func (*DrainAck) kind() kind  { return kDrainAck }
func (*Undrain) kind() kind   { return kUndrain }
func (*NodeDown) kind() kind  { return kNodeDown }
func (*Policy) kind() kind    { return kPolicy }
func (*PolicyAck) kind() kind { return kPolicyAck }
func (*Grant) kind() kind     { return kGrant }
func (*GrantAck) kind() kind  { return kGrantAck }
func (*GiveUp) kind() kind    { return kGiveUp }
func (*Expire) kind() kind    { return kExpire }
func (*Epoch) kind() kind     { return kEpoch }
func (*Gate) kind() kind      { return kGate }

func (e *Lead) fields(c *codec) { num(c, &e.Slot); num(c, &e.Term) }
func (e *Register) fields(c *codec) {
	num(c, &e.Slot)
	c.str(&e.Name)
	num(c, &e.Incarnation)
	c.str(&e.Version)
	c.str(&e.Zone)
	num(c, &e.Protocol)
}
func (e *Lost) fields(c *codec)   { num(c, &e.Slot); num(c, &e.Incarnation); num(c, &e.Term) }
func (e *Forget) fields(c *codec) { num(c, &e.Slot) }
func (e *Return) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.OnNode)
	c.node(&e.Node)
}
func (e *Plan) fields(c *codec) {
	c.str(&e.Name)
	c.str(&e.From)
	c.str(&e.To)
	list(c, &e.Slots, num[Slot])
	list(c, &e.Nodes, (*codec).node)
	list(c, &e.Batches, num[uint32])
	num(c, &e.Most)
	num(c, &e.MostZone)
	num(c, &e.Least)
	num(c, &e.PauseMS)
	c.str(&e.Gates)
}
func (e *Permit) fields(c *codec) {
	num(c, &e.Release)
	num(c, &e.Term)
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.OnNode)
	c.node(&e.Node)
}
func (e *Use) fields(c *codec) {
	num(c, &e.Permit)
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.flag(&e.OnNode)
	c.node(&e.Node)
}
func (e *Advance) fields(c *codec)   { num(c, &e.Release); num(c, &e.Term); num(c, &e.Batch) }
func (e *Halt) fields(c *codec)      { num(c, &e.Release); c.str(&e.Reason) }
func (e *Resume) fields(c *codec)    { num(c, &e.Release) }
func (e *Revert) fields(c *codec)    { num(c, &e.Release); c.str(&e.Reason) }
func (e *DrainNode) fields(c *codec) { c.node(&e.Node); c.str(&e.Reason) }
func (e *DrainAck) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	c.node(&e.Node)
	num(c, &e.Number)
}
func (e *Undrain) fields(c *codec)  { c.node(&e.Node) }
func (e *NodeDown) fields(c *codec) { c.node(&e.Node); c.str(&e.Reason) }
func (e *Policy) fields(c *codec) {
	num(c, &e.Version)
	c.str(&e.Text)
	num(c, &e.MostBrokers)
	list(c, &e.Budgets, func(c *codec, b *Budget) { c.node(&b.Node); num(c, &b.Units); num(c, &b.Floor) })
}
func (e *PolicyAck) fields(c *codec) { num(c, &e.Slot); num(c, &e.Incarnation); num(c, &e.Version) }
func (r *Row) fields(c *codec)       { c.node(&r.Node); c.str(&r.Tenant); num(c, &r.Units) }
func rows(c *codec, l *[]Row)        { list(c, l, func(c *codec, r *Row) { r.fields(c) }) }
func (e *Grant) fields(c *codec) {
	num(c, &e.Slot)
	num(c, &e.Incarnation)
	num(c, &e.Number)
	rows(c, &e.Rows)
}
func (e *GrantAck) fields(c *codec) { num(c, &e.Slot); num(c, &e.Incarnation); num(c, &e.Number) }
func (e *GiveUp) fields(c *codec)   { num(c, &e.Slot); num(c, &e.Incarnation); num(c, &e.Number) }
func (e *Expire) fields(c *codec)   { num(c, &e.Slot); num(c, &e.Number); num(c, &e.Term) }
func (e *NodeInfo) fields(c *codec) { c.node(&e.Node); c.str(&e.Zone); list(c, &e.Shards, num[uint32]) }
func (e *Epoch) fields(c *codec) {
	num(c, &e.Number)
	num(c, &e.Least)
	list(c, &e.Nodes, func(c *codec, n *NodeInfo) { n.fields(c) })
}
func (e *Gate) fields(c *codec) { num(c, &e.Protocol) }
