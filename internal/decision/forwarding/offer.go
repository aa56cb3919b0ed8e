package forwarding

import (
	"slices"
	"time"
)

// noLink is the selected link if no link is usable.
const noLink LinkIndex = -1

// Offer is called with a query that the router sheds. It reports whether the query is forwarded; if not, the caller sheds it.
func (f *Forwarder) Offer(q Query, now time.Duration) bool {
	if q.Remote || q.Returned {
		return false // at most one hop, and only once
	}
	if f.budget < 1 || len(f.queries) >= f.policy.MaxForwarded {
		f.Counters.NoBudget++
		return false
	}
	selected := f.selectLink(q, now)
	if selected.link == noLink {
		if selected.lacksTime {
			f.Counters.NoTime++
		} else {
			f.Counters.NoLink++
		}
		return false
	}
	link := &f.links[selected.link]
	f.budget--
	link.inFlight++
	f.queries[q.ID] = &forwardedQuery{Query: q, link: selected.link, epoch: link.epoch, sentAt: now}
	f.Counters.Forwarded++
	f.Counters.InFlight = len(f.queries)
	f.addAction(Action{Kind: Forward, ID: q.ID, Link: selected.link, RemainingTime: f.remoteTime(q.Deadline, link, now)})
	return true
}

// remoteTime returns the time that the other site gets: less than the query has left here, so that this site can still answer its client.
func (f *Forwarder) remoteTime(deadline time.Duration, link *linkState, now time.Duration) time.Duration {
	return deadline - now - f.policy.AnswerReserve - link.roundTrip
}

// selection is the result of selectLink.
type selection struct {
	link      LinkIndex
	lacksTime bool // if no link is selected: one was usable, but the query lacks the time for it
}

// selectLink returns the usable link with the most unused credit among those whose average answer time fits the remaining time.
func (f *Forwarder) selectLink(q Query, now time.Duration) selection {
	best := selection{link: noLink}
	for i := range f.links {
		link := &f.links[i]
		if !link.usable(now) || link.status.lacksShard(q.Shards) {
			continue
		}
		if f.remoteTime(q.Deadline, link, now) < max(f.policy.MinRemainingTime, link.answerTime-link.roundTrip) {
			best.lacksTime = true
			continue
		}
		if best.link == noLink || link.unusedCredit() > f.links[best.link].unusedCredit() {
			best.link = LinkIndex(i)
		}
	}
	return best
}

func (l *linkState) unusedCredit() int { return l.credit - l.inFlight }

// usable reports whether a link can take another query. The results of earlier queries override the other site's status: after a rejection
// the link is unusable until the backoff ends, and a recent answer after the last status makes it usable. A link to a draining site is never
// usable.
func (l *linkState) usable(now time.Duration) bool {
	if !l.up || l.status.Draining || l.inFlight >= l.credit || now < l.backoffUntil {
		return false
	}
	if l.answeredAt > l.statusAt && now-l.answeredAt < answerLifetime {
		return true
	}
	current := l.statusAt > 0 && now-l.statusAt < statusLifetime
	return current && !l.status.Shedding && l.status.FreeShare > 0
}

// lacksShard reports whether the other site has no available replica of one of the shards.
func (s *Status) lacksShard(shards []int) bool {
	return slices.ContainsFunc(shards, func(shard int) bool { return slices.Contains(s.UnavailableShards, shard) })
}
