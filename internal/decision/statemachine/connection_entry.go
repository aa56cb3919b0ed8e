package statemachine

// NodeBudget is how many connections a node takes, and how many of them each broker may open without a lease.
type NodeBudget struct {
	Node              NodeID
	Connections       uint64 `json:"Units"`
	ReservedPerBroker uint64 `json:"Floor"`
}

// ConnectionPolicy replaces the connection budgets. It comes into force when all that may still be held fits it.
type ConnectionPolicy struct {
	Version    uint64
	Text       string
	MaxBrokers uint32 `json:"MostBrokers"` // slots are below this; each has its reserved connections
	Budgets    []NodeBudget
}

// AcknowledgePolicy says that a broker keeps to the reserved connections of a policy; while that one waits, to the lower ones of
// it and the one before.
type AcknowledgePolicy struct {
	Slot        Slot
	Incarnation uint64
	Version     uint64
}

// LeaseRow is a number of connections to a node for a tenant, above the reserved ones.
type LeaseRow struct {
	Node        NodeID
	Tenant      string
	Connections uint64
}

// GrantLease gives a broker connections in place of those it had, until the granter's clock ends the lease. Rows are in the order
// of CompareLeaseRows, without zeros. Numbers grow for a broker.
type GrantLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
	Rows        []LeaseRow
}

// AcknowledgeLease says that a broker holds this grant and nothing of older ones.
type AcknowledgeLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
}

// RelinquishLease says that a broker holds nothing above the reserved connections any more, as it stops.
type RelinquishLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64 // of its last grant
}

// ExpireLease says that the lease of a broker's last grant has surely expired.
type ExpireLease struct {
	Slot   Slot
	Number uint64
	Term   uint64
}
