package server

// This file owns the accepting of client connections. It must never take more than there are descriptors for.

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"time"
)

// accept takes connections until the listener is closed.
func (s *Server) accept(ctx context.Context) error {
	defer close(s.accepted)
	var queue queueEnd
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) && queue.empty() {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.acceptQueued()
			continue
		}
		queue.taken()
		if err != nil { // such as no descriptor left: an idle one goes, and the kernel keeps the others waiting
			slog.Warn("accept failed", "error", err)
			s.clients.mu.Lock()
			s.clients.spare()
			s.clients.mu.Unlock()
			if !s.waitForRoom(ctx) {
				return nil
			}
			continue
		}
		c := newClient(conn, s.loop.since)
		for !s.clients.admit(c) {
			if !s.waitForRoom(ctx) {
				conn.Close()
				return nil
			}
		}
		s.clients.accepted.Add(1)
		s.serving.Add(1)
		s.group.Go(func() error {
			defer s.serving.Done()
			s.serve(ctx, c)
			return nil
		})
	}
}

// waitForRoom waits until a connection ends or falls idle, or for a short time.
func (s *Server) waitForRoom(ctx context.Context) bool {
	select {
	case <-s.clients.room:
	case <-time.After(s.Settings().Dial):
	case <-ctx.Done():
		return false
	}
	return true
}
