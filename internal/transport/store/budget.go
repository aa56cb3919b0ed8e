package store

// This file makes the pool respect a connection budget that is divided between brokers and tenants: it asks the budget before it opens a
// connection, and closes those that the budget no longer covers, idle ones first. How the budget is divided is not known here.

import "flaxfront/internal/decision"

// OpenDecision states whether a connection may be opened, and who may use it.
type OpenDecision uint8

const (
	Denied        OpenDecision = iota
	OpenForTenant              // only this tenant's attempts may use it
	OpenShared                 // attempts of all tenants may use it
)

// Budget decides which connections may be opened. The loop calls Open before it opens a connection, and Closed after each end of one;
// byNode reports whether the node closed it.
type Budget interface {
	Open(node decision.NodeID, tenant int) OpenDecision
	Closed(node decision.NodeID, tenant int, byNode bool)
}

// SetBudget sets the budget that the pool respects. It must be called before anything is sent. Without a budget, only Limits apply.
func (p *Pool) SetBudget(b Budget) { p.budget = b }

// mayUse reports whether a tenant's attempts may use a connection.
func (p *Pool) mayUse(c *conn, tenant int) bool {
	return p.budget == nil || c.shared || c.tenant == tenant
}

// openDecision asks the budget, if there is one, whether a connection for a tenant may be opened.
func (p *Pool) openDecision(n *node, tenant int) OpenDecision {
	if p.budget == nil {
		return OpenShared
	}
	return p.budget.Open(n.id, tenant)
}

// reportClosed informs the budget that a connection has ended.
func (p *Pool) reportClosed(c *conn, byNode bool) {
	if p.budget != nil {
		p.budget.Closed(c.node.id, c.tenant, byNode)
	}
}

// endedByNode reports whether the reason code implies that the node knows of the connection's end. A dial that timed out does not: the
// node may have accepted it.
func endedByNode(reason string) bool {
	return reason == "closed_by_node" || reason == "reset" || reason == "refused"
}

// ReleaseConnections releases count of a tenant's connections to a node: idle ones are closed at once, and then those with the fewest
// attempts in flight are retired, so that they close when idle. It returns how many were retired. With immediate, all are closed at once:
// the lease has ended, and another broker may use the node's capacity. Their attempts end as connection reset and must be sent again.
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
		c.selected = false // the next call selects the same ones again, as they are retired
	}
	return remaining
}

// CloseAll closes all connections with a reason code.
func (p *Pool) CloseAll(reason string) {
	for _, n := range p.nodeOrder {
		p.closeWhere(n, reason, func(*conn) bool { return true })
	}
}

// releasedBefore orders connections for ReleaseConnections: retired ones first, then by the number of attempts in flight.
func (c *conn) releasedBefore(o *conn) bool {
	if c.retired != o.retired {
		return c.retired
	}
	return c.inFlight.len() < o.inFlight.len()
}

// VisitInFlight calls visit, with a count of 1, for each attempt that is in flight at a node or waits for a connection to it.
func (p *Pool) VisitInFlight(visit func(node decision.NodeID, tenant, attempts int)) {
	for _, n := range p.nodeOrder {
		for _, c := range n.conns {
			for _, attempt := range c.inFlight.attempts {
				visit(n.id, attempt.Tenant, 1)
			}
		}
	}
}
