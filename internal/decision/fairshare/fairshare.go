// Package fairshare divides connections: a node's budget among tenants, by guarantee, weight, max and burst; a pool's budget over
// all nodes among the same tenants; and a tenant's share at a node among brokers, by demand.
//
//	demand (node, tenant, broker) ──► tenants of each node ──► pool ──► brokers of each tenant and node ──► division
//
// The division is weighted max-min fair in whole units. The same input gives the same result, each share is less than one unit away from
// the exact one, noise in the demand moves no units, and no budget is exceeded.
//
// Concurrency: nothing here locks or starts a goroutine; a value is used by one goroutine at a time.
package fairshare

// Allowance is what a policy allows one tenant of a budget, in units.
type Allowance struct {
	Guarantee int // units that the tenant gets, if it has the demand, before any tenant gets more than its guarantee
	Weight    int // of the tenant, relative to others, in the division above the guarantees
	Max       int // greatest share while other tenants could use the units
	Burst     int // units above Max that the tenant may have if no other tenant needs them
}

// Budget is what can be divided at a node, or over all nodes, apart from the brokers' reserved connections.
type Budget struct {
	Units      int
	Allowances []Allowance // by tenant
}

// Input is the input of a division.
type Input struct {
	Nodes    []Budget // by node
	Pool     *Budget  // over all nodes; nil: only the nodes' budgets apply
	Demand   *Table   // units that each broker could use above its reserve
	Previous *Table   // the previous division; nil: there was none
}
