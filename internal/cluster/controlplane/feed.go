package controlplane

import (
	"log/slog"
)

const (
	maxRecentEntries   = 8192
	maxRecentBytes     = 8 << 20
	maxFeedEntries     = 512     // in one frame
	maxFeedBytes       = 1 << 20 // in one frame
	maxFollowerBacklog = 4 << 20 // bytes queued for one follower; at more, its feed pauses
)

// recentEntries holds the last applied entries, without gaps.
type recentEntries struct {
	maxEntries    int    // 0: maxRecentEntries
	previousIndex uint64 // the index before the first
	entries       []feedEntry
	bytes         int
}

func (r *recentEntries) add(index uint64, data []byte) {
	r.entries = append(r.entries, feedEntry{Index: index, Data: data})
	r.bytes += len(data)
	maxEntries := r.maxEntries
	if maxEntries == 0 {
		maxEntries = maxRecentEntries
	}
	for len(r.entries) > maxEntries || r.bytes > maxRecentBytes && len(r.entries) > 1 {
		r.previousIndex = r.entries[0].Index
		r.bytes -= len(r.entries[0].Data)
		r.entries = r.entries[1:]
	}
}

// after returns the entries after an index. It returns false if some of them are no longer held.
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

// appliedMachine is the consensus.StateMachine of a voter: raft applies committed entries to the participant through it.
type appliedMachine struct{ participant *Participant }

// Apply applies an entry. It panics, which stops this voter, at an entry that this program cannot read. Otherwise raft would count the
// entry as applied and compact the log, which a newer program needs to continue from that entry.
func (m appliedMachine) Apply(index uint64, data []byte) {
	m.participant.applyEntry(index, data)
	if m.participant.haltedBy != nil {
		panic(m.participant.haltedBy)
	}
}

// Snapshot implements consensus.StateMachine.
func (m appliedMachine) Snapshot() []byte { return m.participant.state.Snapshot() }

// Restore implements consensus.StateMachine.
func (m appliedMachine) Restore(data []byte) error { return m.participant.restoreSnapshot(data) }

// applyEntry applies a committed entry. It halts for good at an entry of a newer version, without applying it.
func (p *Participant) applyEntry(index uint64, data []byte) {
	if p.haltedBy != nil {
		return
	}
	result := p.state.Apply(index, data)
	p.viewOutdated = true
	if isUnknownEntry(result.Err) {
		p.haltedBy = result.Err
		slog.Error("stopped before an entry of a newer version", "component", component, "index", index,
			"error", result.Err, "remedy", remedyOf(result.Err))
		p.redirectFollowers()
		return
	}
	p.recentEntries.add(index, data)
	p.completeProposal(data, result)
}

// feedFollowers sends the followers the entries that they lack.
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
			p.sendSnapshotPiece(c)
			continue
		}
		rest, ok := p.recentEntries.after(c.sentIndex)
		if !ok {
			p.startSnapshot(c)
			continue
		}
		if len(rest) == 0 {
			return
		}
		batch := rest[:feedBatchLength(rest)]
		p.send(c, frameFeed, feedFrame{Previous: c.sentIndex, Entries: batch})
		c.sentIndex = batch[len(batch)-1].Index
	}
}

// feedBatchLength returns how many of the entries, at least one, fit in one frame.
func feedBatchLength(entries []feedEntry) (length int) {
	bytes := 0
	for _, entry := range entries[:min(len(entries), maxFeedEntries)] {
		bytes += len(entry.Data)
		if length > 0 && bytes > maxFeedBytes {
			break
		}
		length++
	}
	return length
}

// handleFeed applies the entries that the source sends. If there is a gap before them, it requests the feed again from this broker's
// applied index.
func (p *Participant) handleFeed(c *conn, feed feedFrame) {
	if c != p.source || p.haltedBy != nil {
		return
	}
	if feed.Previous > p.state.AppliedIndex() {
		p.send(c, frameFollow, followFrame{Index: p.state.AppliedIndex()})
		return
	}
	for _, entry := range feed.Entries {
		if entry.Index > p.state.AppliedIndex() {
			p.applyEntry(entry.Index, entry.Data)
		}
	}
}
