package lab

// This file owns the count of a node's connections, as the audit of budgets needs it. It must never count one that its peer has
// closed already, however late the node itself gets to see that.

import (
	"net"

	"golang.org/x/sys/unix"
)

// established asks the kernel whether both ends of a connection are open. Danger: a connection that a broker closed before another
// one opened its own would be counted beside it, while the close waits to be read here.
func established(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return open
}

// addConn takes a connection in. The caller holds the lock.
func (n *Node) addConn(c net.Conn) {
	n.conns[c] = true
	if len(n.conns) <= n.peakConns {
		return
	}
	open := 0
	for c := range n.conns {
		if established(c) {
			open++
		}
	}
	n.peakConns = max(n.peakConns, open)
}

// Connections tells how many connections are open, and the most that were at once since Calm.
func (n *Node) Conns() (open, peakConns int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if established(c) {
			open++
		}
	}
	return open, n.peakConns
}

// ResetPeak begins the count of the most anew.
func (n *Node) ResetPeak() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peakConns = 0
}
