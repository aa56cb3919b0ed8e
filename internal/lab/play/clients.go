package play

// This file simulates the clients of a broker: an open loop of queries, their retries, and the value that each answer counts for.

import (
	"fmt"
	"math"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server"
)

const (
	partialValueFactor  = 0.9                   // applied to the answered share of a partial result
	immediateRetryDelay = 10 * time.Millisecond // of clients that retry at once
	maxImmediateTries   = 50
)

// scheduleArrival draws the time of the next possible query.
func (b *broker) scheduleArrival() {
	maxRate := b.rate * b.w.schedule.Max()
	at := b.now + time.Duration(b.rnd.ExpFloat64()/maxRate*float64(time.Second))
	if at < b.w.script.Length {
		b.send(b.id, at, kArrive, 0, 0, nil)
	}
}

// generateQuery submits a new query with a probability that follows the present load of the schedule.
func (b *broker) generateQuery() {
	defer b.scheduleArrival()
	s := b.w.script
	tenants, sum, all := s.Tenants, 0.0, 0.0
	var weights [64]float64
	for i := range tenants {
		factor, _ := b.w.schedule.Load(i, b.now)
		all += tenants[i].Share
		if i < len(weights) {
			weights[i] = tenants[i].Share * factor
			sum += weights[i]
		}
	}
	if b.rnd.Float64()*b.w.schedule.Max()*all >= sum {
		return
	}
	q := &clientQuery{tenant: weightedIndex(weights[:min(len(tenants), len(weights))], sum*b.rnd.Float64()), askedAt: b.now}
	_, q.retriesAtOnce = b.w.schedule.Load(q.tenant, b.now)
	shares := weights[:0]
	sum = 0
	for i := range s.Types {
		if i < cap(shares) {
			shares = append(shares, s.Types[i].Share)
			sum += s.Types[i].Share
		}
	}
	q.typ = weightedIndex(shares, sum*b.rnd.Float64())
	queryType := &s.Types[q.typ]
	q.row, q.deadline, q.text = q.tenant*len(s.Types)+q.typ, b.now+queryType.Timeout, typeTexts[q.typ%10]
	q.client = b.rnd.Uint64N(3000) + 1
	n := queryType.Min + b.rnd.IntN(queryType.Max-queryType.Min+1)
	first := b.rnd.IntN(s.Shards())
	q.shards, q.weights, q.attemptsByShard = make([]int, n), make([]float64, n), make([]uint8, n)
	total := 0.0
	for i := range n {
		q.shards[i], q.weights[i] = (first+i)%s.Shards(), 0.5+b.rnd.Float64()
		total += q.weights[i]
	}
	for i := range q.weights {
		q.weights[i] /= total
	}
	c := b.countsOf(q)
	c.Asked++
	c.Worth += millionths(queryType.Value)
	b.assignHint(q)
	b.submit(q)
}

var typeTexts = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

