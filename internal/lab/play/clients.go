package play

// This file owns the clients of a broker: an open loop of searches, what they do with an answer, and what it is worth.

import (
	"fmt"
	"math"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server"
)

const (
	partialWorth = 0.9                   // of the share that is in
	atOnce       = 10 * time.Millisecond // for a client to ask again, where it comes back at once
	mostAtOnce   = 50
)

// next draws when the next client asks.
func (f *front) next() {
	most := f.rate * f.w.plan.Max()
	at := f.now + time.Duration(f.rnd.ExpFloat64()/most*float64(time.Second))
	if at < f.w.script.Length {
		f.send(f.id, at, kArrive, 0, 0, nil)
	}
}

// arrive has a client ask, if the load of the moment wants it.
func (f *front) arrive() {
	defer f.next()
	s := f.w.script
	tenants, sum, all := s.Tenants, 0.0, 0.0
	var weights [64]float64
	for i := range tenants {
		factor, _ := f.w.plan.Load(i, f.now)
		all += tenants[i].Share
		if i < len(weights) {
			weights[i] = tenants[i].Share * factor
			sum += weights[i]
		}
	}
	if f.rnd.Float64()*f.w.plan.Max()*all >= sum {
		return
	}
	q := &asked{tenant: pick(weights[:min(len(tenants), len(weights))], sum*f.rnd.Float64()), born: f.now}
	_, q.repeats = f.w.plan.Load(q.tenant, f.now)
	shares := weights[:0]
	sum = 0
	for i := range s.Types {
		if i < cap(shares) {
			shares = append(shares, s.Types[i].Share)
			sum += s.Types[i].Share
		}
	}
	q.typ = pick(shares, sum*f.rnd.Float64())
	y := &s.Types[q.typ]
	q.row, q.due, q.text = q.tenant*len(s.Types)+q.typ, f.now+y.Timeout, texts[q.typ%10]
	q.client = f.rnd.Uint64N(3000) + 1
	n := y.Min + f.rnd.IntN(y.Max-y.Min+1)
	first := f.rnd.IntN(s.Shards())
	q.shards, q.weights, q.sent = make([]int, n), make([]float64, n), make([]uint8, n)
	total := 0.0
	for i := range n {
		q.shards[i], q.weights[i] = (first+i)%s.Shards(), 0.5+f.rnd.Float64()
		total += q.weights[i]
	}
	for i := range q.weights {
		q.weights[i] /= total
	}
	c := f.count(q)
	c.Asked++
	c.Worth += micro(y.Value)
	f.wish(q)
	f.try(q)
}

var texts = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

