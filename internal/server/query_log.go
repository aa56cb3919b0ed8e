package server

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/decision"
	"flaxfront/internal/server/query"
	"flaxfront/internal/transport/store"
)

// refusal is why a query is shed or rejected without a decision of the router, as it stands in the log.
type refusal string

// The reasons. Operators search for them; docs/oncall.md explains each.
const (
	duplicateID         refusal = "duplicate_id" // a query with this id is in flight
	usedID              refusal = "used_id"      // a query with this id may have run
	connectionOverLimit refusal = "connection_over_limit"
	noSlot              refusal = "no_slot"
	otherSettings       refusal = "other_settings" // it was read under settings that are no longer in force
)

// queryLog writes a log line for each step of each query, with the query's id. It is off unless the log's level is debug.
type queryLog struct{ enabled bool }

// newQueryLog returns a log that is enabled if the default logger writes debug lines.
func newQueryLog() queryLog {
	return queryLog{slog.Default().Enabled(context.Background(), slog.LevelDebug)}
}

func (l queryLog) received(q *activeQuery) {
	if l.enabled {
		slog.Debug("query received", "component", "loop", "query", q.Request.ID, "type", q.Type, "tenant", q.Tenant, "shards", len(q.Request.Shards),
			"text_bytes", len(q.Text), "timeout", q.Timeout, "retry", q.Retry)
	}
}

func (l queryLog) refused(q *activeQuery, why refusal) {
	if l.enabled {
		slog.Debug("query refused", "component", "loop", "query", q.Request.ID, "reason", string(why))
	}
}

func (l queryLog) attemptSent(a *store.Subrequest) {
	if l.enabled {
		slog.Debug("attempt sent", "component", "loop", "shard_request", a.ID, "attempt", a.Attempt, "node", a.Node, "exclusive", a.Exclusive)
	}
}

func (l queryLog) attemptEnded(a *store.Subrequest, outcome decision.Outcome, took time.Duration) {
	if l.enabled {
		slog.Debug("attempt ended", "component", "loop", "shard_request", a.ID, "attempt", a.Attempt, "node", a.Node, "outcome", outcome,
			"elapsed", took, "written", a.Written())
	}
}

func (l queryLog) ended(q *activeQuery, r *query.Result, now time.Duration) {
	if l.enabled {
		slog.Debug("query ended", "component", "loop", "query", q.Request.ID, "outcome", r.Outcome, "complete", r.Complete, "answers", len(r.Answers),
			"retry_after", r.RetryAfter, "elapsed", now-q.arrival)
	}
}

func (l queryLog) abandoned(q *activeQuery, cause query.AbandonCause) {
	if l.enabled {
		slog.Debug("query abandoned", "component", "loop", "query", q.Request.ID, "cause", cause)
	}
}
