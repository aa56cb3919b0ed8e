package server

// This file owns a search in hand: how it comes in, the verdict that it gets, and how it is forgotten. Only the loop calls it. It
// must never wait for a client.

import (
	"slices"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// search is one search in hand. The first fields are its life's, the others the loop's.
type search struct {
	*query.Request
	arrival             time.Duration      // when it had come whole
	deadline            time.Duration      // when its client gives up
	connectionOverLimit bool               // its client's connection exceeds the limit on connections
	result              chan query.Result  // holds one; nobody waits to deliver it
	onResult            func(query.Result) // takes the result instead, in the loop
	server              *Server            // where a front waits for the result

	// where there is a gateway to other sites
	foreign bool          // it came over a link
	abroad  bool          // it is forwarded; the module has done with it
	home    bool          // it was brought back
	risk    bool          // and may have run abroad
	after   time.Duration // when the other side wants it back

	// where there is fair queuing at the door
	ticket   uint64
	work     float64
	queued   bool // it waits there
	inside   bool // the door let it in, and has not been told that it is done
	entered  time.Duration
	late     time.Duration // the turn that took it came so long after
	heard    time.Duration // when its last answer came in
	heardFor uint64        // the turn that is to take it

	pin *pinned // nil: its reads are ordinary ones

	id    uint64 // as the module knows it; its parts have the numbers that follow
	over  bool
	parts []part
}

type part struct {
	in    bool
	value string
	tries []*store.Part
}

// fits tells whether a search that was read under other settings can be taken under those in force, and has it say the same
// under them.
func (l *loop) fits(a *query.Request) bool {
	if a.Settings == nil || a.Settings == l.under {
		return true
	}
	was, now := a.Settings, l.under
	a.Type = slices.Index(now.Types, was.Types[a.Type])
	if a.Type < 0 || now.Fingerprint() != was.Fingerprint() {
		return false
	}
	if len(now.Tenants) == 0 {
		a.Tenant = 0
	} else if len(was.Tenants) > 0 {
		a.Tenant = slices.Index(now.Tenants, was.Tenants[a.Tenant])
	} else {
		a.Tenant = -1
	}
	a.Settings = now
	return a.Tenant >= 0
}

// admit hands a search to the module, if there is a place for it and its parts.
func (l *loop) admit(s *search) {
	l.tally.Taken++
	n := len(s.Request.Shards)
	if l.ids[s.Request.ID] {
		l.conclude(s, query.Result{Outcome: query.Duplicate})
		return
	}
	if s.connectionOverLimit || l.places+1+n > l.maxOpen || !l.fits(s.Request) {
		l.tally.Full++
		l.conclude(s, query.Result{Outcome: query.Shed, RetryAfter: l.comeBack}) // the longest that the settings let it say
		return
	}
	if l.budgets != nil && !s.foreign {
		if after, full := l.budgets.noRoom(s.Tenant); full {
			l.tally.TurnedAway++
			l.conclude(s, query.Result{Outcome: query.Shed, RetryAfter: min(after, l.comeBack)})
			return
		}
	}
	if l.door != nil && !s.foreign && !l.atDoor(s) {
		return
	}
	l.tally.InHand++
	l.ids[s.Request.ID] = true
	if l.gate != nil && !s.foreign {
		l.gate.near.Taken()
	}
	l.enter(s, s.deadline-l.since())
}

// enter gives a search in hand to the module, with the time that is left to it.
func (l *loop) enter(s *search, left time.Duration) {
	n := len(s.Request.Shards)
	s.id = l.next
	l.next += 1 + uint64(n)
	l.places += 1 + n
	l.searches[s.id] = s
	s.parts = make([]part, n)
	if l.pins != nil && s.Request.Hint != nil {
		l.pin(s)
	}
	serial := float32(s.id % (1 << 24)) // exact in a float32, and far more ids than can be in hand
	l.events = append(l.events, decision.Event{Kind: decision.QueryReceived, ID: s.id, Serial: serial, Type: s.Type,
		Tenant: s.Tenant, TimeLeft: left, Weight: float64(n), Retry: s.Retry})
	for i := range s.Request.Shards {
		id := s.id + 1 + uint64(i)
		l.owners[id] = s
		l.events = append(l.events, decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial,
			Shard: s.Request.Shards[i].Shard, Weight: s.Request.Shards[i].Weight, Allowed: s.only(i)})
	}
}

// part finds the search that a part belongs to, and its place there.
func (l *loop) part(id uint64) (*search, int) {
	if s := l.owners[id]; s != nil {
		return s, int(id - s.id - 1)
	}
	return nil, 0
}

// finish takes a search out of hand; it is forgotten once the actions of its last turn are carried out.
func (l *loop) finish(s *search) {
	s.over = true
	l.tally.InHand--
	l.places -= 1 + len(s.parts)
	l.ended = append(l.ended, s)
}

// unsend calls off what was not written to a node yet; it never is.
func (l *loop) unsend(s *search) {
	for i := range s.parts {
		for _, t := range s.parts[i].tries {
			if !t.Written() {
				l.pool.Cancel(t)
			}
		}
	}
}

// forget drops a search. What was not written to a node by now never is.
func (l *loop) forget(s *search) {
	l.unsend(s)
	for i := range s.parts {
		delete(l.owners, s.id+1+uint64(i))
	}
	delete(l.searches, s.id)
	if !s.abroad {
		delete(l.ids, s.Request.ID)
	}
}
