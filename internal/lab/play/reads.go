package play

// This file simulates clients that send read hints, audits the answers (rule 7), and lets brokers exchange known replica positions.
// The audit relies on the writers' history and on the position that each value carries, never on what a broker states.

import (
	"fmt"
	"slices"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/server"
)

// Events of the exchange of positions between brokers, and of clients that move to another broker.
const (
	kPullTimer    kind = iota + 60 // the broker asks another for positions
	kPullRequest                   // a: time of the request, n: the broker that asks
	kPullReply                     // a: time of the request, payload: []byte
	kSessionMoved                  // payload: *session
)

// ReadCounts counts what became of queries with read hints.
type ReadCounts struct {
	Hinted, Answered, Refused, Other int64 // tries with a hint, and how they ended: answered, shed, failed
	Checked                          int64 // shard answers compared with the writers' history
	Stale, Backward, Understated     int64 // of Checked, violations: staler than the bound, before a position seen, staler than stated
	Behind                           int64 // of Checked: behind, stated as behind, and allowed by the hint
	Stated                           int64 // sum of the staleness stated, in microseconds
	Same, Elsewhere                  int64 // shard answers of pinned sessions: from the node that last answered that shard, or from another
	Facts                            int64 // bytes of positions sent between brokers
	Pins                             readpin.Counts
}

// Add adds the counts of o.
func (c *ReadCounts) Add(o *ReadCounts) {
	c.Hinted, c.Answered, c.Refused, c.Other = c.Hinted+o.Hinted, c.Answered+o.Answered, c.Refused+o.Refused, c.Other+o.Other
	c.Checked, c.Stale, c.Backward = c.Checked+o.Checked, c.Stale+o.Stale, c.Backward+o.Backward
	c.Understated, c.Behind, c.Stated = c.Understated+o.Understated, c.Behind+o.Behind, c.Stated+o.Stated
	c.Same, c.Elsewhere, c.Facts = c.Same+o.Same, c.Elsewhere+o.Elsewhere, c.Facts+o.Facts
	c.Pins.Add(&o.Pins)
}

// session is a client that remembers the positions it has read. It has one query in progress at a time, and moves between brokers.
type session struct {
	key         string
	seenOffsets map[int]uint64 // highest position read, by shard
	node        map[int]int    // node that last answered, by shard
}

// assignHint draws a session and a read hint for a query.
func (b *broker) assignHint(q *clientQuery) {
	r := &b.w.script.Reads
	if !r.On || b.policy != Module || b.rnd.Float64() >= r.Hinted {
		return
	}
	if n := len(b.idleSessions); n >= r.Sessions {
		i := b.rnd.IntN(n)
		q.session, b.idleSessions[i] = b.idleSessions[i], b.idleSessions[n-1]
		b.idleSessions = b.idleSessions[:n-1]
	} else {
		b.sessionCount++
		q.session = &session{fmt.Sprintf("%d.%d", b.n, b.sessionCount), map[int]uint64{}, map[int]int{}}
	}
	h := &readhint.Hint{}
	switch chance := b.rnd.Float64(); {
	case chance < r.HotKey:
		h.Scope, h.Key = readhint.ScopeKey, "hot"
	case chance < r.HotKey+r.Pinned:
		h.Scope, h.Key = readhint.ScopeSession, q.session.key
	}
	if b.rnd.Float64() < r.Fresh {
		h.MaxStaleness = (r.StalenessMin + time.Duration(b.rnd.Float64()*float64(r.StalenessMax-r.StalenessMin))).Round(time.Millisecond)
	}
	if b.rnd.Float64() < r.Tokens {
		for _, shard := range slices.Sorted(slices.Values(q.shards)) {
			h.NotBefore = append(h.NotBefore, readhint.Position{Shard: shard, Offset: q.session.seenOffsets[shard]})
		}
		if b.rnd.Float64() < r.OwnWrites { // the client has just written there
			h.NotBefore = []readhint.Position{{Shard: q.shards[0], Offset: positionAt(r, q.shards[0], b.now)}}
		}
	}
	h.AllowStale = !h.IsZero() && b.rnd.Float64() < r.OrStale
	if !h.IsZero() {
		q.hint = h
	}
}

