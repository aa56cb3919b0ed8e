package routing

import "time"

// majority finds the time that most votes share, by the Boyer-Moore majority vote.
type majority struct {
	candidate time.Duration
	votes     int
}

// vote counts a time and returns the candidate.
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
