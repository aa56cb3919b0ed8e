package readpin

import "time"

// Promise is what an answer must satisfy.
type Promise struct {
	Offset     uint64        // the minimum position; 0: any
	AsOf       time.Duration // writes acknowledged by then are visible; DistantPast: any age will do
	ReceivedAt time.Duration // when the broker received the query
}

// Assessment is the result of comparing an answer with its promise.
type Assessment struct {
	Fresh  bool          // the answer keeps the promise
	Offset uint64        // the reported position; 0: none was reported
	AsOf   time.Duration // writes acknowledged by then are visible; DistantPast: unknown
}

// Assess compares the report in an answer with the promise; reported is false if the answer has none. Earlier observations of the replica
// don't count, as it may have restarted since.
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
