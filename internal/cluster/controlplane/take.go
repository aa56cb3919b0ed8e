package controlplane

// This file owns what connections and their frames lead to.

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"flaxfront/internal/decision/statemachine"
)

// handleFrame does what a frame asks for. A side that sends what makes no sense is not trusted further.
func (p *Participant) handleFrame(c *conn, letter byte, body []byte) {
	if !p.connections[c] {
		return
	}
	p.Counts.FramesIn.Add(1)
	p.Counts.BytesIn.Add(uint64(len(body) + 5))
	now := p.options.Now()
	var err error
	switch {
	case c.peer.Role == roleOperator && letter != frameRequest:
		err = fmt.Errorf("%w: letter %q of an operator", errMalformedFrame, letter)
	case letter == framePacket:
		p.handlePacket(c, body)
	case letter == frameFollow:
		err = handleDecoded(body, func(m followFrame) { p.handleFollow(c, m.Index) })
	case letter == frameRedirect:
		err = handleDecoded(body, func(m redirectFrame) {
			if c == p.source && len(m.Addrs) <= 64 {
				c.otherSources = m.Addrs
			}
			c.close()
		})
	case letter == frameFeed:
		err = handleDecoded(body, func(m feedFrame) { p.handleFeed(c, m) })
	case letter == frameSnapshotPiece:
		err = handleDecoded(body, func(m snapshotPiece) { p.handleSnapshotPiece(c, m) })
	case letter == frameUpstream:
		err = handleDecoded(body, func(m upstreamFrame) { p.handleUpstream(c, m, now) })
	case letter == frameGrants:
		err = handleDecoded(body, func(m grantsFrame) { p.handleGrants(c, m, now) })
	case letter == frameHeartbeat:
		err = handleDecoded(body, func(m heartbeatFrame) { p.handleHeartbeat(c, m, now) })
	case letter == frameRequest:
		err = handleDecoded(body, func(m requestFrame) { p.handleRequest(c, m) })
	case letter == frameHello:
		err = fmt.Errorf("%w: a second hello", errMalformedFrame)
	default: // of a newer version
	}
	if err != nil {
		slog.Warn("fleet: what came makes no sense", "from", c.peer.Name, "error", err)
		c.close()
	}
}

func handleDecoded[T any](body []byte, do func(T)) error {
	m, err := decode[T](body)
	if err == nil {
		do(m)
	}
	return err
}

// handlePacket hands Raft what a voter sent.
func (p *Participant) handlePacket(c *conn, body []byte) {
	i := slices.IndexFunc(p.options.Voters, func(v Voter) bool { return v.Name == c.peer.Name })
	if i < 0 || p.raft == nil {
		return
	}
	if err := p.raft.Step(uint64(i+1), body, p.options.Now()); err != nil {
		slog.Debug("fleet: a voter's packet was dropped", "from", c.peer.Name, "error", err)
	}
}

// changesNodes tells whether an entry changes the agreed nodes; what brokers hold of them is not counted.
func changesNodes(e statemachine.Entry) bool {
	switch e.(type) {
	case *statemachine.LeaderElected, *statemachine.RegisterBroker, *statemachine.MarkBrokerLost, *statemachine.AcknowledgeDrain, *statemachine.AcknowledgePolicy, *statemachine.GrantLease, *statemachine.AcknowledgeLease,
		*statemachine.RelinquishLease, *statemachine.ExpireLease:
		return false
	}
	return true
}

// addConn takes a connection over.
func (p *Participant) addConn(c *conn) {
	p.connections[c] = true
	if !c.dialled {
		return
	}
	if c.toVoter {
		p.voterConns[c.peer.Name] = c
		return
	}
	p.source, p.sourcePath, p.sourcePathAt = c, nil, p.options.Now()
	p.incomingSnapshot = incomingSnapshot{}
	p.Counts.SourceChanges.Add(1)
	p.send(c, frameFollow, followFrame{p.state.AppliedIndex()})
}

// removeConn forgets a connection.
func (p *Participant) removeConn(c *conn, err error) {
	delete(p.connections, c)
	if p.voterConns[c.peer.Name] == c {
		delete(p.voterConns, c.peer.Name)
	}
	if p.source == c {
		p.source, p.sourcePath = nil, nil
	}
	for s, via := range p.routes {
		if via == c {
			delete(p.routes, s)
		}
	}
	for _, seq := range c.operatorProposals { // an operator that has gone wants nothing more
		delete(p.pending, seq)
	}
	if errors.Is(err, errMalformedFrame) {
		slog.Warn("fleet: what came makes no sense", "from", c.peer.Name, "error", err)
	}
}

func (p *Participant) send(c *conn, letter byte, body any) bool {
	b := frame(letter, body)
	p.Counts.FramesOut.Add(1)
	p.Counts.BytesOut.Add(uint64(len(b)))
	return c.enqueue(b)
}
