package store

// This file owns the one kind of connection used in service. It must never wait in a write.

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

// DialTCP opens a TCP connection.
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

// TryWrite writes what the kernel takes at once.
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
