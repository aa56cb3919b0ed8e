package store

// This file implements Conn over TCP. It must never block in a write.

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

type tcpConn struct {
	*net.TCPConn
	raw syscall.RawConn
}

// DialTCP opens a TCP connection, or fails if that takes longer than within.
func DialTCP(ctx context.Context, addr string, within time.Duration) (Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	return &tcpConn{tcp, raw}, err
}

// TryWrite writes as much as the kernel accepts without blocking, which may be nothing.
func (c *tcpConn) TryWrite(b []byte) (n int, err error) {
	closed := c.raw.Write(func(fd uintptr) bool {
		for {
			if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
				return true
			}
		}
	})
	if err == syscall.EAGAIN {
		n, err = 0, nil
	}
	return max(0, n), errors.Join(closed, err)
}
