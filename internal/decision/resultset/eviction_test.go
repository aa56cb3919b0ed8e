package resultset

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// totalBytes adds up what is kept, set by set and session by session.
func totalBytes(s *Sets) (sum int) {
	for _, session := range s.sessions {
		sum += sessionOverhead + removedNameBytes*len(session.removed)
		for name, set := range session.sets {
			sum += setOverhead + len(name) + len(set.Query) + set.answer.bytes()
		}
	}
	return sum
}

// After random calls of Put, Get, Extend, Delete and EndSession the byte total is that of what is kept, and all limits hold. Sessions are often
// without sets, and names and queries may be larger than answers.
func TestByteTotalMatchesSets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	sets := New(limits())
	now := time.Duration(0)
	kept := 0
	for i := range 40_000 {
		now += time.Duration(rnd.IntN(2)) * 50 * time.Millisecond
		if rnd.IntN(2000) == 0 {
			now += 2 * time.Minute
		}
		id, name := rnd.Uint64N(6), fmt.Sprint(rnd.IntN(4))
		if rnd.IntN(4) == 0 {
			name = strings.Repeat("n", rnd.IntN(2000))
		}
		st := store{{"a", string(make([]byte, rnd.IntN(900)))}, {"b"}}
		switch rnd.IntN(6) {
		case 0, 1:
			if !sets.Put(id, name, strings.Repeat("q", rnd.IntN(500)), st.answer(1+rnd.IntN(2)), now) {
				t.Fatalf("step %d: a small set was not kept", i)
			}
			if _, status := sets.Get(id, name, now); status != Found {
				t.Fatalf("step %d: the set just put has status %v", i, status)
			}
		case 2:
			sets.Extend(id, name, st.answer(2), now)
		case 3:
			sets.Delete(id, name)
		case 4:
			sets.Get(id, name, now)
		default:
			if rnd.IntN(10) == 0 {
				sets.EndSession(id)
			}
		}
		count := 0
		for _, session := range sets.sessions {
			if len(session.sets) > sets.limits.SetsPerSession || len(session.removed) > maxRemovedNames {
				t.Fatalf("step %d: a session has %d sets and %d names of removed sets", i, len(session.sets), len(session.removed))
			}
			count += len(session.sets)
		}
		if sum := totalBytes(sets); sum != sets.bytes || sum > sets.limits.Bytes || len(sets.sessions) > sets.limits.Sessions {
			t.Fatalf("step %d: the byte total is %d, what is kept has %d bytes; or a limit does not hold", i, sets.bytes, sum)
		}
		if count != sets.Counts.Kept || sets.bytes != sets.Counts.Bytes {
			t.Fatalf("step %d: %d sets are kept; %+v", i, count, sets.Counts)
		}
		kept = max(kept, count)
	}
	if kept < 6 {
		t.Errorf("at most %d sets were kept at once: too few to test anything", kept)
	}
}

// Guards against sets of sessions without another set, which were kept beyond Limits.Bytes.
func TestSetsOfNewSessionsAreBounded(t *testing.T) {
	sets := New(Limits{Bytes: 100_000, SetsPerSession: 8, Sessions: 1000, Age: time.Minute})
	big := store{{string(make([]byte, 10_000))}}.answer(1)
	sets.Put(0, "a", "q", big, 0)
	sets.Delete(0, "a") // a session without sets
	for id := range uint64(500) {
		if !sets.Put(id+1, "a", "q", big, time.Duration(id)) || totalBytes(sets) > 100_000 {
			t.Fatalf("after %d sessions %d bytes are kept, more than the limit", id+1, totalBytes(sets))
		}
	}
	if sets.Counts.Kept < 8 {
		t.Errorf("%d sets are kept, want those that fit the limit", sets.Counts.Kept)
	}
	if _, status := sets.Get(490, "a", time.Second); status != Evicted {
		t.Errorf("a set that gave way to others has status %v", status)
	}
}

// Guards against names and queries, which may be as long as 64 KiB, and names of sets that are gone being kept beyond Limits.Bytes.
func TestLongNamesCount(t *testing.T) {
	const limit = 1 << 20
	sets := New(Limits{Bytes: limit, SetsPerSession: 8, Sessions: 1000, Age: time.Minute})
	small := store{{"r"}}.answer(1)
	for i := range 2000 {
		name := fmt.Sprint(i, strings.Repeat("n", 60<<10))
		if !sets.Put(uint64(i%100), name, name, small, time.Duration(i)) {
			t.Fatalf("set %d was not kept", i)
		}
		held := 0
		for _, session := range sets.sessions {
			for name, set := range session.sets {
				held += len(name) + len(set.Query)
			}
			held += removedNameBytes * len(session.removed)
		}
		if held > limit || sets.bytes > limit {
			t.Fatalf("names and queries take %d bytes, counted as %d, of %d", held, sets.bytes, limit)
		}
	}
}
