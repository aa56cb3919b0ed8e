package controlplane

import (
	"log/slog"

	"flaxfront/internal/decision/statemachine"
)

// incomingSnapshot is a snapshot of which pieces are still arriving.
type incomingSnapshot struct {
	index uint64 // of the last entry in the snapshot
	data  []byte
}

// startSnapshot starts to send a follower a snapshot of the current state.
func (p *Participant) startSnapshot(c *conn) {
	p.Counts.Snapshots.Add(1)
	c.snapshotRest = p.state.Snapshot()
	c.snapshotBytes = len(c.snapshotRest)
	c.sentIndex = p.state.AppliedIndex()
}

func (p *Participant) sendSnapshotPiece(c *conn) {
	length := min(snapshotPieceBytes, len(c.snapshotRest))
	p.send(c, frameSnapshotPiece, snapshotPiece{
		Index:  c.sentIndex,
		Total:  c.snapshotBytes,
		Offset: c.snapshotBytes - len(c.snapshotRest),
		Data:   c.snapshotRest[:length],
	})
	c.snapshotRest = c.snapshotRest[length:]
}

// handleSnapshotPiece collects the pieces of a snapshot from the source, and restores the snapshot once it is complete.
func (p *Participant) handleSnapshotPiece(c *conn, piece snapshotPiece) {
	if c != p.source {
		return
	}
	incoming := &p.incomingSnapshot
	if piece.Offset == 0 {
		*incoming = incomingSnapshot{index: piece.Index}
	}
	if !incoming.continuesWith(&piece) {
		c.close()
		return
	}
	incoming.data = append(incoming.data, piece.Data...)
	if len(incoming.data) < piece.Total {
		return
	}
	snapshot := *incoming
	*incoming = incomingSnapshot{}
	if snapshot.index <= p.state.AppliedIndex() && p.haltedBy == nil {
		return
	}
	if err := p.restoreSnapshot(snapshot.data); err != nil {
		slog.Error("snapshot rejected", "component", component, "broker", c.peer.Name, "error", err, "remedy", remedyOf(err))
		c.close()
	}
}

func (s *incomingSnapshot) continuesWith(piece *snapshotPiece) bool {
	isNext := piece.Index == s.index && piece.Offset == len(s.data)
	isWithinBounds := piece.Total <= maxSnapshotBytes && len(s.data)+len(piece.Data) <= piece.Total
	return isNext && isWithinBounds
}

// restoreSnapshot replaces the state machine by that of a snapshot.
func (p *Participant) restoreSnapshot(data []byte) error {
	state, err := statemachine.Restore(data)
	if err != nil {
		return err
	}
	p.state = state
	p.haltedBy = nil
	p.viewOutdated = true
	p.nodesChanged = true
	p.recentEntries = recentEntries{maxEntries: p.recentEntries.maxEntries, previousIndex: state.AppliedIndex()}
	for _, pending := range p.pending { // sent again, as the snapshot may contain them; the state machine ignores those that it has applied
		pending.sentAt = 0
	}
	return nil
}
