package controlplane

// This file owns the feed: entries as they were agreed, passed on to those that follow, from wherever they stand.

import (
	"log/slog"

	"flaxfront/internal/decision/statemachine"
)

const (
	maxRecentEntries   = 8192
	maxRecentBytes     = 8 << 20
	maxFeedEntries     = 512     // in one frame
	maxFeedBytes       = 1 << 20 // in one frame
	maxFollowerBacklog = 4 << 20 // bytes queued for one follower, beyond which it waits
)

// recentEntries are the last entries, without a gap.
type recentEntries struct {
	maxEntries    int    // of them; 0: keepEntries
	previousIndex uint64 // the index before the first
	entries       []feedEntry
	bytes         int
}

func (r *recentEntries) add(index uint64, data []byte) {
	r.entries = append(r.entries, feedEntry{index, data})
	r.bytes += len(data)
	keep := r.maxEntries
	if keep == 0 {
		keep = maxRecentEntries
	}
	for len(r.entries) > keep || r.bytes > maxRecentBytes && len(r.entries) > 1 {
		r.previousIndex = r.entries[0].Index
		r.bytes -= len(r.entries[0].Data)
		r.entries = r.entries[1:]
	}
}

// after is what follows an index; false: it is too far back.
func (r *recentEntries) after(index uint64) (rest []feedEntry, ok bool) {
	if index < r.previousIndex {
		return nil, false
	}
	i := len(r.entries)
	for i > 0 && r.entries[i-1].Index > index {
		i--
	}
	return r.entries[i:], true
}

// incomingSnapshot is a snapshot that comes in pieces.
type incomingSnapshot struct {
	index uint64
	data  []byte
}

// appliedMachine is the ledger as agreement drives it.
type appliedMachine struct{ participant *Participant }

// Apply ends this voter at an entry that it cannot read. Danger: Raft would count it as applied, and cut the log before the next
// snapshot off, which a newer program needs to go on from there.
func (m appliedMachine) Apply(index uint64, data []byte) {
	m.participant.applyEntry(index, data)
	if m.participant.haltedBy != nil {
		panic(m.participant.haltedBy)
	}
}

func (m appliedMachine) Snapshot() []byte          { return m.participant.state.Snapshot() }
func (m appliedMachine) Restore(data []byte) error { return m.participant.restoreSnapshot(data) }

// applyEntry takes over what was agreed.
func (p *Participant) applyEntry(index uint64, data []byte) {
	if p.haltedBy != nil {
		return
	}
	r := p.state.Apply(index, data)
	if isUnknownEntry(r.Err) {
		p.haltedBy = r.Err
		slog.Error("fleet: stopped before an entry of a newer version; searches go on", "index", index, "error", r.Err)
		p.viewOutdated = true
		p.redirectFollowers()
		return
	}
	p.recentEntries.add(index, data)
	p.viewOutdated = true
	p.completeProposal(index, data, r)
}

// restoreSnapshot begins anew from a snapshot.
func (p *Participant) restoreSnapshot(data []byte) error {
	s, err := statemachine.Restore(data)
	if err != nil {
		return err
	}
	p.state, p.haltedBy, p.viewOutdated, p.nodesChanged = s, nil, true, true
	p.recentEntries = recentEntries{maxEntries: p.recentEntries.maxEntries, previousIndex: s.AppliedIndex()}
	for _, waiting := range p.pending { // whether it is in there the ledger tells when it comes again
		waiting.sentAt = 0
	}
	return nil
}

// feedFollowers gives those that follow what they lack.
func (p *Participant) feedFollowers() {
	for c := range p.connections {
		if c.isFollower {
			p.feedFollower(c)
		}
	}
}

func (p *Participant) feedFollower(c *conn) {
	for c.backlog() < maxFollowerBacklog {
		if len(c.snapshotRest) > 0 {
			n := min(snapshotPieceBytes, len(c.snapshotRest))
			at := c.snapshotBytes - len(c.snapshotRest)
			p.send(c, frameSnapshotPiece, snapshotPiece{c.sentIndex, c.snapshotBytes, at, c.snapshotRest[:n]})
			c.snapshotRest = c.snapshotRest[n:]
			continue
		}
		rest, ok := p.recentEntries.after(c.sentIndex)
		if !ok {
			p.Counts.Snapshots.Add(1)
			c.snapshotRest = p.state.Snapshot()
			c.sentIndex, c.snapshotBytes = p.state.AppliedIndex(), len(c.snapshotRest)
			continue
		}
		if len(rest) == 0 {
			return
		}
		n, bytes := 0, 0
		for n < len(rest) && n < maxFeedEntries && (n == 0 || bytes+len(rest[n].Data) <= maxFeedBytes) {
			bytes += len(rest[n].Data)
			n++
		}
		p.send(c, frameFeed, feedFrame{c.sentIndex, rest[:n]})
		c.sentIndex = rest[n-1].Index
	}
}

// handleFeed applies what the source passes on. One that leaves something out is asked again, from where this side stands.
func (p *Participant) handleFeed(c *conn, m feedFrame) {
	if c != p.source || p.haltedBy != nil {
		return
	}
	if m.Previous > p.state.AppliedIndex() {
		p.send(c, frameFollow, followFrame{p.state.AppliedIndex()})
		return
	}
	for _, e := range m.Entries {
		if e.Index > p.state.AppliedIndex() {
			p.applyEntry(e.Index, e.Data)
		}
	}
}

// handleSnapshotPiece gathers a snapshot.
func (p *Participant) handleSnapshotPiece(c *conn, piece snapshotPiece) {
	if c != p.source {
		return
	}
	w := &p.incomingSnapshot
	if piece.Offset == 0 {
		*w = incomingSnapshot{index: piece.Index}
	}
	if piece.Index != w.index || piece.Offset != len(w.data) || piece.Total > maxSnapshotBytes || len(w.data)+len(piece.Data) > piece.Total {
		c.close()
		return
	}
	if w.data = append(w.data, piece.Data...); len(w.data) < piece.Total {
		return
	}
	data, index := w.data, w.index
	*w = incomingSnapshot{}
	if index <= p.state.AppliedIndex() && p.haltedBy == nil {
		return
	}
	if err := p.restoreSnapshot(data); err != nil {
		slog.Error("fleet: a snapshot is not taken", "from", c.peer.Name, "error", err)
		c.close()
	}
}
