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

// maxTopicBytes bounds a topic's share of a beat.
const maxTopicBytes = 256 << 10

// AddTopic adds a topic, before Run.
func (p *Participant) AddTopic(t Topic) { p.topics = append(p.topics, t) }

// isVoting tells whether this broker is a voter that works.
func (p *Participant) isVoting() bool { return p.voterID != 0 && !p.voterStopped }

// pathFromVoter is the way from a voter to this broker; empty: it is cut off, or stands still before an entry that it can't read. Danger:
// those that follow it there would hear beats, and nothing that is agreed, for ever.
func (p *Participant) pathFromVoter() []string {
	switch {
	case p.haltedBy != nil, p.isVoting() && p.raft.Leader() == 0, !p.isVoting() && len(p.sourcePath) == 0:
		return nil
	default:
		return append(slices.Clip(p.sourcePath), p.name)
	}
}

func (p *Participant) followerCount() (n int) {
	for c := range p.connections {
		if c.isFollower {
			n++
		}
	}
	return n
}

// sendHeartbeats sends one to everybody, with what is known here.
func (p *Participant) sendHeartbeats(now time.Duration) {
	b := heartbeatFrame{Path: p.pathFromVoter(), FollowerRoom: max(0, p.options.MaxFollowers-p.followerCount()), Token: uint64(now) + 1}
	if p.options.Listener == nil || len(b.Path) == 0 || len(b.Path) >= maxPathLength {
		b.FollowerRoom = 0
	}
	for _, t := range p.topics {
		if data, at := t.Collect(); len(data) > 0 && len(data) <= maxTopicBytes {
			if b.Topics == nil {
				b.Topics = map[string]topicData{}
			}
			b.Topics[t.Name] = topicData{data, int64(max(0, now-at))}
		}
	}
	for c := range p.connections {
		if c.peer.Role != roleOperator {
			b.Echo = c.lastToken
			p.send(c, frameHeartbeat, b)
		}
	}
	// Danger: a voter that lost the others, or a source that follows nobody, would be followed for ever.
	if p.source != nil && now-p.sourcePathAt > silenceTimeout {
		p.source.close()
	}
}

// handleHeartbeat learns where the other side stands. It sent this after it had the token that it echoes; so what it had collected has
// grown older by no more than it says it was held, and the time from when that token was sent.
func (p *Participant) handleHeartbeat(c *conn, b heartbeatFrame, now time.Duration) {
	c.lastToken, c.followerRoom = b.Token, b.FollowerRoom
	if c == p.source {
		// Danger: two that are cut off would follow one another. No broker follows one whose path leads through itself.
		if len(b.Path) > maxPathLength || slices.Contains(b.Path, p.name) {
			c.close()
			return
		}
		p.sourcePath = b.Path
		if len(b.Path) > 0 {
			p.sourcePathAt = now
		}
	}
	if b.Echo == 0 || b.Echo-1 > uint64(now) {
		return
	}
	older := now - time.Duration(b.Echo-1)
	older += time.Duration(float64(older) * p.options.MaxClockDrift)
	for _, t := range p.topics {
		if m := b.Topics[t.Name]; len(m.Data) > 0 && len(m.Data) <= maxTopicBytes && m.AgeNS >= 0 && m.AgeNS < int64(time.Hour) {
			held := time.Duration(m.AgeNS)
			t.Merge(m.Data, older+held+time.Duration(float64(held)*p.options.MaxClockDrift))
		}
	}
}

// handleFollow gives a broker the feed, or names others that have room.
func (p *Participant) handleFollow(c *conn, at uint64) {
	path := p.pathFromVoter()
	full := p.followerCount() >= p.options.MaxFollowers
	if len(path) == 0 || len(path) >= maxPathLength || slices.Contains(path, c.peer.Name) || full {
		o := redirectFrame{}
		if full {
			o.Addrs = p.otherSources()
		}
		p.send(c, frameRedirect, o)
		return // the other side closes
	}
	c.isFollower, c.sentIndex = true, at
	p.send(c, frameHeartbeat, heartbeatFrame{Path: path, Token: uint64(p.options.Now()) + 1, Echo: c.lastToken})
}

// redirectFollowers has those that follow this broker look for another source; a newer one of them may know of a better.
func (p *Participant) redirectFollowers() {
	for c := range p.connections {
		if c.isFollower {
			p.send(c, frameRedirect, redirectFrame{})
		}
	}
}

// otherSources names followers with room, or else any, which know more.
func (p *Participant) otherSources() []string {
	var room, any []string
	for _, c := range slices.SortedFunc(maps.Keys(p.connections), func(a, b *conn) int { return b.followerRoom - a.followerRoom }) {
		if c.isFollower && c.peer.Listen != "" {
			if any = append(any, c.peer.Listen); c.followerRoom > 0 {
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
