package store

// This file owns how the pool keeps to a budget that is divided between brokers and tenants: none is opened without leave, and
// what is not held any more is closed, idle connections first. It must never know how budgets are divided.

import "flaxfront/internal/decision"

// OpenDecision is an answer to whether a connection may be opened.
type OpenDecision uint8

const (
	Denied        OpenDecision = iota
	OpenForTenant              // it is the tenant's: no other's parts go over it
	OpenShared                 // it is the broker's: parts of all tenants go over it
)

// Budget says what may be opened. It is asked in the loop, before each connection, and told of the end of each.
type Budget interface {
	Open(node decision.NodeID, tenant int) OpenDecision
	Closed(node decision.NodeID, tenant int, byNode bool)
}

// SetBudget has the pool keep to a budget. It is called before anything is sent; without it Limits alone bound.
func (p *Pool) SetBudget(b Budget) { p.budget = b }

// mayUse tells whether a tenant's parts may go over a connection.
func (p *Pool) mayUse(c *conn, tenant int) bool {
	return p.budget == nil || c.shared || c.tenant == tenant
}

// openDecision asks for a connection, and gives what the connection then is.
func (p *Pool) openDecision(n *node, tenant int) OpenDecision {
	if p.budget == nil {
		return OpenShared
	}
	return p.budget.Open(n.id, tenant)
}

// reportClosed tells the budget of a connection's end.
func (p *Pool) reportClosed(c *conn, byNode bool) {
	if p.budget != nil {
		p.budget.Closed(c.node.id, c.tenant, byNode)
	}
}

// endedByNode tells of which ends the node knows already. A dial that ran out of time is not among them: the
// node may have taken it.
func endedByNode(reason string) bool {
	return reason == "closed_by_node" || reason == "reset" || reason == "refused"
}

// ReleaseConnections closes so many of a tenant's connections to a node: those that carry nothing at once, of the others those with the least,
// which get nothing more; where hard is true all of them at once. Danger: a lease ends while parts are out, and another broker
// fills the node's place; those parts end as reset, which costs them a resend. It tells how many still carry something.
func (p *Pool) ReleaseConnections(id decision.NodeID, tenant, count int, immediate bool) (remaining int) {
	n := p.nodes[id]
	if n == nil {
		return 0
	}
	for count > 0 {
		var least *conn
		for _, c := range n.conns {
			if c.tenant == tenant && !c.selected && (least == nil || c.releasedBefore(least)) {
				least = c
			}
		}
		if least == nil {
			break
		}
		if count--; immediate || least.inFlight.len() == 0 {
			p.close(least, "budget")
			continue
		}
		least.retired, least.selected, p.nextSweep = true, true, 0
		remaining++
	}
	for _, c := range n.conns {
		c.selected = false // which ones are chosen anew each time: the same, as they get nothing more
	}
	return remaining
}

// Status closes all connections.
func (p *Pool) CloseAll(reason string) {
	for _, n := range p.nodeOrder {
		p.closeWhere(n, reason, func(*conn) bool { return true })
	}
}

// releasedBefore orders connections for Shed: those that get nothing more already, then those with the least.
func (c *conn) releasedBefore(o *conn) bool {
	if c.retired != o.retired {
		return c.retired
	}
	return c.inFlight.len() < o.inFlight.len()
}

// VisitInFlight tells how many parts of each tenant are out at each node, or wait for a connection to it.
func (p *Pool) VisitInFlight(visit func(node decision.NodeID, tenant, attempts int)) {
	for _, n := range p.nodeOrder {
		for _, c := range n.conns {
			for _, attempt := range c.inFlight.attempts {
				visit(n.id, attempt.Tenant, 1)
			}
		}
	}
}
