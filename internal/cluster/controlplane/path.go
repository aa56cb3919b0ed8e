package controlplane

// This file owns who follows whom: the path from a voter down to this broker, beats that carry it, and facts with their age.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Topic is a kind of facts that brokers share outside the log. Both functions run in the fleet's goroutine.
type Topic struct {
	Name    string
	Collect func() (data []byte, at time.Duration) // what was known here at that moment, with the ages of it inside; nil: nothing
	Merge   func(data []byte, older time.Duration) // older: by how much at most all of it has grown older on the way
}

// maxFacts bounds a topic's share of a beat.
const maxFacts = 256 << 10

// AddTopic adds a topic, before Run.
func (f *Participant) AddTopic(t Topic) { f.topics = append(f.topics, t) }

// votes tells whether this broker is a voter that works.
func (f *Participant) votes() bool { return f.id != 0 && !f.broken }

// path is the way from a voter to this broker; empty: it is cut off, or stands still before an entry that it can't read. Danger:
// those that follow it there would hear beats, and nothing that is agreed, for ever.
func (f *Participant) path() []string {
	switch {
	case f.halted != nil, f.votes() && f.node.Leader() == 0, !f.votes() && len(f.upPath) == 0:
		return nil
	default:
		return append(slices.Clip(f.upPath), f.name)
	}
}

func (f *Participant) following() (n int) {
	for c := range f.conns {
		if c.follows {
			n++
		}
	}
	return n
}

// beats sends one to everybody, with what is known here.
func (f *Participant) beats(now time.Duration) {
	b := beat{Path: f.path(), Room: max(0, f.o.MaxFollowers-f.following()), Token: uint64(now) + 1}
	if f.o.Listener == nil || len(b.Path) == 0 || len(b.Path) >= maxDepth {
		b.Room = 0
	}
	for _, t := range f.topics {
		if data, at := t.Collect(); len(data) > 0 && len(data) <= maxFacts {
			if b.Facts == nil {
				b.Facts = map[string]fact{}
			}
			b.Facts[t.Name] = fact{data, int64(max(0, now-at))}
		}
	}
	for c := range f.conns {
		if c.peer.Role != roleOperator {
			b.Echo = c.token
			f.put(c, letterBeat, b)
		}
	}
	// Danger: a voter that lost the others, or a source that follows nobody, would be followed for ever.
	if f.source != nil && now-f.upAt > silentFor {
		f.source.close()
	}
}

// takeBeat learns where the other side stands. It sent this after it had the token that it echoes; so what it had collected has
// grown older by no more than it says it was held, and the time from when that token was sent.
func (f *Participant) takeBeat(c *conn, b beat, now time.Duration) {
	c.token, c.room = b.Token, b.Room
	if c == f.source {
		// Danger: two that are cut off would follow one another. No broker follows one whose path leads through itself.
		if len(b.Path) > maxDepth || slices.Contains(b.Path, f.name) {
			c.close()
			return
		}
		f.upPath = b.Path
		if len(b.Path) > 0 {
			f.upAt = now
		}
	}
	if b.Echo == 0 || b.Echo-1 > uint64(now) {
		return
	}
	older := now - time.Duration(b.Echo-1)
	older += time.Duration(float64(older) * f.o.MaxClockDrift)
	for _, t := range f.topics {
		if m := b.Facts[t.Name]; len(m.Data) > 0 && len(m.Data) <= maxFacts && m.Held >= 0 && m.Held < int64(time.Hour) {
			held := time.Duration(m.Held)
			t.Merge(m.Data, older+held+time.Duration(float64(held)*f.o.MaxClockDrift))
		}
	}
}

// takeFollow gives a broker the feed, or names others that have room.
func (f *Participant) takeFollow(c *conn, at uint64) {
	path := f.path()
	full := f.following() >= f.o.MaxFollowers
	if len(path) == 0 || len(path) >= maxDepth || slices.Contains(path, c.peer.Name) || full {
		o := other{}
		if full {
			o.Addrs = f.others()
		}
		f.put(c, letterOther, o)
		return // the other side closes
	}
	c.follows, c.sent = true, at
	f.put(c, letterBeat, beat{Path: path, Token: uint64(f.o.Now()) + 1, Echo: c.token})
}

// sendAway has those that follow this broker look for another source; a newer one of them may know of a better.
func (f *Participant) sendAway() {
	for c := range f.conns {
		if c.follows {
			f.put(c, letterOther, other{})
		}
	}
}

// others names followers with room, or else any, which know more.
func (f *Participant) others() []string {
	var room, any []string
	for _, c := range slices.SortedFunc(maps.Keys(f.conns), func(a, b *conn) int { return b.room - a.room }) {
		if c.follows && c.peer.Listen != "" {
			if any = append(any, c.peer.Listen); c.room > 0 {
				room = append(room, c.peer.Listen)
			}
		}
	}
	if len(room) > 0 {
		any = room
	}
	rand.Shuffle(len(any), func(i, j int) { any[i], any[j] = any[j], any[i] })
	return any[:min(len(any), 8)]
}
