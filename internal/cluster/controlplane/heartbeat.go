package controlplane

import (
	"slices"
	"time"
)

// maxTopicBytes bounds the data of one topic in a heartbeat.
const maxTopicBytes = 256 << 10

// maxTopicAge bounds the age that a heartbeat may state for a topic. Older data is ignored.
const maxTopicAge = time.Hour

// Topic is a kind of data that brokers exchange in heartbeats, outside the log. Both functions are called in the participant's loop.
type Topic struct {
	Name    string
	Collect func() (data []byte, at time.Duration)   // returns what is known here, and the moment to which the ages in the data refer; nil: nothing
	Merge   func(data []byte, transit time.Duration) // transit: upper bound of how much the data has aged since that moment
}

// AddTopic adds a topic. It must be called before Run.
func (p *Participant) AddTopic(t Topic) { p.topics = append(p.topics, t) }

// sendHeartbeats sends a heartbeat with this broker's path and topics to every connected broker.
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

// handleHeartbeat records the state of the peer and merges its topics. It closes the connection to a source whose path is not usable.
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

// noteSourcePath records the path of the source. It returns false if the path is too long, or leads through this broker: two brokers
// that are cut off must not follow each other.
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

// mergeTopics merges the topics of a peer's heartbeat. The peer sent the heartbeat after it had received the token that it echoes. So its
// topics have aged on the way by at most the time since this broker sent that token (roundTrip), on top of the age that the peer states.
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

// withDrift returns the longest time that can have passed while a clock measured span, given the drift between two brokers' clocks.
func (p *Participant) withDrift(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*p.options.MaxClockDrift)
}
