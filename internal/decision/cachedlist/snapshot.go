package cachedlist

import "time"

// Counts are the counters and gauges that operators see.
type Counts struct {
	Confirmed         int           // current number of entries
	Unconfirmed       int           `json:"Doubtful"`  // current number of entries
	Ejected           int           `json:"StruckOut"` // current number of entries
	Excluded          int           `json:"Barred"`    // current number of entries
	Ejections         uint64        `json:"Strikes"`   // since the start
	Trials            uint64        `json:"Paroles"`   // since the start
	Reinstated        uint64        `json:"Recovered"` // since the start
	ListAge           time.Duration // time since discovery last confirmed the list; -1: never
	LocalNetworkFault bool          `json:"OwnNetwork"` // nearly all endpoints fail alike, and none is ejected
}

// Snapshot returns the counts as of now.
func (v *Evaluator) Snapshot(now time.Duration) Counts {
	counts := v.counts
	counts.LocalNetworkFault = v.localNetworkFault
	counts.ListAge = -1
	if v.table.Head.ConfirmedAt > 0 {
		counts.ListAge = max(0, v.timestamp(now).Since(v.table.Head.ConfirmedAt))
	}
	for _, ep := range v.endpoints {
		switch ep.status {
		case Confirmed:
			counts.Confirmed++
		case Unconfirmed:
			counts.Unconfirmed++
		case Ejected:
			counts.Ejected++
		case Excluded:
			counts.Excluded++
		}
	}
	return counts
}
