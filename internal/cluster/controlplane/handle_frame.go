package controlplane

import (
	"errors"
	"fmt"
	"log/slog"

	"flaxfront/internal/decision/statemachine"
)

// frameHeaderBytes is the size of a frame's length and kind, which precede its body.
const frameHeaderBytes = 5

// handleFrame handles a frame from a connection, and closes the connection if the frame is malformed.
func (p *Participant) handleFrame(c *conn, kind byte, body []byte) {
	if !p.connections[c] {
		return
	}
	p.Counts.FramesIn.Add(1)
	p.Counts.BytesIn.Add(uint64(len(body) + frameHeaderBytes))
	if err := p.dispatchFrame(c, kind, body); err != nil {
		slog.Warn("malformed message rejected", "component", component, "broker", c.peer.Name, "error", err)
		c.close()
	}
}

func (p *Participant) dispatchFrame(c *conn, kind byte, body []byte) error {
	now := p.options.Now()
	if c.peer.Role == roleOperator && kind != frameRequest {
		return &FrameError{Reason: fmt.Sprintf("an operator may not send kind %q", kind)}
	}
	switch kind {
	case frameHello:
		return &FrameError{Reason: "hello sent twice"}
	case framePacket:
		p.handlePacket(c, body)
		return nil
	case frameFollow:
		return handleDecoded(body, func(f followFrame) { p.handleFollow(c, f.Index) })
	case frameRedirect:
		return handleDecoded(body, func(f redirectFrame) { p.handleRedirect(c, f) })
	case frameFeed:
		return handleDecoded(body, func(f feedFrame) { p.handleFeed(c, f) })
	case frameSnapshotPiece:
		return handleDecoded(body, func(f snapshotPiece) { p.handleSnapshotPiece(c, f) })
	case frameUpstream:
		return handleDecoded(body, func(f upstreamFrame) { p.handleUpstream(c, f, now) })
	case frameGrants:
		return handleDecoded(body, func(f grantsFrame) { p.handleGrants(c, f, now) })
	case frameHeartbeat:
		return handleDecoded(body, func(f heartbeatFrame) { p.handleHeartbeat(c, f, now) })
	case frameRequest:
		return handleDecoded(body, func(f requestFrame) { p.handleRequest(c, f) })
	}
	return nil // a kind of a newer version: ignored
}

func handleDecoded[T any](body []byte, handle func(T)) error {
	frame, err := decode[T](body)
	if err == nil {
		handle(frame)
	}
	return err
}

// handlePacket passes a raft packet from another voter to raft.
func (p *Participant) handlePacket(c *conn, body []byte) {
	index := p.voterIndex(c.peer.Name)
	if index < 0 || p.raft == nil {
		return
	}
	if err := p.raft.Step(voterIDOf(index), body, p.options.Now()); err != nil {
		slog.Debug("raft packet dropped", "component", component, "broker", c.peer.Name, "error", err)
	}
}

// addConn registers a connection after its handshake. Over a connection to a source, this broker then requests the entries after its
// applied index.
func (p *Participant) addConn(c *conn) {
	p.connections[c] = true
	if !c.dialled {
		return
	}
	if c.toVoter {
		p.voterConns[c.peer.Name] = c
		return
	}
	p.source = c
	p.sourcePath = nil
	p.sourcePathAt = p.options.Now()
	p.incomingSnapshot = incomingSnapshot{}
	p.Counts.SourceChanges.Add(1)
	p.send(c, frameFollow, followFrame{Index: p.state.AppliedIndex()})
}

// removeConn removes a connection that has ended. err is the reason, nil if there was no error.
func (p *Participant) removeConn(c *conn, err error) {
	delete(p.connections, c)
	if p.voterConns[c.peer.Name] == c {
		delete(p.voterConns, c.peer.Name)
	}
	if p.source == c {
		p.source = nil
		p.sourcePath = nil
	}
	for slot, route := range p.routes {
		if route == c {
			delete(p.routes, slot)
		}
	}
	for _, sequence := range c.operatorProposals { // the operator that waited for their outcome is gone
		delete(p.pending, sequence)
	}
	if errors.As(err, new(*FrameError)) {
		slog.Warn("malformed message rejected", "component", component, "broker", c.peer.Name, "error", err)
	}
}

// send queues a frame. A connection whose queue is full closes itself.
func (p *Participant) send(c *conn, kind byte, body any) {
	frame := encodeFrame(kind, body)
	p.Counts.FramesOut.Add(1)
	p.Counts.BytesOut.Add(uint64(len(frame)))
	c.enqueue(frame)
}

// changesNodes reports whether an entry may change a line of the agreed node list. Leases on connections to nodes are not part of it.
func changesNodes(entry statemachine.Entry) bool {
	switch entry.(type) {
	case *statemachine.LeaderElected,
		*statemachine.RegisterBroker,
		*statemachine.MarkBrokerLost,
		*statemachine.AcknowledgeDrain,
		*statemachine.AcknowledgePolicy,
		*statemachine.GrantLease,
		*statemachine.AcknowledgeLease,
		*statemachine.RelinquishLease,
		*statemachine.ExpireLease:
		return false
	}
	return true
}
