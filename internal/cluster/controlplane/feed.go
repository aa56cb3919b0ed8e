package controlplane

// This file owns the feed: entries as they were agreed, passed on to those that follow, from wherever they stand.

import (
	"log/slog"

	"flaxfront/internal/decision/statemachine"
)

const (
	keepEntries = 8192
	keepBytes   = 8 << 20
	feedEntries = 512     // in one frame
	feedBytes   = 1 << 20 // in one frame
	ahead       = 4 << 20 // bytes queued for one follower, beyond which it waits
)

// recent are the last entries, without a gap.
type recent struct {
	keep    int    // of them; 0: keepEntries
	prev    uint64 // the index before the first
	entries []entry
	bytes   int
}

func (r *recent) add(index uint64, data []byte) {
	r.entries = append(r.entries, entry{index, data})
	r.bytes += len(data)
	keep := r.keep
	if keep == 0 {
		keep = keepEntries
	}
	for len(r.entries) > keep || r.bytes > keepBytes && len(r.entries) > 1 {
		r.prev = r.entries[0].Index
		r.bytes -= len(r.entries[0].Data)
		r.entries = r.entries[1:]
	}
}

// after is what follows an index; false: it is too far back.
func (r *recent) after(index uint64) (rest []entry, ok bool) {
	if index < r.prev {
		return nil, false
	}
	i := len(r.entries)
	for i > 0 && r.entries[i-1].Index > index {
		i--
	}
	return r.entries[i:], true
}

// whole is a snapshot that comes in pieces.
type whole struct {
	index uint64
	data  []byte
}

// machine is the ledger as agreement drives it.
type machine struct{ f *Participant }

// Apply ends this voter at an entry that it cannot read. Danger: Raft would count it as applied, and cut the log before the next
// snapshot off, which a newer program needs to go on from there.
func (m machine) Apply(index uint64, data []byte) {
	m.f.apply(index, data)
	if m.f.halted != nil {
		panic(m.f.halted)
	}
}

func (m machine) Snapshot() []byte          { return m.f.state.Snapshot() }
func (m machine) Restore(data []byte) error { return m.f.restore(data) }

// apply takes over what was agreed.
func (f *Participant) apply(index uint64, data []byte) {
	if f.halted != nil {
		return
	}
	r := f.state.Apply(index, data)
	if unknown(r.Err) {
		f.halted = r.Err
		slog.Error("fleet: stopped before an entry of a newer version; searches go on", "index", index, "error", r.Err)
		f.changed = true
		f.sendAway()
		return
	}
	f.recent.add(index, data)
	f.changed = true
	f.applied(index, data, r)
}

// restore begins anew from a snapshot.
func (f *Participant) restore(data []byte) error {
	s, err := statemachine.Restore(data)
	if err != nil {
		return err
	}
	f.state, f.halted, f.changed, f.nodesMoved = s, nil, true, true
	f.recent = recent{keep: f.recent.keep, prev: s.AppliedIndex()}
	for _, p := range f.pending { // whether it is in there the ledger tells when it comes again
		p.sent = 0
	}
	return nil
}

// feedAll gives those that follow what they lack.
func (f *Participant) feedAll() {
	for c := range f.conns {
		if c.follows {
			f.feed(c)
		}
	}
}

func (f *Participant) feed(c *conn) {
	for c.waiting() < ahead {
		if len(c.snap) > 0 {
			n := min(pieceOf, len(c.snap))
			at := c.snapTotal - len(c.snap)
			f.put(c, letterPiece, piece{c.sent, c.snapTotal, at, c.snap[:n]})
			c.snap = c.snap[n:]
			continue
		}
		rest, ok := f.recent.after(c.sent)
		if !ok {
			f.Counts.Snapshots.Add(1)
			c.snap = f.state.Snapshot()
			c.sent, c.snapTotal = f.state.AppliedIndex(), len(c.snap)
			continue
		}
		if len(rest) == 0 {
			return
		}
		n, bytes := 0, 0
		for n < len(rest) && n < feedEntries && (n == 0 || bytes+len(rest[n].Data) <= feedBytes) {
			bytes += len(rest[n].Data)
			n++
		}
		f.put(c, letterFeed, feed{c.sent, rest[:n]})
		c.sent = rest[n-1].Index
	}
}

// takeFeed applies what the source passes on. One that leaves something out is asked again, from where this side stands.
func (f *Participant) takeFeed(c *conn, m feed) {
	if c != f.source || f.halted != nil {
		return
	}
	if m.Prev > f.state.AppliedIndex() {
		f.put(c, letterFollow, follow{f.state.AppliedIndex()})
		return
	}
	for _, e := range m.Entries {
		if e.Index > f.state.AppliedIndex() {
			f.apply(e.Index, e.Data)
		}
	}
}

// takePiece gathers a snapshot.
func (f *Participant) takePiece(c *conn, p piece) {
	if c != f.source {
		return
	}
	w := &f.whole
	if p.At == 0 {
		*w = whole{index: p.Index}
	}
	if p.Index != w.index || p.At != len(w.data) || p.Total > maxWhole || len(w.data)+len(p.Data) > p.Total {
		c.close()
		return
	}
	if w.data = append(w.data, p.Data...); len(w.data) < p.Total {
		return
	}
	data, index := w.data, w.index
	*w = whole{}
	if index <= f.state.AppliedIndex() && f.halted == nil {
		return
	}
	if err := f.restore(data); err != nil {
		slog.Error("fleet: a snapshot is not taken", "from", c.peer.Name, "error", err)
		c.close()
	}
}
