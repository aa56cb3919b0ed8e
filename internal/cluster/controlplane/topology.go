package controlplane

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const maxNamedSources = 8 // in a redirect

// pathFromVoter is the way from a voter down to this broker. It is empty if this broker is cut off, or stands still before an entry that it
// can't read: its followers would get heartbeats, and nothing that is agreed, for ever.
func (p *Participant) pathFromVoter() []string {
	isCutOff := len(p.sourcePath) == 0
	if p.isVoting() {
		isCutOff = p.raft.Leader() == 0
	}
	if p.haltedBy != nil || isCutOff {
		return nil
	}
	return append(slices.Clip(p.sourcePath), p.name)
}

// canFeed reports whether a broker with this path may be followed.
func canFeed(path []string) bool { return len(path) > 0 && len(path) < maxPathLength }

func (p *Participant) followerCount() (count int) {
	for c := range p.connections {
		if c.isFollower {
			count++
		}
	}
	return count
}

// handleFollow gives a broker the feed after an index, or names others that have room. The other side then closes.
func (p *Participant) handleFollow(c *conn, index uint64) {
	path := p.pathFromVoter()
	isFull := p.followerCount() >= p.options.MaxFollowers
	isLoop := slices.Contains(path, c.peer.Name)
	if isFull {
		p.send(c, frameRedirect, redirectFrame{Addrs: p.otherSources()})
		return
	}
	if !canFeed(path) || isLoop {
		p.send(c, frameRedirect, redirectFrame{})
		return
	}
	c.isFollower = true
	c.sentIndex = index
	p.send(c, frameHeartbeat, heartbeatFrame{Path: path, Token: tokenAt(p.options.Now()), Echo: c.lastToken})
}

// handleRedirect ends a connection to a source that can't be followed; followSource goes on with those that it named.
func (p *Participant) handleRedirect(c *conn, redirect redirectFrame) {
	if c == p.source && len(redirect.Addrs) <= maxRedirects {
		c.otherSources = redirect.Addrs
	}
	c.close()
}

// redirectFollowers has the followers look for another source; those of a newer version may know of a better one.
func (p *Participant) redirectFollowers() {
	for c := range p.connections {
		if c.isFollower {
			p.send(c, frameRedirect, redirectFrame{})
		}
	}
}

// otherSources names followers with room, or else any, which know more.
func (p *Participant) otherSources() []string {
	var withRoom, all []string
	byRoom := func(a, b *conn) int { return b.followerRoom - a.followerRoom }
	for _, c := range slices.SortedFunc(maps.Keys(p.connections), byRoom) {
		if !c.isFollower || c.peer.Listen == "" {
			continue
		}
		all = append(all, c.peer.Listen)
		if c.followerRoom > 0 {
			withRoom = append(withRoom, c.peer.Listen)
		}
	}
	sources := all
	if len(withRoom) > 0 {
		sources = withRoom
	}
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	return sources[:min(len(sources), maxNamedSources)]
}

// closeCutOffSource leaves a source that has had no path from a voter for a while: one that lost the others, or follows nobody.
func (p *Participant) closeCutOffSource(now time.Duration) {
	if p.source != nil && now-p.sourcePathAt > silenceTimeout {
		p.source.close()
	}
}
