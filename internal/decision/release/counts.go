package release

// Metric is a way in which a query can go wrong.
type Metric uint8

// The metrics. Each has a gate in every group.
const (
	MetricUnserved        Metric = iota // not served, for any cause
	MetricRejected                      // not admitted
	MetricFailed                        // without a result
	MetricLate                          // after its deadline
	MetricSentToWarmingUp               // sent to a node that was still warming up
	metricCount
)

// String returns the metric as the reason of a halt names it. The reason is part of a log entry, so these texts must not change.
func (m Metric) String() string {
	return [...]string{"unserved", "refused", "failed", "late", "sent to cold nodes"}[min(m, MetricSentToWarmingUp)]
}

// Counts are the outcomes of the queries of a class at a broker or a node since it started.
type Counts struct {
	Queries uint64
	Bad     [metricCount]uint64
}

// subtractCounts returns the growth of counts; the growth of one that decreased is 0.
func subtractCounts(now, before Counts) (growth Counts) {
	growth.Queries = now.Queries - min(now.Queries, before.Queries)
	for m := range metricCount {
		growth.Bad[m] = now.Bad[m] - min(now.Bad[m], before.Bad[m])
	}
	return growth
}

// Report holds the counts of one target.
type Report struct {
	Target
	Incarnation uint64 // the counts are since its start
	Zone        string
	Classes     []Counts
}

// reportedCounts tracks which of a target's counts the evidence already includes.
type reportedCounts struct {
	latest   Report
	compared Report // the counts up to the last compared window
	fresh    bool   // a report has arrived since that window
}
