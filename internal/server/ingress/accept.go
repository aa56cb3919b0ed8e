package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"
)

// accept accepts connections until the listener is closed or, after StopAccepting, the kernel's queue of connections is empty.
func (in *Ingress) accept(ctx context.Context) {
	defer close(in.acceptEnded)
	tail := acceptTail{maxDuration: in.options.AcceptTail}
	for {
		conn, err := in.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if tail.deadlinePassed() {
				return
			}
			in.setQuietDeadline()
			continue
		}
		tail.accepted()
		if err != nil {
			// No file descriptor is left, for example: one is freed, and the other clients wait in the kernel's queue.
			slog.Warn("accept failed", "component", "ingress", "error", err)
			in.ReclaimIdle()
			if !in.waitForCapacity(ctx) {
				return
			}
			continue
		}
		if !in.start(ctx, in.newConnection(conn)) {
			conn.Close()
			return
		}
		if !in.broker.Draining() {
			time.Sleep(in.connections.AcceptPause())
		}
	}
}

// start serves a connection in a new goroutine once there is capacity for it. It reports false if ctx ended before that.
func (in *Ingress) start(ctx context.Context, c *connection) bool {
	for !in.connections.Admit(c.state) {
		if !in.waitForCapacity(ctx) {
			return false
		}
	}
	in.Counters.Accepted.Add(1)
	in.serving.Go(func() { in.serve(ctx, c) })
	return true
}

// waitForCapacity waits until a connection ends or becomes idle, for the dial timeout at most. It reports false if ctx has ended.
func (in *Ingress) waitForCapacity(ctx context.Context) bool {
	select {
	case <-in.connections.Capacity():
	case <-time.After(in.broker.Settings().Dial):
	case <-ctx.Done():
		return false
	}
	return true
}
