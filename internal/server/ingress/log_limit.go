package ingress

import (
	"sync"
	"time"
)

// logLimit limits the log lines about connections that brought no query, as a client that opens thousands of them a second would fill the log
// and keep a core busy. Lines beyond the limit are counted, and the next line states their number.
type logLimit struct {
	second     int64 // Unix time
	written    int   // lines requested in that second, written or not
	suppressed int   // lines left out since the last one written
}

// sharedLogLimit is a limit for several goroutines.
type sharedLogLimit struct {
	mu    sync.Mutex
	limit logLimit
}

func (l *sharedLogLimit) allow(now time.Time) logDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.allow(now)
}

const maxLinesPerSecond = 20

// logDecision says whether a line is written.
type logDecision struct {
	write      bool
	suppressed int // lines left out before it
}

// allow decides whether a line at the given time is written.
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
