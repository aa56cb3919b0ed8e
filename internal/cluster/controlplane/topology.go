package controlplane

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const maxNamedSources = 8 // addresses that this broker names in a redirect

// pathFromVoter returns the names of the brokers from a voter down to this one. It is empty if this broker is cut off or has halted at an
// entry that it cannot read. A halted broker must lose its followers: otherwise they would receive heartbeats from it for ever, but no
// entries.
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

// canFeed reports whether a broker with this path from a voter may be followed.
func canFeed(path []string) bool { return len(path) > 0 && len(path) < maxPathLength }

func (p *Participant) followerCount() (count int) {
	for c := range p.connections {
		if c.isFollower {
			count++
		}
	}
	return count
}

// handleFollow starts to feed a broker with the entries after an index. If this broker is full or cannot feed the other, it sends a
// redirect, and the other closes the connection.
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

// handleRedirect closes the connection to a source that cannot be followed. followSource then tries the addresses of the redirect.
func (p *Participant) handleRedirect(c *conn, redirect redirectFrame) {
	if c == p.source && len(redirect.Addrs) <= maxRedirects {
		c.otherSources = redirect.Addrs
	}
	c.close()
}

// redirectFollowers makes all followers look for another source, from which those of a newer version can receive entries that this broker
// cannot read.
func (p *Participant) redirectFollowers() {
	for c := range p.connections {
		if c.isFollower {
			p.send(c, frameRedirect, redirectFrame{})
		}
	}
}

// otherSources returns addresses of followers that accept more followers or, if none does, of any followers, which know further ones.
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

// closeCutOffSource closes the connection to a source that has had no path from a voter for silenceTimeout, because it has lost the other
// voters or its own source.
func (p *Participant) closeCutOffSource(now time.Duration) {
	if p.source != nil && now-p.sourcePathAt > silenceTimeout {
		p.source.close()
	}
}
