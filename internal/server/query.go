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
func (l *loop) adapt(a *query.Request) bool {
	if a.Settings == nil || a.Settings == l.settings {
		return true
	}
	was, now := a.Settings, l.settings
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

// receive hands a search to the module, if there is a place for it and its parts.
func (l *loop) receive(s *search) {
	l.counters.Received++
	n := len(s.Request.Shards)
	if l.requestIDs[s.Request.ID] {
		l.deliverResult(s, query.Result{Outcome: query.Duplicate})
		return
	}
	if s.connectionOverLimit || l.slotsUsed+1+n > l.maxInFlight || !l.adapt(s.Request) {
		l.counters.NoCapacity++
		l.deliverResult(s, query.Result{Outcome: query.Shed, RetryAfter: l.maxRetryAfter}) // the longest that the settings let it say
		return
	}
	if l.connLeases != nil && !s.remote {
		if after, full := l.connLeases.overloaded(s.Tenant); full {
			l.counters.RejectedByAdmission++
			l.deliverResult(s, query.Result{Outcome: query.Shed, RetryAfter: min(after, l.maxRetryAfter)})
			return
		}
	}
	if l.admission != nil && !s.remote && !l.requestAdmission(s) {
		return
	}
	l.counters.InFlight++
	l.requestIDs[s.Request.ID] = true
	if l.gateway != nil && !s.remote {
		l.gateway.outgoing.Taken()
	}
	l.submit(s, s.deadline-l.since())
}

// submit gives a search in hand to the module, with the time that is left to it.
func (l *loop) submit(s *search, left time.Duration) {
	n := len(s.Request.Shards)
	s.id = l.nextID
	l.nextID += 1 + uint64(n)
	l.slotsUsed += 1 + n
	l.queries[s.id] = s
	s.requests = make([]shardRequest, n)
	if l.readPins != nil && s.Request.Hint != nil {
		l.pinQuery(s)
	}
	serial := float32(s.id % (1 << 24)) // exact in a float32, and far more ids than can be in hand
	l.events = append(l.events, decision.Event{Kind: decision.QueryReceived, ID: s.id, Serial: serial, Type: s.Type,
		Tenant: s.Tenant, TimeLeft: left, Weight: float64(n), Retry: s.Retry})
	for i := range s.Request.Shards {
		id := s.id + 1 + uint64(i)
		l.queryOfShardRequest[id] = s
		l.events = append(l.events, decision.Event{Kind: decision.ShardRequestReceived, ID: id, Serial: serial,
			Shard: s.Request.Shards[i].Shard, Weight: s.Request.Shards[i].Weight, Allowed: s.allowedReplicas(i)})
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
		delete(l.requestIDs, s.Request.ID)
	}
}
