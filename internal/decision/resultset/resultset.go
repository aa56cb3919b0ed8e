// Package resultset keeps the result sets of client sessions. It limits how many are kept and for how long, returns their pages, reports
// when more records have to be fetched, and checks that records fetched later belong to the same answer: all pages of a set come from one
// answer.
//
// The package does no I/O, reads no clock and starts no goroutine. It depends on no other package of this module. It takes no locks: a
// Sets with its result sets is for one goroutine at a time.
package resultset

import (
	"slices"
	"time"
)

// Limits bounds the result sets that are kept.
type Limits struct {
	Bytes          int           // of all that is kept, estimated: answers, names and queries, sessions, and names of sets that are gone
	SetsPerSession int           // result sets of one session
	Sessions       int           // that had a result set and have not ended
	Age            time.Duration // since the last use, after which a set is dropped
}

// Status is the result of looking up a result set.
type Status uint8

// The results of a lookup. All but Found say why there is no set.
const (
	Found   Status = iota
	Unknown        // no set of this name is known in the session
	Expired        // not used for longer than Limits.Age
	Evicted        // dropped to make room for another set, or too large when extended
	Changed        // fetching the answer again gave another answer
)

// sessionSets is what is kept of a session: its sets, and why others are gone.
type sessionSets struct {
	id       uint64
	sets     map[string]*Set
	removed  map[uint64]Status // by the hash of a name, for the diagnostic to the client
	lastUsed time.Duration     // when its last set was used
}

// bytes returns an estimate of the memory that a session takes beside its sets.
func (session *sessionSets) bytes() int {
	return sessionOverhead + len(session.removed)*removedNameBytes
}

// Sets holds the result sets of all sessions.
type Sets struct {
	limits   Limits
	sessions map[uint64]*sessionSets
	recent   recencyList // all sets
	bytes    int         // of all sets and sessions
	setBytes int         // of all sets
	Counts   Counts
}

// Counts describes the result sets kept now, and counts events since the start.
type Counts struct {
	Kept, Bytes                                  int    // now
	Created, Expired, Evicted, Changed, Extended uint64 // Created includes Extended
}

// Estimates of memory, in bytes, and the number of removed sets of a session that are remembered. Lookups of further ones return Unknown.
const (
	setOverhead      = 256 // of a set, beside its answer, name and query
	sessionOverhead  = 256 // of a session without sets
	removedNameBytes = 48
	maxRemovedNames  = 64
	maxSessionBytes  = sessionOverhead + maxRemovedNames*removedNameBytes
)

// New returns a Sets without any result set.
func New(l Limits) *Sets { return &Sets{limits: l, sessions: map[uint64]*sessionSets{}} }

// Put stores an answer as the session's result set of this name and replaces an earlier set of the name. If a limit would be exceeded, it
// drops the least recently used sets or sessions. Put returns false and does not store the answer if it alone, with what its session
// remembers of removed sets, exceeds Limits.Bytes.
func (s *Sets) Put(sessionID uint64, name, query string, fetched Answer, now time.Duration) bool {
	s.removeExpired(now)
	size := setOverhead + len(name) + len(query) + fetched.bytes()
	if size+maxSessionBytes > s.limits.Bytes {
		return false
	}
	session := s.openSession(sessionID)
	s.remove(session, name, Found)
	for len(session.sets) >= s.limits.SetsPerSession {
		s.remove(session, leastRecentlyUsedSet(session), Evicted)
	}
	s.makeRoom(size, session)
	set := &Set{Query: query, answer: fetched, size: size, name: name, session: session}
	session.sets[name] = set
	if key := hashName(name); session.removed[key] != Found {
		delete(session.removed, key)
		s.bytes -= removedNameBytes
	}
	s.bytes += size
	s.setBytes += size
	s.use(set, now)
	s.Counts.Created++
	s.updateCounts()
	return true
}

// openSession returns a session, which it adds if it is not known. At Limits.Sessions another one ends.
func (s *Sets) openSession(id uint64) *sessionSets {
	if session := s.sessions[id]; session != nil {
		return session
	}
	for len(s.sessions) >= s.limits.Sessions {
		s.EndSession(s.leastRecentlyUsedSession().id)
	}
	session := &sessionSets{id: id, sets: map[string]*Set{}, removed: map[uint64]Status{}}
	s.sessions[id] = session
	s.bytes += session.bytes()
	return session
}

// use marks a set as the one used last.
func (s *Sets) use(set *Set, now time.Duration) {
	set.lastUsed = now
	set.session.lastUsed = now
	s.recent.moveToEnd(set)
}

// Get returns a result set and marks it as used, or returns nil and why there is none.
func (s *Sets) Get(sessionID uint64, name string, now time.Duration) (*Set, Status) {
	s.removeExpired(now)
	session := s.sessions[sessionID]
	if session == nil {
		return nil, Unknown
	}
	if set := session.sets[name]; set != nil {
		s.use(set, now)
		return set, Found
	}
	if status, removed := session.removed[hashName(name)]; removed {
		return nil, status
	}
	return nil, Unknown
}

// Extend replaces a set's answer by one that was fetched again with a larger depth. If the store has changed meanwhile, or other shards
// answered than before, the next page could repeat or skip records: then Extend drops the set, and lookups return Changed. With a store
// that changes all the time this happens often, and the client has to search again.
func (s *Sets) Extend(sessionID uint64, name string, fetched Answer, now time.Duration) (*Set, Status) {
	set, status := s.Get(sessionID, name, now)
	if status != Found {
		return nil, status
	}
	if fetched.Complete != set.answer.Complete || fetched.print(set.answer.Depth) != set.answer.print(set.answer.Depth) {
		s.Counts.Changed++
		s.remove(s.sessions[sessionID], name, Changed)
		s.updateCounts()
		return nil, Changed
	}
	query := set.Query
	if !s.Put(sessionID, name, query, fetched, now) {
		s.remove(s.sessions[sessionID], name, Evicted)
		return nil, Evicted
	}
	s.Counts.Extended++
	return s.sessions[sessionID].sets[name], Found
}

// Delete drops a result set and reports whether there was one.
func (s *Sets) Delete(sessionID uint64, name string) bool {
	session := s.sessions[sessionID]
	if session == nil || session.sets[name] == nil {
		return false
	}
	s.remove(session, name, Found)
	s.updateCounts()
	return true
}

// Names returns the sorted names of a session's result sets.
func (s *Sets) Names(sessionID uint64) (names []string) {
	if session := s.sessions[sessionID]; session != nil {
		for name := range session.sets {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
