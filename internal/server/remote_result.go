package server

// This file sends other sites the results of their queries, and keeps those that may be requested again.

import (
	"flaxfront/internal/decision/forwarding"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/link"
)

// sendResult sends another site the result of its query, and keeps it if it may be requested again.
func (g *siteGateway) sendResult(k forwarding.Key, r *remoteQuery, result query.Result) {
	out := link.Reply{ID: k.ID, IsComplete: result.Complete, RetryAfterMicros: result.RetryAfter.Microseconds(), Kind: link.Failed}
	switch result.Outcome {
	case query.Answered:
		out.Kind = link.Answered
		for _, a := range result.Answers {
			out.ShardAnswers = append(out.ShardAnswers, link.ShardAnswer{Shard: a.Shard, Value: a.Value})
		}
	case query.Shed:
		out.Kind = link.Refused // nothing of it has run, or it is safe to run again
	}
	keep := g.incoming.QueryEnded(k)
	if keep {
		keep = g.cacheResult(k, r, out)
	} else {
		delete(g.remote, k)
	}
	switch {
	case r.conn == nil: // the link is down
	case keep:
		r.conn.ReplyCached(r.result)
	default:
		r.conn.Reply(out)
	}
}

// limitCachedResults limits the bytes of all results that are kept.
func (g *siteGateway) limitCachedResults(bytes int64) {
	if g != nil {
		g.incoming.LimitCachedBytes(int(bytes))
	}
}

// cachedResultBytes is the memory of a result that is kept, and of each of its answers, beside their values.
const cachedResultBytes = 256

// cacheResult keeps a result, and reports whether there is memory for it. Results that are not kept, now or any longer, are replaced by a failure, as
// their queries have run.
func (g *siteGateway) cacheResult(k forwarding.Key, r *remoteQuery, out link.Reply) (kept bool) {
	bytes := cachedResultBytes
	for i := range out.ShardAnswers {
		bytes += cachedResultBytes + len(out.ShardAnswers[i].Value)
	}
	r.query = nil
	r.result = link.NewCachedReply(out)
	kept = true
	for _, dropped := range g.incoming.CacheResult(k, bytes) {
		g.remote[dropped].result.Replace(link.Reply{ID: dropped.ID, Kind: link.Failed})
		kept = kept && dropped != k
	}
	return kept
}
