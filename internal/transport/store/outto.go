package store

// This file owns what fleets ask of a pool: whether a node has anything in hand, and that it gets nothing.

import "flaxfront/internal/decision"

// InFlightTo tells how many parts are out at a node, or wait for a connection to it.
func (p *Pool) InFlightTo(id decision.NodeID) (n int) {
	if node := p.nodes[id]; node != nil {
		for _, c := range node.conns {
			n += c.inFlight.len()
		}
	}
	return n
}

// EndUnsent ends parts that may not be sent.
func (p *Pool) EndUnsent(attempts []*Subrequest) { p.end(attempts, decision.NeverSent) }
