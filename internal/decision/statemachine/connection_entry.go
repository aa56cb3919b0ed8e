package statemachine

// NodeBudget is how many connections a node accepts, and how many of them each broker may open without a lease.
type NodeBudget struct {
	Node              NodeID
	Connections       uint64 `json:"Units"`
	ReservedPerBroker uint64 `json:"Floor"`
}

// ConnectionPolicy replaces the connection budgets. It comes into force once all connections that brokers may still hold fit its budgets.
type ConnectionPolicy struct {
	Version    uint64
	Text       string
	MaxBrokers uint32 `json:"MostBrokers"` // slots are less than this; connections are reserved for each of them
	Budgets    []NodeBudget
}

// AcknowledgePolicy reports that a broker keeps to the reserved connections of a policy or, while that policy waits, to the lower of its
// reserves and those of the policy in force.
type AcknowledgePolicy struct {
	Slot        Slot
	Incarnation uint64
	Version     uint64
}

// LeaseRow is a number of connections to a node for a tenant, in addition to the reserved ones.
type LeaseRow struct {
	Node        NodeID
	Tenant      string
	Connections uint64
}

// GrantLease replaces the connections granted to a broker, until the lease expires by the granter's clock. Rows are sorted by
// CompareLeaseRows and have no zero counts. The numbers of a broker's grants increase.
type GrantLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
	Rows        []LeaseRow
}

// AcknowledgeLease reports that a broker holds no connections beyond this grant, so none that only an older grant allowed.
type AcknowledgeLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64
}

// RelinquishLease reports that a broker that is stopping holds only reserved connections.
type RelinquishLease struct {
	Slot        Slot
	Incarnation uint64
	Number      uint64 // of its latest grant
}

// ExpireLease reports that the lease of a broker's latest grant has certainly expired.
type ExpireLease struct {
	Slot   Slot
	Number uint64
	Term   uint64
}
