package forwarding

import "time"

// neverReceived is the StatusAge of a link without a status since it came up.
const neverReceived time.Duration = -1

// LinkSnapshot is the state of one link.
type LinkSnapshot struct {
	Name             string        `json:"Name"`
	Up               bool          `json:"Up"`
	Usable           bool          `json:"Usable"`
	Draining         bool          `json:"Stopping"`
	InFlight         int           `json:"Abroad"`
	Credit           int           `json:"Credit"`
	RoundTrip        time.Duration `json:"RoundTrip"`
	AnswerTime       time.Duration `json:"Took"`
	FreeShare        float64       `json:"Room"`
	Shedding         bool          `json:"Refusing"`
	StatusAge        time.Duration `json:"HeardAgo"` // -1: no status received since the link came up
	RemainingBackoff time.Duration `json:"ShutFor"`  // 0: none
}

// Snapshot returns the state of all links.
func (f *Forwarder) Snapshot(now time.Duration) []LinkSnapshot {
	var links []LinkSnapshot
	for i := range f.links {
		links = append(links, f.links[i].snapshot(now))
	}
	return links
}

func (l *linkState) snapshot(now time.Duration) LinkSnapshot {
	s := LinkSnapshot{
		Name:             l.name,
		Up:               l.up,
		Usable:           l.usable(now),
		Draining:         l.status.Draining,
		InFlight:         l.inFlight,
		Credit:           l.credit,
		RoundTrip:        l.roundTrip,
		AnswerTime:       l.answerTime,
		FreeShare:        l.status.FreeShare,
		Shedding:         l.status.Shedding,
		StatusAge:        neverReceived,
		RemainingBackoff: max(0, l.backoffUntil-now),
	}
	if l.statusAt > 0 {
		s.StatusAge = now - l.statusAt
	}
	return s
}