func weightedIndex(weights []float64, at float64) int {
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func millionths(v float64) int64 { return int64(math.Round(v * 1e6)) }

// countsOf returns the counters of a query: those of the second in which the client first asked it.
func (b *broker) countsOf(q *clientQuery) *Counts {
	return b.runner.tally.countsAt(q.askedAt, q.row, b.w)
}

// submit sends a query to the broker. A retry is sent as a new request with an ID of its own.
func (b *broker) submit(q *clientQuery) {
	q.tries++
	q.retryScheduled = false
	b.countsOf(q).Tries++
	if b.core == nil {
		q.ended = true
		if !b.scheduleRetry(q, 0) {
			b.countsOf(q).Failed++
		}
		return
	}
	b.queryCount++
	q.submittedAt = b.now
	q.id, q.ended = fmt.Sprintf("%08x%08x", uint32(b.id)*2654435761, uint32(b.queryCount)), false
	clear(q.attemptsByShard)
	b.openQueries[q.id] = q
	if b.w.terms.Module.ExtraAttemptsWindow > 0 {
		for range 1 + len(q.shards) {
			b.creditedRequests = append(b.creditedRequests, b.now)
		}
	}
	id := q.id
	q.pending = b.core.Submit(&server.Query{ID: id, Type: q.typ, Tenant: q.tenant, Client: q.client, Retry: q.tries > 1,
		Timeout: q.deadline - b.now, Text: q.text, Shards: q.shards, Weights: q.weights, Hint: q.hint}, func(v server.QueryResult) { b.handleResult(q, id, v) })
	if !q.ended {
		b.send(b.id, q.deadline, kQueryTimeout, q.tries, 0, q)
	}
	b.scheduleStep()
}

// handleResult takes the broker's result for one submission of a query.
func (b *broker) handleResult(q *clientQuery, id string, v server.QueryResult) {
	if q.ended || q.id != id {
		b.reportBreach(1, "broker %d gave a second result for query %s", b.n, id)
		return
	}
	q.ended = true
	delete(b.openQueries, id)
	queryType, c, took := &b.w.script.Types[q.typ], b.countsOf(q), b.now-q.askedAt
	kind := uint64(1)
	b.checkReads(q, &v)
	switch {
	case v.Answered:
		share := b.checkAnswer(q, id, &v)
		worth := millionths(queryType.Value)
		if !v.Complete {
			c.Partial++
			worth = int64(math.Round(float64(worth) * share * partialValueFactor))
		}
		if took <= queryType.Objective {
			c.InTarget++
		} else {
			c.Late++
			worth = int64(math.Round(float64(worth) * queryType.Late))
		}
		c.Got += worth
		b.runner.tally.latency[int(q.askedAt/time.Second)].record(took)
		b.runner.tally.latencyByRow[q.row].record(took)
	case v.Shed:
		kind = 2
		if b.w.terms.Module.QueryTypes[q.typ].Idempotency == decision.NonIdempotent {
			b.send(idAuditor, b.now, kQueryShed, 0, hashOf(id), id)
		}
		if !b.scheduleRetry(q, v.RetryAfter) {
			c.Shed++
		}
	default:
		kind = 3
		if b.w.terms.Module.QueryTypes[q.typ].Idempotency != decision.Idempotent || !b.scheduleRetry(q, 0) {
			c.Failed++
		}
	}
	if !q.retryScheduled {
		b.releaseSession(q)
	}
	b.mixHash(hashOf(id) ^ kind<<60 ^ uint64(len(v.Shards)))
	if b.now > q.deadline+timingTolerance {
		b.reportBreach(1, "query %s got its result %v after its deadline", id, b.now-q.deadline)
	}
	if b.w.trace != nil {
		b.w.trace.Encode(struct {
			At      float64 `json:"at"`
			Broker  int     `json:"broker"`
			ID      string  `json:"id"`
			Tenant  string  `json:"tenant"`
			Type    string  `json:"type"`
			Try     int32   `json:"try"`
			Verdict string  `json:"verdict"`
			Whole   bool    `json:"whole,omitempty"`
			Took    float64 `json:"took"`
		}{b.now.Seconds(), b.n, id, b.w.script.Tenants[q.tenant].Name, queryType.Name, q.tries,
			[]string{"", "answered", "shed", "failed"}[kind], v.Complete, took.Seconds()})
	}
}

// checkAnswer compares an answer with the values that nodes return for its shard requests, and returns the answered share.
func (b *broker) checkAnswer(q *clientQuery, id string, v *server.QueryResult) (share float64) {
	queryType := &b.w.script.Types[q.typ]
	seen := map[int]bool{}
	for i, shard := range v.Shards {
		at := -1
		content, _, _ := splitValue(v.Values[i])
		for j, s := range q.shards {
			if s == shard {
				at = j
			}
		}
		if at < 0 || seen[shard] || content != expectedValue(fmt.Sprintf("%s.%d", id, shard)) {
			b.reportBreach(5, "query %s was answered with the wrong value %.40q for shard %d", id, v.Values[i], shard)
			continue
		}
		seen[shard] = true
		share += q.weights[at]
	}
	if v.Complete && len(seen) < len(q.shards) || share < queryType.RequiredShare-1e-4 {
		b.reportBreach(5, "query %s was answered with the share %.3f, complete %v", id, share, v.Complete)
	}
	return share
}

// scheduleRetry schedules a retry of the client and reports whether there is one. hint is the broker's retry-after, 0 for none.
func (b *broker) scheduleRetry(q *clientQuery, hint time.Duration) bool {
	load := &b.w.script.Load
	wait := load.After
	switch {
	case q.retriesAtOnce:
		wait = immediateRetryDelay
	case hint > 0 && b.rnd.Float64() < load.ObeysRetryAfter:
		wait = hint
	}
	if int(q.tries) > load.Retries && !(q.retriesAtOnce && q.tries < maxImmediateTries) || b.now+wait >= q.deadline-5*time.Millisecond {
		return false
	}
	q.retryScheduled = true
	b.send(b.id, b.now+wait, kRetry, 0, 0, q)
	return true
}
