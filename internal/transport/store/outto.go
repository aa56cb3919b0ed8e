package store

// This file has what draining a node needs: whether attempts are in flight at it, and ending attempts that it must not get.

import "flaxfront/internal/decision"

// InFlightTo returns the number of attempts that are in flight at a node or wait for a connection to it.
func (p *Pool) InFlightTo(id decision.NodeID) (n int) {
	if node := p.nodes[id]; node != nil {
		for _, c := range node.conns {
			n += c.inFlight.len()
		}
	}
	return n
}

// EndUnsent ends attempts that must not be sent, with the outcome decision.NeverSent.
func (p *Pool) EndUnsent(attempts []*Subrequest) { p.end(attempts, decision.NeverSent) }
