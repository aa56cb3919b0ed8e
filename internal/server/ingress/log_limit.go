package ingress

import "time"

// logLimit bounds the log lines on connections that brought no query, as whoever opens thousands a second would fill the log and keep a
// core busy. Lines beyond the limit are counted, and their number goes into the next line.
type logLimit struct {
	second     int64 // since 1970
	written    int   // in that second
	suppressed int   // since the last line
}

const maxLinesPerSecond = 20

// logDecision tells whether a line is to be written.
type logDecision struct {
	write      bool
	suppressed int // lines before it that were not
}

// allow decides on a line at a time.
func (l *logLimit) allow(now time.Time) logDecision {
	if second := now.Unix(); second != l.second {
		l.second = second
		l.written = 0
	}
	l.written++
	if l.written > maxLinesPerSecond {
		l.suppressed++
		return logDecision{}
	}
	decision := logDecision{write: true, suppressed: l.suppressed}
	l.suppressed = 0
	return decision
}
