package resultset

// This file drops sets and sessions.

import (
	"hash/fnv"
	"time"
)

// rememberedDivisor is the part of Limits.Bytes, as a divisor, that sessions may take beside sets. Beyond it, sessions without sets end before
// sets are dropped.
const rememberedDivisor = 8

// EndSession drops a session with all its result sets.
func (s *Sets) EndSession(sessionID uint64) {
	session := s.sessions[sessionID]
	if session == nil {
		return
	}
	for name := range session.sets {
		s.remove(session, name, Found)
	}
	s.bytes -= session.bytes()
	delete(s.sessions, sessionID)
	s.updateCounts()
}

// makeRoom drops the least recently used sets and sessions until a number of bytes fits beside the others, which must be at most Limits.Bytes
// less maxSessionBytes. It does not end the session that they are for.
func (s *Sets) makeRoom(bytes int, user *sessionSets) {
	for s.bytes+bytes > s.limits.Bytes {
		set, empty := s.recent.first(), s.leastRecentlyUsedEmptySession(user)
		tooManyRemembered := s.bytes-s.setBytes > s.limits.Bytes/rememberedDivisor
		if empty != nil && (set == nil || tooManyRemembered) {
			s.EndSession(empty.id)
		} else {
			s.remove(set.session, set.name, Evicted)
		}
	}
}

// remove drops a set if it exists. For later lookups it records the status under the set's name, unless the status is Found.
func (s *Sets) remove(session *sessionSets, name string, status Status) {
	set := session.sets[name]
	if set == nil {
		return
	}
	s.bytes -= set.size
	s.setBytes -= set.size
	s.recent.remove(set)
	delete(session.sets, name)
	switch status {
	case Found:
		return
	case Evicted:
		s.Counts.Evicted++
	case Expired:
		s.Counts.Expired++
	}
	s.remember(session, hashName(name), status)
}

// remember records why a set is gone.
func (s *Sets) remember(session *sessionSets, key uint64, status Status) {
	_, known := session.removed[key]
	switch {
	case known:
		session.removed[key] = status
	case len(session.removed) < maxRemovedNames:
		session.removed[key] = status
		s.bytes += removedNameBytes
	}
}

// hashName returns the hash under which a removed set's name is remembered: a name may be as long as a query.
func hashName(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// removeExpired drops the sets that were not used for longer than Limits.Age.
func (s *Sets) removeExpired(now time.Duration) {
	for set := s.recent.first(); set != nil && now-set.lastUsed > s.limits.Age; set = s.recent.first() {
		s.remove(set.session, set.name, Expired)
	}
	s.updateCounts()
}

// updateCounts updates the counts of what is kept now.
func (s *Sets) updateCounts() { s.Counts.Kept, s.Counts.Bytes = s.recent.length, s.bytes }

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

// leastRecentlyUsedSession returns the session to end for another one: one without sets, or else that of the least recently used set.
func (s *Sets) leastRecentlyUsedSession() *sessionSets {
	if empty := s.leastRecentlyUsedEmptySession(nil); empty != nil {
		return empty
	}
	return s.recent.first().session
}

// leastRecentlyUsedEmptySession returns the session without sets that has not been used for longest, except one; nil: there is none.
func (s *Sets) leastRecentlyUsedEmptySession(except *sessionSets) (found *sessionSets) {
	for _, session := range s.sessions {
		if len(session.sets) > 0 || session == except {
			continue
		}
		if found == nil || session.lastUsed < found.lastUsed || session.lastUsed == found.lastUsed && session.id < found.id {
			found = session
		}
	}
	return found
}
