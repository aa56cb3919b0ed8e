package routing

import "time"

// majority finds the duration that most votes agree on, within majorityTolerance, by the Boyer-Moore majority vote.
type majority struct {
	candidate time.Duration
	votes     int
}

// vote counts a duration and returns the current candidate.
func (m *majority) vote(t time.Duration) time.Duration {
	switch {
	case (t - m.candidate).Abs() <= majorityTolerance:
		m.votes++
	case m.votes > 0:
		m.votes--
	default:
		m.candidate = t
		m.votes = 1
	}
	return m.candidate
}
