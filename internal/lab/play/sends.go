package play

// This file audits the frames that a broker sends to nodes.

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"
	"time"
)

// auditFrame checks a frame to a node against rules 1, 3 and 6.
func (b *broker) auditFrame(c *conn, frame []byte) {
	if len(frame) < 5 || frame[4] != 'q' {
		return
	}
	if at, leaving := b.leaving[c.name]; leaving && b.now > at+b.w.script.Fleet.DrainGrace+timingTolerance {
		b.reportBreach(3, "broker %d sent to %s %v after discovery listed it as draining or removed", b.n, c.name, b.now-at)
	}
	counts := &b.runner.tally.work
	counts.Calls++
	for rest := frame[5 : 4+binary.LittleEndian.Uint32(frame)]; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		id, shard, length := "", 0, 0
		if words := bytes.Fields(line); len(words) == 4 {
			id = string(words[0])
			shard, _ = strconv.Atoi(string(words[1]))
			length, _ = strconv.Atoi(string(words[3]))
		}
		if id == "" || length > len(after) {
			b.reportBreach(0, "broker %d wrote the malformed line %.60q", b.n, line)
			return
		}
		rest = after[length:]
		q := b.openQueries[queryIDOf(id)]
		if q == nil || q.ended {
			b.reportBreach(1, "broker %d sent shard request %s after its query had ended", b.n, id)
			continue
		}
		counts.Parts++
		for i, s := range q.shards {
			if s == shard {
				if q.attemptsByShard[i]++; q.attemptsByShard[i] > 1 {
					counts.Further++
					b.auditExtraAttempts()
				}
				if int(q.attemptsByShard[i]) > b.w.script.Brokers.Attempts {
					b.reportBreach(6, "broker %d sent shard request %s %d times", b.n, id, q.attemptsByShard[i])
				}
			}
		}
	}
}

// auditExtraAttempts counts an extra attempt and checks the limit of rule 6.
func (b *broker) auditExtraAttempts() {
	t := &b.w.terms.Module
	if t.ExtraAttemptsWindow == 0 {
		return
	}
	dropExpired := func(all []time.Duration) []time.Duration {
		n := 0
		for n < len(all) && all[n] <= b.now-t.ExtraAttemptsWindow {
			n++
		}
		return all[n:]
	}
	b.extraSends, b.creditedRequests = append(dropExpired(b.extraSends), b.now), dropExpired(b.creditedRequests)
	if limit := t.ExtraAttemptsMin + t.ExtraAttemptsShare*float64(len(b.creditedRequests)); float64(len(b.extraSends)) > limit {
		b.reportBreach(6, "broker %d sent %d extra attempts in %v, %.1f allowed", b.n, len(b.extraSends), t.ExtraAttemptsWindow, limit)
	}
}

// queryIDOf returns the ID of the query that a shard request belongs to.
func queryIDOf(requestID string) string {
	queryID, _, _ := strings.Cut(requestID, ".")
	return queryID
}
