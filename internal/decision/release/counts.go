package release

// Metric is a way in which a query goes wrong.
type Metric uint8

// The metrics; each has a gate in each group.
const (
	MetricUnserved        Metric = iota // whatever the cause
	MetricRejected                      // not admitted
	MetricFailed                        // without a result
	MetricLate                          // after its deadline
	MetricSentToWarmingUp               // sent to a node that was still warming up
	metricCount
)

// String is the metric as the reason of a halt names it. The reason is part of an entry, so that the texts stay.
func (m Metric) String() string {
	return [...]string{"unserved", "refused", "failed", "late", "sent to cold nodes"}[min(m, MetricSentToWarmingUp)]
}

// Counts is what became of queries of a class at a broker, or at a node, since it started.
type Counts struct {
	Queries uint64
	Bad     [metricCount]uint64
}

// subtractCounts is what counts grew by; a count that fell did not grow.
func subtractCounts(now, before Counts) (growth Counts) {
	growth.Queries = now.Queries - min(now.Queries, before.Queries)
	for m := range metricCount {
		growth.Bad[m] = now.Bad[m] - min(now.Bad[m], before.Bad[m])
	}
	return growth
}

// Report is what one target counted.
type Report struct {
	Target
	Incarnation uint64 // counts are since its start
	Zone        string
	Classes     []Counts
}

// reportedCounts is a target's counts as evidence takes them.
type reportedCounts struct {
	latest   Report
	compared Report // as far as windows have been compared
	fresh    bool   // a report came since
}
