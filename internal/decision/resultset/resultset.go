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
	Bytes      int           // of records, over all sessions
	PerSession int           // sets of one session
	Sessions   int           // that hold any
	Age        time.Duration // without use
}

// Why a set is not there.
type Why uint8

// A set that is asked for is there, or it is one of these.
const (
	There   Why = iota
	Unknown     // there never was one of that name
	Aged        // nobody used it for too long
	Crowded     // others needed the room
	Changed     // the answer could not be had again
)

type session struct {
	sets map[string]*Set
	lost map[string]Why // names of sets that went, for a true diagnostic
}

// Sets are the result sets of all sessions.
type Sets struct {
	limits   Limits
	sessions map[uint64]*session
	bytes    int
	Counts   Counts
}

// Counts are what operators see.
type Counts struct {
	Kept, Bytes                      int
	Made, Aged, Crowded, Changed, Ok uint64
}

const mostLost = 64 // names remembered of a session's lost sets

// New makes room for result sets; none is kept.
func New(l Limits) *Sets { return &Sets{limits: l, sessions: map[uint64]*session{}} }

// Put keeps an answer as a session's set of a name, in place of one that was there. False: it is too large to be kept at all.
func (s *Sets) Put(id uint64, name, query string, a Answer, now time.Duration) bool {
	s.age(now)
	size := a.bytes()
	if size > s.limits.Bytes {
		return false
	}
	ses := s.sessions[id]
	if ses == nil {
		for len(s.sessions) >= s.limits.Sessions {
			s.End(s.idlest())
		}
		ses = &session{sets: map[string]*Set{}, lost: map[string]Why{}}
		s.sessions[id] = ses
	}
	s.remove(ses, name, There)
	for len(ses.sets) >= s.limits.PerSession {
		s.remove(ses, oldest(ses), Crowded)
	}
	for s.bytes+size > s.limits.Bytes { // whoever used theirs least lately gives way, wherever it is
		victim := s.sessions[s.idlest()]
		if name := oldest(victim); name != "" || len(victim.sets) > 0 {
			s.remove(victim, name, Crowded)
		} else {
			break
		}
	}
	ses.sets[name] = &Set{Query: query, answer: a, used: now, size: size}
	delete(ses.lost, name)
	s.bytes += size
	s.Counts.Made++
	s.count()
	return true
}

// Get finds a set, and why it is not there.
func (s *Sets) Get(id uint64, name string, now time.Duration) (*Set, Why) {
	s.age(now)
	ses := s.sessions[id]
	if ses == nil {
		return nil, Unknown
	}
	if set := ses.sets[name]; set != nil {
		set.used = now
		return set, There
	}
	if why, lost := ses.lost[name]; lost {
		return nil, why
	}
	return nil, Unknown
}

// Extend takes over an answer that was fetched again and deeper. Danger: the store has changed meanwhile, a shard is missing now or
// one is there that was not, and the next page would repeat or skip records. Then the set is gone, and whoever presents from it is
// told so. It may hurt where the store changes all the time; a fresh search is what helps then.
func (s *Sets) Extend(id uint64, name string, a Answer, now time.Duration) (*Set, Why) {
	set, why := s.Get(id, name, now)
	if why != There {
		return nil, why
	}
	if a.Whole != set.answer.Whole || a.print(set.answer.Depth) != set.answer.print(set.answer.Depth) {
		s.Counts.Changed++
		s.remove(s.sessions[id], name, Changed)
		s.count()
		return nil, Changed
	}
	query := set.Query
	if !s.Put(id, name, query, a, now) {
		s.remove(s.sessions[id], name, Crowded)
		return nil, Crowded
	}
	s.Counts.Ok++
	return s.sessions[id].sets[name], There
}

// Delete drops a set; false: there was none.
func (s *Sets) Delete(id uint64, name string) bool {
	ses := s.sessions[id]
	if ses == nil || ses.sets[name] == nil {
		return false
	}
	s.remove(ses, name, There)
	s.count()
	return true
}

// Names are a session's sets.
func (s *Sets) Names(id uint64) (names []string) {
	if ses := s.sessions[id]; ses != nil {
		for name := range ses.sets {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// End forgets a session with all its sets.
func (s *Sets) End(id uint64) {
	if ses := s.sessions[id]; ses != nil {
		for name := range ses.sets {
			s.remove(ses, name, There)
		}
		delete(s.sessions, id)
		s.count()
	}
}

// remove takes a set away; why is remembered under its name, but for There.
func (s *Sets) remove(ses *session, name string, why Why) {
	set := ses.sets[name]
	if set == nil {
		return
	}
	s.bytes -= set.size
	delete(ses.sets, name)
	switch why {
	case There:
		return
	case Crowded:
		s.Counts.Crowded++
	case Aged:
		s.Counts.Aged++
	}
	if len(ses.lost) < mostLost {
		ses.lost[name] = why
	}
}

// age drops what nobody used for too long.
func (s *Sets) age(now time.Duration) {
	for _, ses := range s.sessions {
		for name, set := range ses.sets {
			if now-set.used > s.limits.Age {
				s.remove(ses, name, Aged)
			}
		}
	}
	s.count()
}

func (s *Sets) count() {
	s.Counts.Kept, s.Counts.Bytes = 0, s.bytes
	for _, ses := range s.sessions {
		s.Counts.Kept += len(ses.sets)
	}
}

// oldest is the name of the set that a session used least lately.
func oldest(ses *session) (name string) {
	var best *Set
	for n, set := range ses.sets {
		if best == nil || set.used < best.used || set.used == best.used && n < name {
			name, best = n, set
		}
	}
	return name
}

// idlest is the session whose oldest set was used least lately; one without sets before all others.
func (s *Sets) idlest() (id uint64) {
	best, found := time.Duration(0), false
	for i, ses := range s.sessions {
		used := time.Duration(-1)
		if set := ses.sets[oldest(ses)]; set != nil {
			used = set.used
		}
		if !found || used < best || used == best && i < id {
			id, best, found = i, used, true
		}
	}
	return id
}
