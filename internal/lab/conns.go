package lab

// This file counts a node's open connections for the audit of connection budgets. A connection that the peer has already closed
// must not be counted, however late the node itself sees the close.

import (
	"net"

	"golang.org/x/sys/unix"
)

// established asks the kernel whether both ends of a connection are open. Without this check, a connection that a broker has
// closed would still be counted beside the next one that it opens, until the node reads the close.
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

// addConn adds an accepted connection and updates the peak. The caller holds the lock.
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

// Conns returns how many connections are open, and the most that were open at once since the last ResetPeak.
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

// ResetPeak restarts the count of the most connections open at once.
func (n *Node) ResetPeak() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peakConns = 0
}
