package sru

// This file notices clients that leave. net/http looks at one byte beyond a request: behind a further request it does not see the end of the
// connection.

import (
	"context"
	"time"

	"flaxfront/internal/transport/lookahead"
)

// departed reports whether the client has closed its connection, even behind requests that are not read yet.
func (c *clientConn) departed() bool { return c != nil && c.ahead.HungUp() }

// untilDeparture returns a context that ends when parent ends or the client closes its connection. cancel must be called.
func (c *clientConn) untilDeparture(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(parent)
	if c == nil {
		return ctx, cancel
	}
	go func() {
		poll := time.NewTicker(lookahead.HangUpPollInterval)
		defer poll.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-poll.C:
				if c.departed() {
					cancel()
					return
				}
			}
		}
	}()
	return ctx, cancel
}
