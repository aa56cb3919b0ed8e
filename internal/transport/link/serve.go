package link

// This file accepts the links that other brokers open.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"flaxfront/internal/transport/keys"
)

// Serve accepts links from other brokers until the listener is closed. Their number is limited, and so is the time of a handshake.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	config := l.opts.Keys.Server(func(id keys.ID) error {
		for _, site := range l.opts.Sites {
			if id.Site == site {
				return nil
			}
		}
		return fmt.Errorf("site of %s may not open links to this broker", id)
	})
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			return nil
		}
		if err != nil {
			slog.Warn("accept failed on the link listener", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.mu.Lock()
		full := l.accepted >= l.opts.MaxAccepted
		if !full {
			l.accepted++
		}
		l.mu.Unlock()
		if full { // else many connections here would use up the file descriptors that clients need
			l.reject(nc, errors.New("too many links"))
			continue
		}
		handlers.Go(func() {
			defer func() {
				l.mu.Lock()
				l.accepted--
				l.mu.Unlock()
			}()
			c, err := l.establish(ctx, tls.Server(nc, config), -1)
			if err != nil {
				l.reject(nc, err)
				return
			}
			l.runConn(ctx, c)
		})
	}
}

// reject closes a connection whose handshake failed, and logs at most five of these per second.
func (l *Links) reject(nc net.Conn, err error) {
	nc.Close()
	l.RejectedHandshakes.Add(1)
	l.mu.Lock()
	if s := time.Now().Unix(); s != l.logSecond {
		l.logSecond, l.logLines = s, 0
	}
	l.logLines++
	logged := l.logLines <= 5
	l.mu.Unlock()
	if logged {
		slog.Warn("link rejected", "from", nc.RemoteAddr(), "reason", "handshake", "error", err, "refused", l.RejectedHandshakes.Load())
	}
}
