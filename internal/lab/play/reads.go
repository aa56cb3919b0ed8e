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
	kShare kind = iota + 60 // a broker asks another
	kPull                   // a: when it asked, n: who
	kFacts                  // a: when it was asked, p: []byte
	kMove                   // p: *session
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
	key  string
	seen map[int]uint64 // by shard
	node map[int]int    // where it was last read
}

// wish gives a search its hint.
func (f *front) wish(q *asked) {
	r := &f.w.script.Reads
	if !r.On || f.policy != Module || f.rnd.Float64() >= r.Hinted {
		return
	}
	if n := len(f.sessions); n >= r.Sessions {
		i := f.rnd.IntN(n)
		q.session, f.sessions[i] = f.sessions[i], f.sessions[n-1]
		f.sessions = f.sessions[:n-1]
	} else {
		f.begun++
		q.session = &session{fmt.Sprintf("%d.%d", f.n, f.begun), map[int]uint64{}, map[int]int{}}
	}
	h := &readhint.Hint{}
	switch draw := f.rnd.Float64(); {
	case draw < r.HotKey:
		h.Scope, h.Key = readhint.ScopeKey, "hot"
	case draw < r.HotKey+r.Pinned:
		h.Scope, h.Key = readhint.ScopeSession, q.session.key
	}
	if f.rnd.Float64() < r.Fresh {
		h.MaxStaleness = (r.StalenessMin + time.Duration(f.rnd.Float64()*float64(r.StalenessMax-r.StalenessMin))).Round(time.Millisecond)
	}
	if f.rnd.Float64() < r.Tokens {
		for _, shard := range slices.Sorted(slices.Values(q.shards)) {
			h.NotBefore = append(h.NotBefore, readhint.Position{Shard: shard, Offset: q.session.seen[shard]})
		}
		if f.rnd.Float64() < r.OwnWrites { // it has just written there
			h.NotBefore = []readhint.Position{{Shard: q.shards[0], Offset: writesBy(r, q.shards[0], f.now)}}
		}
	}
	h.AllowStale = !h.IsZero() && f.rnd.Float64() < r.OrStale
	if !h.IsZero() {
		q.hint = h
	}
}

// checkReads holds an answer to a try against the writers' history.
func (f *front) checkReads(q *asked, v *server.QueryResult) {
	c, r := &f.by.tally.reads, &f.w.script.Reads
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
		f.breach(7, "search %s was answered without a word on its reads", q.id)
		return
	}
	if v.Staleness >= 0 {
		c.Stated += v.Staleness.Microseconds()
	}
	for i, shard := range v.Shards {
		_, pos, node := versionOf(v.Values[i])
		c.Checked++
		stale := q.hint.MaxStaleness > 0 && pos < writesBy(r, shard, q.tried-q.hint.MaxStaleness)
		backward := pos < q.hint.MinOffset(shard)
		said := q.hint.AllowStale && slices.Contains(v.Behind, shard)
		switch {
		case (stale || backward) && said:
			c.Behind++
		case stale:
			c.Stale++
			f.breach(7, "search %s, bound %v: shard %d is at %d, %d was due", q.id, q.hint.MaxStaleness, shard, pos, writesBy(r, shard, q.tried-q.hint.MaxStaleness))
		case backward:
			c.Backward++
			f.breach(7, "search %s goes backward: shard %d is at %d, %d was seen", q.id, shard, pos, q.hint.MinOffset(shard))
		}
		if v.Staleness >= 0 && pos < writesBy(r, shard, f.now-v.Staleness) {
			c.Understated++
			f.breach(7, "search %s states %v: shard %d is at %d, behind %d", q.id, v.Staleness, shard, pos, writesBy(r, shard, f.now-v.Staleness))
		}
		if at := slices.IndexFunc(v.Positions, func(p readhint.Position) bool { return p.Shard == shard }); at < 0 || v.Positions[at].Offset != pos {
			f.breach(7, "search %s: the position of shard %d is told as %v, and is %d", q.id, shard, v.Positions, pos)
		}
		if s := q.session; q.hint.Scope == readhint.ScopeSession {
			if last, known := s.node[shard]; known && last == node {
				c.Same++
			} else if known {
				c.Elsewhere++
			}
			s.node[shard] = node
		}
		q.session.seen[shard] = max(q.session.seen[shard], pos)
	}
}

// rest gives a session back once its search is over; now and then it goes to another broker.
func (f *front) rest(q *asked) {
	s := q.session
	if s == nil {
		return
	}
	q.session, q.hint = nil, nil
	if n := f.w.script.Brokers.Count; n > 1 && f.rnd.Float64() < f.w.script.Reads.MoveChance {
		to := (f.n + 1 + f.rnd.IntN(n-1)) % n
		f.send(uint32(idBrokers+to), f.now+f.w.script.Network.CrossZoneDelay, kMove, 0, 0, s)
		return
	}
	f.sessions = append(f.sessions, s)
}

// share has a broker ask another what it knows of replicas, where there is a way.
func (f *front) share() {
	r, n := &f.w.script.Reads, f.w.script.Brokers.Count
	if !r.On || n < 2 || f.policy != Module {
		return
	}
	f.send(f.id, f.now+r.ShareInterval/2+time.Duration(f.rnd.Float64()*float64(r.ShareInterval)), kShare, 0, 0, nil)
	to := (f.n + 1 + f.rnd.IntN(n-1)) % n
	if took, lost, held := f.way(f.zone, to%f.w.script.Fleet.Zones); f.core != nil && !lost && held == 0 {
		f.send(uint32(idBrokers+to), f.now+took, kPull, int32(f.n), uint64(f.now), nil)
	}
}

// shared takes what concerns facts and sessions.
func (f *front) shared(e *event) {
	switch e.kind {
	case kShare:
		f.share()
	case kMove:
		f.sessions = append(f.sessions, e.p.(*session))
	case kPull:
		if took, lost, held := f.way(f.zone, int(e.n)%f.w.script.Fleet.Zones); f.core != nil && !lost && held == 0 {
			data := f.core.CollectPositions()
			f.by.tally.reads.Facts += int64(len(data))
			f.send(uint32(idBrokers)+uint32(e.n), f.now+took, kFacts, 0, e.a, data)
		}
	case kFacts:
		if asked := time.Duration(e.a); f.core != nil && asked >= f.began {
			f.core.MergePositions(e.p.([]byte), f.now-asked)
			f.kick()
		}
	}
}

// sumPins counts what a broker counted of hints in its life.
func (f *front) sumPins() {
	if f.core != nil && f.w.script.Reads.On {
		if p := f.core.Counters().ReadPins; p != nil {
			f.by.tally.reads.Add(&ReadCounts{Pins: p.Counts})
		}
	}
}
