package play

// This file owns clients that say what their reads need, the audit of what they get, and how brokers ask each other what they know
// of replicas. The audit goes by the writers' history and by the version that each value carries, never by a broker's word.

import (
	"fmt"
	"slices"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/decision/readpin"
	"flaxfront/internal/server"
)

// What brokers tell each other beside messages of the module, and clients that move.
const (
	kPullTimer    kind = iota + 60 // a broker asks another
	kPullRequest                   // a: when it asked, n: who
	kPullReply                     // a: when it was asked, p: []byte
	kSessionMoved                  // p: *session
)

// ReadCounts tell what became of searches with hints.
type ReadCounts struct {
	Hinted, Answered, Refused, Other int64 // searches' tries: with a hint, and how they ended
	Checked                          int64 // parts held against the writers' history
	Stale, Backward, Understated     int64 // of those: beyond the bound, before what was seen, older than stated
	Behind                           int64 // of those: behind, and said to be so, as the hint allowed
	Stated                           int64 // sum of the ages stated, in microseconds
	Same, Elsewhere                  int64 // parts of pinned sessions: at the node where that shard was last read, or at another
	Facts                            int64 // bytes of facts between brokers
	Pins                             readpin.Counts
}

// Add adds another's.
func (c *ReadCounts) Add(o *ReadCounts) {
	c.Hinted, c.Answered, c.Refused, c.Other = c.Hinted+o.Hinted, c.Answered+o.Answered, c.Refused+o.Refused, c.Other+o.Other
	c.Checked, c.Stale, c.Backward = c.Checked+o.Checked, c.Stale+o.Stale, c.Backward+o.Backward
	c.Understated, c.Behind, c.Stated = c.Understated+o.Understated, c.Behind+o.Behind, c.Stated+o.Stated
	c.Same, c.Elsewhere, c.Facts = c.Same+o.Same, c.Elsewhere+o.Elsewhere, c.Facts+o.Facts
	c.Pins.Add(&o.Pins)
}

// session is a client that remembers. It asks one search at a time, at one broker, and moves.
type session struct {
	key         string
	seenOffsets map[int]uint64 // by shard
	node        map[int]int    // where it was last read
}

// assignHint gives a search its hint.
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
		if b.rnd.Float64() < r.OwnWrites { // it has just written there
			h.NotBefore = []readhint.Position{{Shard: q.shards[0], Offset: positionAt(r, q.shards[0], b.now)}}
		}
	}
	h.AllowStale = !h.IsZero() && b.rnd.Float64() < r.OrStale
	if !h.IsZero() {
		q.hint = h
	}
}

// checkReads holds an answer to a try against the writers' history.
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
		b.reportBreach(7, "search %s was answered without a word on its reads", q.id)
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
			b.reportBreach(7, "search %s, bound %v: shard %d is at %d, %d was due", q.id, q.hint.MaxStaleness, shard, pos, positionAt(r, shard, q.submittedAt-q.hint.MaxStaleness))
		case backward:
			c.Backward++
			b.reportBreach(7, "search %s goes backward: shard %d is at %d, %d was seen", q.id, shard, pos, q.hint.MinOffset(shard))
		}
		if v.Staleness >= 0 && pos < positionAt(r, shard, b.now-v.Staleness) {
			c.Understated++
			b.reportBreach(7, "search %s states %v: shard %d is at %d, behind %d", q.id, v.Staleness, shard, pos, positionAt(r, shard, b.now-v.Staleness))
		}
		if at := slices.IndexFunc(v.Positions, func(p readhint.Position) bool { return p.Shard == shard }); at < 0 || v.Positions[at].Offset != pos {
			b.reportBreach(7, "search %s: the position of shard %d is told as %v, and is %d", q.id, shard, v.Positions, pos)
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

// releaseSession gives a session back once its search is over; now and then it goes to another broker.
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

// pullPositions has a broker ask another what it knows of replicas, where there is a way.
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

// handleSharing takes what concerns facts and sessions.
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

// addPinCounts counts what a broker counted of hints in its life.
func (b *broker) addPinCounts() {
	if b.core != nil && b.w.script.Reads.On {
		if p := b.core.Counters().ReadPins; p != nil {
			b.runner.tally.reads.Add(&ReadCounts{Pins: p.Counts})
		}
	}
}
