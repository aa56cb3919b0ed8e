// Package resultset decides what becomes of result sets: how many are kept and for how long, which pages they hold, when more has to be
// fetched, and whether what was fetched later is of the same answer. A page never comes from another answer than the one before it.
// Nothing here does I/O, reads a clock or starts a goroutine.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package resultset

import (
	"slices"
	"time"
)

// Limits bound what is kept.
type Limits struct {
	Bytes          int           // of records, over all sessions
	SetsPerSession int           // sets of one session
	Sessions       int           // that hold any
	Age            time.Duration // without use
}

// Status a set is not there.
type Status uint8

// A set that is asked for is there, or it is one of these.
const (
	Found   Status = iota
	Unknown        // there never was one of that name
	Expired        // nobody used it for too long
	Evicted        // others needed the room
	Changed        // the answer could not be had again
)

type sessionSets struct {
	sets    map[string]*Set
	removed map[string]Status // names of sets that went, for a true diagnostic
}

// Kept are the result sets of all sessions.
type Sets struct {
	limits   Limits
	sessions map[uint64]*sessionSets
	bytes    int
	Counts   Counts
}

// Counts are what operators see.
type Counts struct {
	Kept, Bytes                                  int
	Created, Expired, Evicted, Changed, Extended uint64
}

const maxRemovedNames = 64 // names remembered of a session's lost sets

// New makes room for result sets; none is kept.
func New(l Limits) *Sets { return &Sets{limits: l, sessions: map[uint64]*sessionSets{}} }

// Put keeps an answer as a session's set of a name, in place of one that was there. False: it is too large to be kept at all.
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
	for s.bytes+size > s.limits.Bytes { // whoever used theirs least lately gives way, wherever it is
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

// Get finds a set, and why it is not there.
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

// Extend takes over an answer that was fetched again and deeper. Danger: the store has changed meanwhile, a shard is missing now or
// one is there that was not, and the next page would repeat or skip records. Then the set is gone, and whoever presents from it is
// told so. It may hurt where the store changes all the time; a fresh search is what helps then.
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

// Delete drops a set; false: there was none.
func (s *Sets) Delete(sessionID uint64, name string) bool {
	session := s.sessions[sessionID]
	if session == nil || session.sets[name] == nil {
		return false
	}
	s.remove(session, name, Found)
	s.updateCounts()
	return true
}

// Names are a session's sets.
func (s *Sets) Names(sessionID uint64) (names []string) {
	if session := s.sessions[sessionID]; session != nil {
		for name := range session.sets {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// EndSession forgets a session with all its sets.
func (s *Sets) EndSession(sessionID uint64) {
	if session := s.sessions[sessionID]; session != nil {
		for name := range session.sets {
			s.remove(session, name, Found)
		}
		delete(s.sessions, sessionID)
		s.updateCounts()
	}
}

// remove takes a set away; why is remembered under its name, but for There.
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

// removeExpired drops what nobody used for too long.
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

func (s *Sets) updateCounts() {
	s.Counts.Kept, s.Counts.Bytes = 0, s.bytes
	for _, session := range s.sessions {
		s.Counts.Kept += len(session.sets)
	}
}

// leastRecentlyUsedSet is the name of the set that a session used least lately.
func leastRecentlyUsedSet(session *sessionSets) (name string) {
	var best *Set
	for candidate, set := range session.sets {
		if best == nil || set.lastUsed < best.lastUsed || set.lastUsed == best.lastUsed && candidate < name {
			name, best = candidate, set
		}
	}
	return name
}

// leastRecentlyUsedSession is the session whose oldest set was used least lately; one without sets before all others.
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
