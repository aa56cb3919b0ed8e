package cachedlist

import "time"

// Counts are what operators see.
type Counts struct {
	Confirmed         int           // entries now
	Unconfirmed       int           `json:"Doubtful"`  // entries now
	Ejected           int           `json:"StruckOut"` // entries now
	Excluded          int           `json:"Barred"`    // entries now
	Ejections         uint64        `json:"Strikes"`   // since the start
	Trials            uint64        `json:"Paroles"`   // since the start
	Reinstated        uint64        `json:"Recovered"` // since the start
	ListAge           time.Duration // since discovery last confirmed it; -1: never
	LocalNetworkFault bool          `json:"OwnNetwork"` // all fail alike: nothing is ejected
}

// Snapshot counts entries by their status.
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
