// Package fairshare divides connections: a node's budget among tenants, by guarantee, weight, max and burst; a pool's budget over
// all nodes among the same tenants; and what a tenant has at a node among brokers, by demand.
//
//	demand (node, tenant, broker) ──► tenants of each node ──► pool ──► brokers of each tenant and node ──► division
//
// It is weighted max-min fairness in whole units: the same input gives the same division, nobody ends a unit or more away from the
// exact one, and noise in the demand moves nothing. No budget is exceeded.
//
// Concurrency: nothing here locks or starts a goroutine; a value is used by one goroutine at a time.
package fairshare

// Allowance is what a policy allows one tenant of a budget, in units.
type Allowance struct {
	Guarantee int // that it gets before anybody gets more, as far as it has demand
	Weight    int // its part of what lies above the guarantees
	Max       int // that it gets while others could use them
	Burst     int // further units of what nobody else needs
}

// Budget is what there is to divide at a node, or over all of them, without the brokers' reserved connections.
type Budget struct {
	Units      int
	Allowances []Allowance // by tenant
}

// Input is what a division starts from.
type Input struct {
	Nodes    []Budget
	Pool     *Budget // over all nodes; nil: only the nodes' budgets limit
	Demand   *Table  // units that each broker could use above its reserve
	Previous *Table  // the division before; nil: there was none
}
