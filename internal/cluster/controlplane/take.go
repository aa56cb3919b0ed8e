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
func (f *Participant) handleFrame(c *conn, letter byte, body []byte) {
	if !f.connections[c] {
		return
	}
	f.Counts.FramesIn.Add(1)
	f.Counts.BytesIn.Add(uint64(len(body) + 5))
	now := f.options.Now()
	var err error
	switch {
	case c.peer.Role == roleOperator && letter != frameRequest:
		err = fmt.Errorf("%w: letter %q of an operator", errMalformedFrame, letter)
	case letter == framePacket:
		f.handlePacket(c, body)
	case letter == frameFollow:
		err = handleDecoded(body, func(m followFrame) { f.handleFollow(c, m.Index) })
	case letter == frameRedirect:
		err = handleDecoded(body, func(m redirectFrame) {
			if c == f.source && len(m.Addrs) <= 64 {
				c.otherSources = m.Addrs
			}
			c.close()
		})
	case letter == frameFeed:
		err = handleDecoded(body, func(m feedFrame) { f.handleFeed(c, m) })
	case letter == frameSnapshotPiece:
		err = handleDecoded(body, func(m snapshotPiece) { f.handleSnapshotPiece(c, m) })
	case letter == frameUpstream:
		err = handleDecoded(body, func(m upstreamFrame) { f.handleUpstream(c, m, now) })
	case letter == frameGrants:
		err = handleDecoded(body, func(m grantsFrame) { f.handleGrants(c, m, now) })
	case letter == frameHeartbeat:
		err = handleDecoded(body, func(m heartbeatFrame) { f.handleHeartbeat(c, m, now) })
	case letter == frameRequest:
		err = handleDecoded(body, func(m requestFrame) { f.handleRequest(c, m) })
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
func (f *Participant) handlePacket(c *conn, body []byte) {
	i := slices.IndexFunc(f.options.Voters, func(v Voter) bool { return v.Name == c.peer.Name })
	if i < 0 || f.raft == nil {
		return
	}
	if err := f.raft.Step(uint64(i+1), body, f.options.Now()); err != nil {
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
func (f *Participant) addConn(c *conn) {
	f.connections[c] = true
	if !c.dialled {
		return
	}
	if c.toVoter {
		f.voterConns[c.peer.Name] = c
		return
	}
	f.source, f.sourcePath, f.sourcePathAt = c, nil, f.options.Now()
	f.incomingSnapshot = incomingSnapshot{}
	f.Counts.SourceChanges.Add(1)
	f.send(c, frameFollow, followFrame{f.state.AppliedIndex()})
}

// removeConn forgets a connection.
func (f *Participant) removeConn(c *conn, err error) {
	delete(f.connections, c)
	if f.voterConns[c.peer.Name] == c {
		delete(f.voterConns, c.peer.Name)
	}
	if f.source == c {
		f.source, f.sourcePath = nil, nil
	}
	for s, via := range f.routes {
		if via == c {
			delete(f.routes, s)
		}
	}
	for _, seq := range c.operatorProposals { // an operator that has gone wants nothing more
		delete(f.pending, seq)
	}
	if errors.Is(err, errMalformedFrame) {
		slog.Warn("fleet: what came makes no sense", "from", c.peer.Name, "error", err)
	}
}

func (f *Participant) send(c *conn, letter byte, body any) bool {
	b := frame(letter, body)
	f.Counts.FramesOut.Add(1)
	f.Counts.BytesOut.Add(uint64(len(b)))
	return c.enqueue(b)
}
