package ingress

import (
	"context"
	"log/slog"
	"time"

	"flaxfront/internal/server/query"
)

// answerQuery decodes a query, submits it, waits for its result and writes the answer.
func (in *Ingress) answerQuery(ctx context.Context, c *connection, r request) answered {
	if !c.reserve(len(r.Body)) { // for the decoded query
		return answered{end: in.refuseForMemory(c)}
	}
	q, err := decodeQuery(r.Message, in.broker.Settings())
	if err != nil {
		return answered{end: in.rejectRequest(c, err)}
	}
	if in.options.IgnoredReadHints != nil {
		in.decodeReadHint(r.Message, q)
	}
	c.hadQuery = true
	c.memory.ShrinkTo(q.Bytes()) // the message is not needed any longer
	pending, ok := in.broker.Submit(query.Submission{Request: q, Arrival: r.arrival, ConnectionOverLimit: c.state.OverLimit()})
	if !ok {
		return answered{end: Shutdown}
	}
	c.SetReadDeadline(time.Time{})
	result, reason := in.awaitResult(ctx, c, pending)
	if reason != stillOpen {
		return answered{end: reason}
	}
	defer result.Memory.Close()
	last := r.last || in.broker.Draining()
	reason = in.writeAnswer(c, encodeResult(c.out[:0], &result, last, readHintHeaders(q, &result)...), last)
	if reason == WriteFailed {
		in.Counters.Unwritten.Add(1)
	}
	slog.Debug("query answered", "component", "ingress", "query", q.ID, "outcome", result.Outcome, "elapsed", in.broker.Uptime()-r.arrival,
		"reason", string(reason))
	return answered{end: reason, byNodes: result.Outcome == query.Answered}
}

// awaitResult waits for a query's result, and returns it or why the connection ends. Meanwhile it watches for the end of the connection, even
// if the client has sent further bytes before it.
func (in *Ingress) awaitResult(ctx context.Context, c *connection, pending query.Pending) (query.Result, Reason) {
	done := make(chan struct{})
	watchEnded := make(chan error, 1)
	watch := func() { watchEnded <- c.ahead.Watch(done) }
	go watch()
	deadline := time.NewTimer(pending.Deadline() - in.broker.Uptime())
	defer deadline.Stop()
	for {
		select {
		case result := <-pending.Result():
			close(done)
			c.SetReadDeadline(pastDeadline)
			<-watchEnded
			return result, stillOpen
		case err := <-watchEnded:
			if err != nil {
				pending.Abandon(query.ClientDeparted)
				return query.Result{}, ClientDeparted
			}
			c.SetReadDeadline(time.Time{}) // a read deadline woke the watcher, but the connection is still open
			go watch()
		case <-deadline.C:
			pending.Abandon(query.DeadlinePassed) // a result follows
		case <-ctx.Done():
			close(done)
			return query.Result{}, Shutdown
		}
	}
}
