package server

// This file owns how many log lines connections may write that brought nothing of use.

import "time"

// lines bounds the log lines on connections that brought nothing of use. Danger: whoever opens thousands a second
// would fill the log and take the core with it. What is left out is counted and said with the next line.
type lines struct {
	second int64
	n      int
	left   int
}

const linesASecond = 20

// one tells whether another line may be written now, and how many were left out before it. The caller holds mu.
func (l *lines) one(now time.Time) (ok bool, left int) {
	if s := now.Unix(); s != l.second {
		l.second, l.n = s, 0
	}
	if l.n++; l.n > linesASecond {
		l.left++
		return false, 0
	}
	left, l.left = l.left, 0
	return true, left
}
