package ingress

import (
	"testing"
	"time"
)

// Log lines about connections that brought no query are limited, and those left out are counted.
func TestLogLimitOfUselessConnections(t *testing.T) {
	var l logLimit
	at, logged, leftOut := time.Unix(1000, 0), 0, 0
	for range 50 * maxLinesPerSecond {
		line := l.allow(at)
		if leftOut += line.suppressed; line.write {
			logged++
		}
		at = at.Add(10 * time.Second / (50 * maxLinesPerSecond))
	}
	line := l.allow(at.Add(time.Second))
	if logged++; !line.write || logged > 12*maxLinesPerSecond || logged+leftOut+line.suppressed != 50*maxLinesPerSecond+1 {
		t.Errorf("%d lines logged, %d left out", logged, leftOut+line.suppressed)
	}
}
