package store

// This file owns how the pool keeps to a budget that is divided between brokers and tenants: none is opened without leave, and
// what is not held any more is closed, idle connections first. It must never know how budgets are divided.

import "flaxfront/internal/decision"

// Leave is an answer to whether a connection may be opened.
type Leave uint8

const (
	No    Leave = iota
	Own         // it is the tenant's: no other's parts go over it
	Floor       // it is the broker's: parts of all tenants go over it
)

// Budget says what may be opened. It is asked in the loop, before each connection, and told of the end of each.
type Budget interface {
	Open(node decision.NodeID, tenant int) Leave
	Closed(node decision.NodeID, tenant int, byNode bool)
}

// Keep has the pool keep to a budget. It is called before anything is sent; without it Limits alone bound.
func (p *Pool) Keep(b Budget) { p.budget = b }

// mine tells whether a tenant's parts may go over a connection.
func (p *Pool) mine(c *conn, tenant int) bool {
	return p.budget == nil || c.floor || c.tenant == tenant
}

// leave asks for a connection, and gives what the connection then is.
func (p *Pool) leave(n *node, tenant int) Leave {
	if p.budget == nil {
		return Floor
	}
	return p.budget.Open(n.id, tenant)
}

// returned tells the budget of a connection's end.
func (p *Pool) returned(c *conn, byNode bool) {
	if p.budget != nil {
		p.budget.Closed(c.node.id, c.tenant, byNode)
	}
}

// endedByNode tells of which ends the node knows already. A dial that ran out of time is not among them: the
// node may have taken it.
func endedByNode(reason string) bool {
	return reason == "closed_by_node" || reason == "reset" || reason == "refused"
}

// Shed closes so many of a tenant's connections to a node: those that carry nothing at once, of the others those with the least,
// which get nothing more; where hard is true all of them at once. Danger: a lease ends while parts are out, and another broker
// fills the node's place; those parts end as reset, which costs them a resend. It tells how many still carry something.
func (p *Pool) Shed(id decision.NodeID, tenant, units int, hard bool) (left int) {
	n := p.nodes[id]
	if n == nil {
		return 0
	}
	for units > 0 {
		var least *conn
		for _, c := range n.conns {
			if c.tenant == tenant && !c.shed && (least == nil || c.before(least)) {
				least = c
			}
		}
		if least == nil {
			break
		}
		if units--; hard || least.out.len() == 0 {
			p.close(least, "budget")
			continue
		}
		least.retired, least.shed, p.due = true, true, 0
		left++
	}
	for _, c := range n.conns {
		c.shed = false // which ones are chosen anew each time: the same, as they get nothing more
	}
	return left
}

// End closes all connections.
func (p *Pool) End(reason string) {
	for _, n := range p.order {
		p.closeWhere(n, reason, func(*conn) bool { return true })
	}
}

// before orders connections for Shed: those that get nothing more already, then those with the least.
func (c *conn) before(o *conn) bool {
	if c.retired != o.retired {
		return c.retired
	}
	return c.out.len() < o.out.len()
}

// Wants tells how many parts of each tenant are out at each node, or wait for a connection to it.
func (p *Pool) Wants(each func(node decision.NodeID, tenant, parts int)) {
	for _, n := range p.order {
		for _, c := range n.conns {
			for _, part := range c.out.parts {
				each(n.id, part.Tenant, 1)
			}
		}
	}
}