func pick(weights []float64, at float64) int {
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func micro(v float64) int64 { return int64(math.Round(v * 1e6)) }

// count is where a search counts: at the second in which it was first asked.
func (f *front) count(q *asked) *Counts { return f.by.tally.second(q.born, q.row, f.w) }

// try puts a search to the broker, for the first time or again, as a new request.
func (f *front) try(q *asked) {
	q.tries++
	q.coming = false
	f.count(q).Tries++
	if f.core == nil {
		q.over = true
		if !f.again(q, 0) {
			f.count(q).Failed++
		}
		return
	}
	f.asks++
	q.tried = f.now
	q.id, q.over = fmt.Sprintf("%08x%08x", uint32(f.id)*2654435761, uint32(f.asks)), false
	clear(q.sent)
	f.open[q.id] = q
	if f.w.terms.Module.ExtraAttemptsWindow > 0 {
		for range 1 + len(q.shards) {
			f.counts = append(f.counts, f.now)
		}
	}
	id := q.id
	q.held = f.core.Submit(&server.Query{ID: id, Type: q.typ, Tenant: q.tenant, Client: q.client, Retry: q.tries > 1,
		Timeout: q.due - f.now, Text: q.text, Shards: q.shards, Weights: q.weights, Hint: q.hint}, func(v server.QueryResult) { f.verdict(q, id, v) })
	if !q.over {
		f.send(f.id, q.due, kOverdue, q.tries, 0, q)
	}
	f.kick()
}

// verdict is the broker's answer to a try.
func (f *front) verdict(q *asked, id string, v server.QueryResult) {
	if q.over || q.id != id {
		f.breach(1, "broker %d gave a second answer to search %s", f.n, id)
		return
	}
	q.over = true
	delete(f.open, id)
	y, c, took := &f.w.script.Types[q.typ], f.count(q), f.now-q.born
	kind := uint64(1)
	f.checkReads(q, &v)
	switch {
	case v.Answered:
		share := f.honest(q, id, &v)
		worth := micro(y.Value)
		if !v.Complete {
			c.Partial++
			worth = int64(math.Round(float64(worth) * share * partialWorth))
		}
		if took <= y.Objective {
			c.InTarget++
		} else {
			c.Late++
			worth = int64(math.Round(float64(worth) * y.Late))
		}
		c.Got += worth
		f.by.tally.latency[int(q.born/time.Second)].record(took)
		f.by.tally.types[q.row].record(took)
	case v.Shed:
		kind = 2
		if f.w.terms.Module.QueryTypes[q.typ].Idempotency == decision.NonIdempotent {
			f.send(idAuditor, f.now, kShedOf, 0, hashOf(id), id)
		}
		if !f.again(q, v.RetryAfter) {
			c.Shed++
		}
	default:
		kind = 3
		if f.w.terms.Module.QueryTypes[q.typ].Idempotency != decision.Idempotent || !f.again(q, 0) {
			c.Failed++
		}
	}
	if !q.coming {
		f.rest(q)
	}
	f.mark(hashOf(id) ^ kind<<60 ^ uint64(len(v.Shards)))
	if f.now > q.due+graceSlip {
		f.breach(1, "search %s was answered %v after its time", id, f.now-q.due)
	}
	if f.w.trace != nil {
		f.w.trace.Encode(struct {
			At      float64 `json:"at"`
			Broker  int     `json:"broker"`
			ID      string  `json:"id"`
			Tenant  string  `json:"tenant"`
			Type    string  `json:"type"`
			Try     int32   `json:"try"`
			Verdict string  `json:"verdict"`
			Whole   bool    `json:"whole,omitempty"`
			Took    float64 `json:"took"`
		}{f.now.Seconds(), f.n, id, f.w.script.Tenants[q.tenant].Name, y.Name, q.tries,
			[]string{"", "answered", "shed", "failed"}[kind], v.Complete, took.Seconds()})
	}
}

// honest checks an answer against what nodes make of its parts, and tells which share of it there is.
func (f *front) honest(q *asked, id string, v *server.QueryResult) (share float64) {
	y := &f.w.script.Types[q.typ]
	seen := map[int]bool{}
	for i, shard := range v.Shards {
		at := -1
		made, _, _ := versionOf(v.Values[i])
		for j, s := range q.shards {
			if s == shard {
				at = j
			}
		}
		if at < 0 || seen[shard] || made != value(fmt.Sprintf("%s.%d", id, shard)) {
			f.breach(5, "search %s was answered with %.40q for shard %d", id, v.Values[i], shard)
			continue
		}
		seen[shard] = true
		share += q.weights[at]
	}
	if v.Complete && len(seen) < len(q.shards) || share < y.RequiredShare-1e-4 {
		f.breach(5, "search %s was answered with %.3f of it, whole %v", id, share, v.Complete)
	}
	return share
}

// again has a client ask once more, if it will; it is told when.
func (f *front) again(q *asked, hint time.Duration) bool {
	l := &f.w.script.Load
	wait := l.After
	switch {
	case q.repeats:
		wait = atOnce
	case hint > 0 && f.rnd.Float64() < l.ObeysRetryAfter:
		wait = hint
	}
	if int(q.tries) > l.Retries && !(q.repeats && q.tries < mostAtOnce) || f.now+wait >= q.due-5*time.Millisecond {
		return false
	}
	q.coming = true
	f.send(f.id, f.now+wait, kTry, 0, 0, q)
	return true
}
