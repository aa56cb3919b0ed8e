package controlplane

import (
	"slices"
	"time"
)

// maxTopicBytes bounds a topic's share of a heartbeat.
const maxTopicBytes = 256 << 10

// maxTopicAge bounds the age that a heartbeat may state.
const maxTopicAge = time.Hour

// Topic is a kind of facts that brokers share outside the log. Both functions are called in the participant's loop.
type Topic struct {
	Name    string
	Collect func() (data []byte, at time.Duration)   // what was known here at that moment, with the ages of it inside; nil: nothing
	Merge   func(data []byte, transit time.Duration) // transit: by how much at most all of it has grown older on the way
}

// AddTopic adds a topic, before Run.
func (p *Participant) AddTopic(t Topic) { p.topics = append(p.topics, t) }

// sendHeartbeats sends one to every broker, with what is known here.
func (p *Participant) sendHeartbeats(now time.Duration) {
	heartbeat := heartbeatFrame{Path: p.pathFromVoter(), Token: tokenAt(now), Topics: p.collectTopics(now)}
	if p.options.Listener != nil && canFeed(heartbeat.Path) {
		heartbeat.FollowerRoom = max(0, p.options.MaxFollowers-p.followerCount())
	}
	for c := range p.connections {
		if c.peer.Role != roleOperator {
			heartbeat.Echo = c.lastToken
			p.send(c, frameHeartbeat, heartbeat)
		}
	}
	p.closeCutOffSource(now)
}

func (p *Participant) collectTopics(now time.Duration) map[string]topicData {
	var collected map[string]topicData
	for _, topic := range p.topics {
		data, at := topic.Collect()
		if len(data) == 0 || len(data) > maxTopicBytes {
			continue
		}
		if collected == nil {
			collected = map[string]topicData{}
		}
		collected[topic.Name] = topicData{Data: data, AgeNS: int64(max(0, now-at))}
	}
	return collected
}

// handleHeartbeat notes where the other side stands, and merges its topics.
func (p *Participant) handleHeartbeat(c *conn, heartbeat heartbeatFrame, now time.Duration) {
	c.lastToken = heartbeat.Token
	c.followerRoom = heartbeat.FollowerRoom
	if c == p.source && !p.noteSourcePath(heartbeat.Path, now) {
		c.close()
		return
	}
	if sentAt, ok := tokenTime(heartbeat.Echo, now); ok {
		p.mergeTopics(heartbeat.Topics, now-sentAt)
	}
}

// noteSourcePath notes the path of the source; false: it leads through this broker, or is too long. Two brokers that are cut off would
// follow one another otherwise.
func (p *Participant) noteSourcePath(path []string, now time.Duration) bool {
	if len(path) > maxPathLength || slices.Contains(path, p.name) {
		return false
	}
	p.sourcePath = path
	if len(path) > 0 {
		p.sourcePathAt = now
	}
	return true
}

// mergeTopics merges what the other side collected. It sent the heartbeat after it had the token that it echoes. So its topics have grown
// older by no more than it says, and the round trip since that token was sent.
func (p *Participant) mergeTopics(topics map[string]topicData, roundTrip time.Duration) {
	transit := p.withDrift(roundTrip)
	for _, topic := range p.topics {
		received := topics[topic.Name]
		isAgeValid := received.AgeNS >= 0 && received.AgeNS < int64(maxTopicAge)
		if len(received.Data) == 0 || len(received.Data) > maxTopicBytes || !isAgeValid {
			continue
		}
		topic.Merge(received.Data, transit+p.withDrift(time.Duration(received.AgeNS)))
	}
}

// withDrift is the longest that a span may have been which another broker's clock measured.
func (p *Participant) withDrift(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*p.options.MaxClockDrift)
}
