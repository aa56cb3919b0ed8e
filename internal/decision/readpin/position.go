package readpin

import (
	"time"

	"flaxfront/internal/decision"
)

// position is what is known of one shard at one replica. Times are those of this broker's clock.
type position struct {
	known          bool
	offset         uint64        // highest position that the replica is known to have applied
	observedBefore time.Duration // the replica had applied offset at this time at the latest
	observedAfter  time.Duration // the latest observation was not made before this time
	asOf           time.Duration // all writes acknowledged by then are visible; DistantPast: unknown
	lag            time.Duration // observedAfter - asOf at the latest observation; UnknownAge: unknown
	triedAt        time.Duration // when a shard request was last sent to the replica although it was behind
}

// longestSpan returns the longest time that may really have passed while a clock measured the given time.
func (t *Tracker) longestSpan(measured time.Duration) time.Duration {
	return time.Duration(float64(measured) / (1 - t.config.MaxDrift))
}

// shortestSpan returns the shortest time that may really have passed while a clock measured the given number of milliseconds.
func (t *Tracker) shortestSpan(milliseconds uint64) time.Duration {
	return time.Duration(float64(milliseconds)*(1-t.config.MaxDrift)) * time.Millisecond
}

// asOf returns the latest time such that an answer certainly contains all writes acknowledged by then. The replica read no earlier than
// the attempt was sent; as it is not known how much later, it is assumed to have read at that time.
func (t *Tracker) asOf(sentAt time.Duration, report Report) time.Duration {
	if report.HeadAge == UnknownAge {
		return DistantPast
	}
	return sentAt - t.longestSpan(report.HeadAge+t.config.ClockError)
}

// Observe records the report in an answer that arrived now, to an attempt that was sent at sentAt.
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

// merge merges a newly received observation of a replica into the held position. A replica goes back to an earlier position only by a
// restart: if it certainly was observed later with a lower offset, it has restarted, and what was known before no longer holds.
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

// StalenessBound returns the most by which a replica may be behind now, judged by past observations, or UnknownAge if there is no bound.
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

// Staleness returns an upper bound on the age of an answer that is sent now and contains all writes acknowledged by asOf, rounded up to a
// millisecond.
func (t *Tracker) Staleness(now, asOf time.Duration) time.Duration {
	age := t.longestSpan(now - asOf)
	return (age + time.Millisecond - 1) / time.Millisecond * time.Millisecond
}