// checkReads compares an answer with the writers' history.
func (b *broker) checkReads(q *clientQuery, v *server.QueryResult) {
	c, r := &b.runner.tally.reads, &b.w.script.Reads
	if q.hint == nil {
		return
	}
	c.Hinted++
	switch {
	case v.Shed:
		c.Refused++
		return
	case !v.Answered:
		c.Other++
		return
	}
	c.Answered++
	if !v.Hinted {
		b.reportBreach(7, "query %s had a read hint and was answered without positions", q.id)
		return
	}
	if v.Staleness >= 0 {
		c.Stated += v.Staleness.Microseconds()
	}
	for i, shard := range v.Shards {
		_, pos, node := splitValue(v.Values[i])
		c.Checked++
		stale := q.hint.MaxStaleness > 0 && pos < positionAt(r, shard, q.submittedAt-q.hint.MaxStaleness)
		backward := pos < q.hint.MinOffset(shard)
		declared := q.hint.AllowStale && slices.Contains(v.Behind, shard)
		switch {
		case (stale || backward) && declared:
			c.Behind++
		case stale:
			c.Stale++
			b.reportBreach(7, "query %s, staleness bound %v: shard %d was read at position %d, %d required", q.id, q.hint.MaxStaleness, shard, pos, positionAt(r, shard, q.submittedAt-q.hint.MaxStaleness))
		case backward:
			c.Backward++
			b.reportBreach(7, "query %s went backward: shard %d was read at position %d after %d", q.id, shard, pos, q.hint.MinOffset(shard))
		}
		if v.Staleness >= 0 && pos < positionAt(r, shard, b.now-v.Staleness) {
			c.Understated++
			b.reportBreach(7, "query %s states staleness %v: shard %d was read at position %d, behind %d", q.id, v.Staleness, shard, pos, positionAt(r, shard, b.now-v.Staleness))
		}
		if at := slices.IndexFunc(v.Positions, func(p readhint.Position) bool { return p.Shard == shard }); at < 0 || v.Positions[at].Offset != pos {
			b.reportBreach(7, "query %s: the position of shard %d is stated as %v, but is %d", q.id, shard, v.Positions, pos)
		}
		if s := q.session; q.hint.Scope == readhint.ScopeSession {
			if last, known := s.node[shard]; known && last == node {
				c.Same++
			} else if known {
				c.Elsewhere++
			}
			s.node[shard] = node
		}
		q.session.seenOffsets[shard] = max(q.session.seenOffsets[shard], pos)
	}
}

// releaseSession frees the session of a query that has ended. By chance the session moves to another broker.
func (b *broker) releaseSession(q *clientQuery) {
	s := q.session
	if s == nil {
		return
	}
	q.session, q.hint = nil, nil
	if n := b.w.script.Brokers.Count; n > 1 && b.rnd.Float64() < b.w.script.Reads.MoveChance {
		to := (b.n + 1 + b.rnd.IntN(n-1)) % n
		b.send(uint32(idBrokers+to), b.now+b.w.script.Network.CrossZoneDelay, kSessionMoved, 0, 0, s)
		return
	}
	b.idleSessions = append(b.idleSessions, s)
}

// pullPositions asks another broker for the replica positions that it knows, unless the request is lost, and schedules the next pull.
func (b *broker) pullPositions() {
	r, n := &b.w.script.Reads, b.w.script.Brokers.Count
	if !r.On || n < 2 || b.policy != Module {
		return
	}
	b.send(b.id, b.now+r.ShareInterval/2+time.Duration(b.rnd.Float64()*float64(r.ShareInterval)), kPullTimer, 0, 0, nil)
	to := (b.n + 1 + b.rnd.IntN(n-1)) % n
	if took, lost, held := b.samplePath(b.zone, to%b.w.script.Fleet.Zones); b.core != nil && !lost && held == 0 {
		b.send(uint32(idBrokers+to), b.now+took, kPullRequest, int32(b.n), uint64(b.now), nil)
	}
}

// handleSharing handles the events of positions and sessions.
func (b *broker) handleSharing(e *event) {
	switch e.kind {
	case kPullTimer:
		b.pullPositions()
	case kSessionMoved:
		b.idleSessions = append(b.idleSessions, e.payload.(*session))
	case kPullRequest:
		if took, lost, held := b.samplePath(b.zone, int(e.n)%b.w.script.Fleet.Zones); b.core != nil && !lost && held == 0 {
			data := b.core.CollectPositions()
			b.runner.tally.reads.Facts += int64(len(data))
			b.send(uint32(idBrokers)+uint32(e.n), b.now+took, kPullReply, 0, e.a, data)
		}
	case kPullReply:
		if asked := time.Duration(e.a); b.core != nil && asked >= b.startedAt {
			b.core.MergePositions(e.payload.([]byte), b.now-asked)
			b.scheduleStep()
		}
	}
}

// addPinCounts adds the read pin counters of the broker's process to the tally. It is called when the process ends.
func (b *broker) addPinCounts() {
	if b.core != nil && b.w.script.Reads.On {
		if p := b.core.Counters().ReadPins; p != nil {
			b.runner.tally.reads.Add(&ReadCounts{Pins: p.Counts})
		}
	}
}
