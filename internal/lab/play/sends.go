package play

// This file audits what leaves a broker for a node, as it leaves.

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"strings"
	"time"
)

// audit checks what leaves for a node: rules 1, 3 and 6.
func (f *front) audit(c *conn, b []byte) {
	if len(b) < 5 || b[4] != 'q' {
		return
	}
	if at, told := f.told[c.name]; told && f.now > at+f.w.script.Fleet.DrainGrace+graceSlip {
		f.breach(3, "broker %d sent to %s %v after it was told that it leaves", f.n, c.name, f.now-at)
	}
	k := &f.by.tally.work
	k.Calls++
	for rest := b[5 : 4+binary.LittleEndian.Uint32(b)]; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, []byte{'\n'})
		id, shard, length := "", 0, 0
		if words := bytes.Fields(line); len(words) == 4 {
			id = string(words[0])
			shard, _ = strconv.Atoi(string(words[1]))
			length, _ = strconv.Atoi(string(words[3]))
		}
		if id == "" || length > len(after) {
			f.breach(0, "broker %d wrote the line %.60q", f.n, line)
			return
		}
		rest = after[length:]
		q := f.open[searchOf(id)]
		if q == nil || q.over {
			f.breach(1, "broker %d sent part %s after its search's answer", f.n, id)
			continue
		}
		k.Parts++
		for i, s := range q.shards {
			if s == shard {
				if q.sent[i]++; q.sent[i] > 1 {
					k.Further++
					f.budget()
				}
				if int(q.sent[i]) > f.w.script.Brokers.Attempts {
					f.breach(6, "broker %d sent part %s %d times", f.n, id, q.sent[i])
				}
			}
		}
	}
}

// budget checks rule 6 at a further sub-request.
func (f *front) budget() {
	t := &f.w.terms.Module
	if t.ExtraAttemptsWindow == 0 {
		return
	}
	trim := func(all []time.Duration) []time.Duration {
		n := 0
		for n < len(all) && all[n] <= f.now-t.ExtraAttemptsWindow {
			n++
		}
		return all[n:]
	}
	f.sends, f.counts = append(trim(f.sends), f.now), trim(f.counts)
	if most := t.ExtraAttemptsMin + t.ExtraAttemptsShare*float64(len(f.counts)); float64(len(f.sends)) > most {
		f.breach(6, "broker %d sent %d further sub-requests in %v, %.1f allowed", f.n, len(f.sends), t.ExtraAttemptsWindow, most)
	}
}

// searchOf is the search that a part belongs to.
func searchOf(part string) string {
	search, _, _ := strings.Cut(part, ".")
	return search
}
