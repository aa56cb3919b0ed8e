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
	Bytes          int           // of all sets of all sessions, estimated
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

type sessionSets struct {
	sets    map[string]*Set
	removed map[string]Status // by name: why a set is gone, for the diagnostic to the client
}

// Sets holds the result sets of all sessions.
type Sets struct {
	limits   Limits
	sessions map[uint64]*sessionSets
	bytes    int // of all sets
	Counts   Counts
}

// Counts describes the result sets kept now, and counts events since the start.
type Counts struct {
	Kept, Bytes                                  int    // now
	Created, Expired, Evicted, Changed, Extended uint64 // Created includes Extended
}

const maxRemovedNames = 64 // of one session; lookups of further removed sets return Unknown

// New returns a Sets without any result set.
func New(l Limits) *Sets { return &Sets{limits: l, sessions: map[uint64]*sessionSets{}} }

// Put stores an answer as the session's result set of this name and replaces an earlier set of the name. If a limit would be exceeded, it
// drops the least recently used sets or, for Limits.Sessions, the session of the least recently used set. Put returns false and does not
// store the answer if it alone exceeds Limits.Bytes.
func (s *Sets) Put(sessionID uint64, name, query string, fetched Answer, now time.Duration) bool {
	s.removeExpired(now)
	size := fetched.bytes()
	if size > s.limits.Bytes {
		return false
	}
	session := s.sessions[sessionID]
	if session == nil {
		for len(s.sessions) >= s.limits.Sessions {
			s.EndSession(s.leastRecentlyUsedSession())
		}
		session = &sessionSets{sets: map[string]*Set{}, removed: map[string]Status{}}
		s.sessions[sessionID] = session
	}
	s.remove(session, name, Found)
	for len(session.sets) >= s.limits.SetsPerSession {
		s.remove(session, leastRecentlyUsedSet(session), Evicted)
	}
	for s.bytes+size > s.limits.Bytes { // evict the least recently used set of any session
		victim := s.sessions[s.leastRecentlyUsedSession()]
		if name := leastRecentlyUsedSet(victim); name != "" || len(victim.sets) > 0 {
			s.remove(victim, name, Evicted)
		} else {
			break
		}
	}
	session.sets[name] = &Set{Query: query, answer: fetched, lastUsed: now, size: size}
	delete(session.removed, name)
	s.bytes += size
	s.Counts.Created++
	s.updateCounts()
	return true
}

// Get returns a result set and marks it as used, or returns nil and why there is none.
func (s *Sets) Get(sessionID uint64, name string, now time.Duration) (*Set, Status) {
	s.removeExpired(now)
	session := s.sessions[sessionID]
	if session == nil {
		return nil, Unknown
	}
	if set := session.sets[name]; set != nil {
		set.lastUsed = now
		return set, Found
	}
	if status, removed := session.removed[name]; removed {
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

// EndSession drops a session with all its result sets.
func (s *Sets) EndSession(sessionID uint64) {
	if session := s.sessions[sessionID]; session != nil {
		for name := range session.sets {
			s.remove(session, name, Found)
		}
		delete(s.sessions, sessionID)
		s.updateCounts()
	}
}

// remove drops a set if it exists. For later lookups it records the status under the set's name, unless the status is Found.
func (s *Sets) remove(session *sessionSets, name string, status Status) {
	set := session.sets[name]
	if set == nil {
		return
	}
	s.bytes -= set.size
	delete(session.sets, name)
	switch status {
	case Found:
		return
	case Evicted:
		s.Counts.Evicted++
	case Expired:
		s.Counts.Expired++
	}
	if len(session.removed) < maxRemovedNames {
		session.removed[name] = status
	}
}

// removeExpired drops the sets that were not used for longer than Limits.Age.
func (s *Sets) removeExpired(now time.Duration) {
	for _, session := range s.sessions {
		for name, set := range session.sets {
			if now-set.lastUsed > s.limits.Age {
				s.remove(session, name, Expired)
			}
		}
	}
	s.updateCounts()
}

// updateCounts updates the counts of the sets that are kept now.
func (s *Sets) updateCounts() {
	s.Counts.Kept, s.Counts.Bytes = 0, s.bytes
	for _, session := range s.sessions {
		s.Counts.Kept += len(session.sets)
	}
}

// leastRecentlyUsedSet returns the name of the session's least recently used set, or "" if it has none.
func leastRecentlyUsedSet(session *sessionSets) (name string) {
	var best *Set
	for candidate, set := range session.sets {
		if best == nil || set.lastUsed < best.lastUsed || set.lastUsed == best.lastUsed && candidate < name {
			name, best = candidate, set
		}
	}
	return name
}

// leastRecentlyUsedSession returns the session that has the least recently used set of all; a session without sets comes before all
// others.
func (s *Sets) leastRecentlyUsedSession() (sessionID uint64) {
	earliest, found := time.Duration(0), false
	for candidate, session := range s.sessions {
		lastUsed := time.Duration(-1)
		if set := session.sets[leastRecentlyUsedSet(session)]; set != nil {
			lastUsed = set.lastUsed
		}
		if !found || lastUsed < earliest || lastUsed == earliest && candidate < sessionID {
			sessionID, earliest, found = candidate, lastUsed, true
		}
	}
	return sessionID
}
