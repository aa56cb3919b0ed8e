package readpin

import "time"

// Promise is what an answer has to show.
type Promise struct {
	Offset     uint64        // 0: any position will do
	AsOf       time.Duration // writes acknowledged by then are visible; DistantPast: any age will do
	ReceivedAt time.Duration // when the broker received the query
}

// Assessment is what an answer has shown.
type Assessment struct {
	Fresh  bool          // it keeps the promise
	Offset uint64        // 0: it did not report one
	AsOf   time.Duration // writes acknowledged by then are visible; DistantPast: nothing is sure
}

// Assess compares an answer's report with the promise; reported is false if there was none. Only the answer's own report counts, never
// what was known before: a replica may have restarted since.
func (t *Tracker) Assess(promise Promise, sentAt time.Duration, report Report, reported bool) Assessment {
	a := Assessment{AsOf: DistantPast}
	if reported {
		a.Offset = report.Offset
		a.AsOf = t.asOf(sentAt, report)
	}
	sinceReceived := sentAt - promise.ReceivedAt
	drift := t.longestSpan(sinceReceived) - sinceReceived
	newEnough := promise.AsOf == DistantPast || a.AsOf-drift >= promise.AsOf
	a.Fresh = a.Offset >= promise.Offset && newEnough
	if a.Fresh {
		t.Counts.Fresh++
	} else {
		t.Counts.Stale++
	}
	return a
}
