package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// position is what is known of one shard at one replica, in moments of this broker's clock.
type position struct {
	known          bool
	offset         uint64        // the replica had applied it
	observedBefore time.Duration // at this moment at the latest
	observedAfter  time.Duration // the latest observation was no earlier
	asOf           time.Duration // all that was acknowledged by then is visible; DistantPast: not known
	lag            time.Duration // observedAfter - asOf at the latest observation; UnknownAge
	triedAt        time.Duration // when it was last sent a shard request although it was behind
}

// longestSpan is the longest that a span may have been which a clock measured.
func (t *Tracker) longestSpan(measured time.Duration) time.Duration {
	return time.Duration(float64(measured) / (1 - t.config.MaxDrift))
}

// shortestSpan is the shortest.
func (t *Tracker) shortestSpan(milliseconds uint64) time.Duration {
	return time.Duration(float64(milliseconds)*(1-t.config.MaxDrift)) * time.Millisecond
}

// asOf is the latest moment of which it is sure that all that was acknowledged by then is in an answer. The replica read no sooner
// than the attempt was sent; that it may have read later counts for nothing.
func (t *Tracker) asOf(sentAt time.Duration, report Report) time.Duration {
	if report.HeadAge == UnknownAge {
		return DistantPast
	}
	return sentAt - t.longestSpan(report.HeadAge+t.config.ClockError)
}

// Observe takes the report of an answer to an attempt that was sent at sentAt and answered now.
func (t *Tracker) Observe(now time.Duration, id decision.NodeID, shard int, sentAt time.Duration, report Report) {
	index, known := t.byID[id]
	if !known {
		return
	}
	held := t.position(&t.nodes[index], shard)
	if held == nil {
		return
	}
	observed := position{
		known:          true,
		offset:         report.Offset,
		observedAfter:  sentAt,
		observedBefore: now,
		asOf:           t.asOf(sentAt, report),
		lag:            UnknownAge,
		triedAt:        DistantPast,
	}
	if observed.asOf != DistantPast {
		observed.lag = sentAt - observed.asOf
	}
	t.merge(held, &observed)
}

// merge keeps the best of two observations of a replica. A replica never goes back but by a restart: one that was surely observed
// later and had less has restarted, and what was known before no longer holds.
func (t *Tracker) merge(held, observed *position) {
	if !held.known {
		*held = *observed
		return
	}
	if observed.offset < held.offset && observed.observedAfter > held.observedBefore {
		t.Counts.Regressed++
		*held = *observed
		return
	}
	beforeRestart := observed.offset > held.offset && observed.observedBefore < held.observedAfter
	if beforeRestart {
		return
	}
	sameButEarlier := observed.offset == held.offset && observed.observedBefore < held.observedBefore
	if observed.offset > held.offset || sameButEarlier {
		held.offset = observed.offset
		held.observedBefore = observed.observedBefore
	}
	if observed.observedAfter > held.observedAfter {
		held.observedAfter = observed.observedAfter
		held.lag = observed.lag
	}
	held.asOf = max(held.asOf, observed.asOf)
}

// StalenessBound is the most by which a replica may be behind now, without asking it; UnknownAge: there is no bound.
func (t *Tracker) StalenessBound(now time.Duration, id decision.NodeID, shard int) time.Duration {
	index, known := t.byID[id]
	if !known {
		return UnknownAge
	}
	p := t.position(&t.nodes[index], shard)
	if p == nil || !p.known || p.asOf == DistantPast {
		return UnknownAge
	}
	return t.Staleness(now, p.asOf)
}

// Staleness is the most by which an answer that leaves now may lack acknowledged writes, rounded up to a millisecond.
func (t *Tracker) Staleness(now, asOf time.Duration) time.Duration {
	age := t.longestSpan(now - asOf)
	return (age + time.Millisecond - 1) / time.Millisecond * time.Millisecond
}
