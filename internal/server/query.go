package server

// This file owns a search in hand: how it comes in, the verdict that it gets, and how it is forgotten. Only the loop calls it. It
// must never wait for a client.

import (
	"slices"
	"time"

	"flaxfront/internal/cluster/readhint"
	"flaxfront/internal/config/terms"
	"flaxfront/internal/decision"
	"flaxfront/internal/transport/store"
)

// ask is a search as a front hands it over, whatever its protocol.
type ask struct {
	id      string
	typ     int
	tenant  int
	repeat  bool
	timeout time.Duration
	text    string
	parts   []askPart
	client  uint64         // a hash of the key that its client states; 0: none
	under   *terms.Terms   // the settings by which it was read; nil: those of the start
	hint    *readhint.Hint // on its reads; nil: there is none
	ignored string         // why a hint counts for nothing
}

type askPart struct {
	name   string // the search's id, a dot, the shard
	shard  int
	weight float64
}

// search is one search in hand. The first fields are its life's, the others the loop's.
type search struct {
	*ask
	arrived  time.Duration // when it had come whole
	deadline time.Duration // when its client gives up
	crowded  bool          // its front has no room for it
	verdict  chan result   // holds one; nobody waits to deliver it
	to       func(result)  // takes the verdict instead, in the loop

	// where there is a gateway to other sites
	remote           bool          // it came over a link
	forwarded        bool          // it is forwarded; the module has done with it
	takenBack        bool          // it was brought back
	mayHaveRun       bool          // and may have run abroad
	remoteRetryAfter time.Duration // when the other side wants it back

	// where there is fair queuing at the door
	ticket         uint64
	work           float64
	queued         bool // it waits there
	admitted       bool // the door let it in, and has not been told that it is done
	admittedAt     time.Duration
	stepDelay      time.Duration // the turn that took it came so long after
	lastAnswerAt   time.Duration // when its last answer came in
	lastAnswerStep uint64        // the turn that is to take it

	pin *pinnedQuery // nil: its reads are ordinary ones

	id       uint64 // as the module knows it; its parts have the numbers that follow
	done     bool
	requests []shardRequest
}

type shardRequest struct {
	answered bool
	value    string
	attempts []*store.Part
}

// adapt tells whether a search that was read under other settings can be taken under those in force, and has it say the same
// under them.
func (l *loop) adapt(a *ask) bool {
	if a.under == nil || a.under == l.settings {
		return true
	}
	was, now := a.under, l.settings
	a.typ = slices.Index(now.Types, was.Types[a.typ])
	if a.typ < 0 || now.Fingerprint() != was.Fingerprint() {
		return false
	}
	if len(now.Tenants) == 0 {
		a.tenant = 0
	} else if len(was.Tenants) > 0 {
		a.tenant = slices.Index(now.Tenants, was.Tenants[a.tenant])
	} else {
		a.tenant = -1
	}
	a.under = now
	return a.tenant >= 0
}

// receive hands a search to the module, if there is a place for it and its parts.
func (l *loop) receive(s *search) {
	l.counters.Received++
	n := len(s.ask.parts)
	if l.requestIDs[s.ask.id] {
		l.deliverResult(s, result{kind: twice})
		return
	}
	if s.crowded || l.slotsUsed+1+n > l.maxInFlight || !l.adapt(s.ask) {
		l.counters.NoCapacity++
		l.deliverResult(s, result{kind: shed, after: l.maxRetryAfter}) // the longest that the settings let it say
		return
	}
	if l.connLeases != nil && !s.remote {
		if after, full := l.connLeases.overloaded(s.tenant); full {
			l.counters.RejectedByAdmission++
			l.deliverResult(s, result{kind: shed, after: min(after, l.maxRetryAfter)})
			return
		}
	}
	if l.admission != nil && !s.remote && !l.requestAdmission(s) {
		return
	}
	l.counters.InFlight++
	l.requestIDs[s.ask.id] = true
	if l.gateway != nil && !s.remote {
		l.gateway.outgoing.Taken()
	}
	l.submit(s, s.deadline-l.since())
}

// submit gives a search in hand to the module, with the time that is left to it.
func (l *loop) submit(s *search, left time.Duration) {
	n := len(s.ask.parts)
	s.id = l.nextID
	l.nextID += 1 + uint64(n)
	l.slotsUsed += 1 + n
	l.queries[s.id] = s
	s.requests = make([]shardRequest, n)
	if l.readPins != nil && s.ask.hint != nil {
		l.pinQuery(s)
	}
	serial := float32(s.id % (1 << 24)) // exact in a float32, and far more ids than can be in hand
	l.events = append(l.events, decision.Event{Kind: decision.QueryReceived, ID: s.id, Serial: serial, Type: s.typ,
		Tenant: s.tenant, TimeLeft: left, Weight: float64(n), Retry: s.repeat})
	for i := range s.ask.parts {
		id := s.id + 1 + uint64(i)
		l.queryOfShardRequest[id] = s
		l.events = append(l.events, decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial,
			Shard: s.ask.parts[i].shard, Weight: s.ask.parts[i].weight, Allowed: s.allowedReplicas(i)})
	}
}

// findShardRequest finds the search that a part belongs to, and its place there.
func (l *loop) findShardRequest(id uint64) (*search, int) {
	if s := l.queryOfShardRequest[id]; s != nil {
		return s, int(id - s.id - 1)
	}
	return nil, 0
}

// finish takes a search out of hand; it is forgotten once the actions of its last turn are carried out.
func (l *loop) finish(s *search) {
	s.done = true
	l.counters.InFlight--
	l.slotsUsed -= 1 + len(s.requests)
	l.finished = append(l.finished, s)
}

// cancelUnsent calls off what was not written to a node yet; it never is.
func (l *loop) cancelUnsent(s *search) {
	for i := range s.requests {
		for _, t := range s.requests[i].attempts {
			if !t.Written() {
				l.pool.Cancel(t)
			}
		}
	}
}

// forget drops a search. What was not written to a node by now never is.
func (l *loop) forget(s *search) {
	l.cancelUnsent(s)
	for i := range s.requests {
		delete(l.queryOfShardRequest, s.id+1+uint64(i))
	}
	delete(l.queries, s.id)
	if !s.forwarded {
		delete(l.requestIDs, s.ask.id)
	}
}
