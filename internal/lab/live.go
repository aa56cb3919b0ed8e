package lab

// This file runs store nodes on loopback sockets that speak the brokers' frame protocol.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Value returns a node's value for a shard request. It depends on id and shard only, so that clients can verify it.
func Value(request string, shard int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", request, shard)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Node is a store node on a socket, around a NodeModel.
type Node struct {
	Cells         int // the node holds the shards that are equal to its cell modulo Cells
	ShardRequests atomic.Int64
	Misdirected   atomic.Int64                                        // shard requests for shards that it does not hold, or received while not serving
	LastRequestAt atomic.Int64                                        // arrival of the last shard request, in Unix nanoseconds
	MakeValue     func(request string, shard int, text string) string // value for a shard request; nil: Value
	mu            sync.Mutex
	model         *NodeModel
	epoch         time.Time
	ln            net.Listener
	conns         map[net.Conn]bool
	peakConns     int      // most connections open at once
	replica       *Replica // nil if the node is no replica
	runs          map[string]int
	closed        bool
}

// StartNode starts a node that listens at an address ("127.0.0.1:0" for any port).
func StartNode(addr string, model *NodeModel, cells int, epoch time.Time) (*Node, error) {
	n := &Node{Cells: cells, model: model, epoch: epoch, conns: map[net.Conn]bool{}, runs: map[string]int{}}
	return n, n.listen(addr)
}

func (n *Node) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ln, n.closed = ln, false
	n.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			ok := !n.closed
			if ok {
				n.addConn(conn)
			}
			n.mu.Unlock()
			if ok {
				go n.serve(conn)
			} else {
				conn.Close()
			}
		}
	}()
	return nil
}

// Addr returns the current or last listen address.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// SetMode changes the node's mode; Dead closes its sockets, and any other mode opens them again.
func (n *Node) SetMode(m Mode) error {
	n.mu.Lock()
	was := n.model.Mode
	n.model.Mode = m
	if m == Dead {
		n.closed = true
		n.ln.Close()
		for c := range n.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		clear(n.conns)
	}
	n.mu.Unlock()
	if was == Dead && m != Dead {
		return n.listen(n.Addr())
	}
	return nil
}

// MarkRestarted makes the node behave like a process that has just started: cold.
func (n *Node) MarkRestarted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.model.LastStart = time.Since(n.epoch)
}

// HasCrashed reports whether overload crashed the node while it was cold.
func (n *Node) HasCrashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.model.Crashed
}

// RunCount returns how often a shard request ran on this node.
func (n *Node) RunCount(request string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[request]
}

func (n *Node) serve(conn net.Conn) {
	var out sync.Mutex
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size < 1 || size > 1<<20 {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		for rest := frame[1:]; frame[0] == 'q' && len(rest) > 0; {
			line, after, _ := bytes.Cut(rest, []byte{'\n'})
			f := strings.Fields(string(line))
			if len(f) != 4 {
				return
			}
			shard, _ := strconv.Atoi(f[1])
			length, err := strconv.Atoi(f[3])
			if err != nil || length < 0 || length > len(after) {
				return
			}
			rest = after[length:]
			n.handleShardRequest(conn, &out, f[0], shard, string(after[:length]))
		}
	}
}

// handleShardRequest runs a shard request on the model and sends the answer when it is due.
func (n *Node) handleShardRequest(conn net.Conn, out *sync.Mutex, id string, shard int, text string) {
	n.mu.Lock()
	now := time.Since(n.epoch)
	mine := shard%n.Cells == n.model.Cell
	n.ShardRequests.Add(1)
	n.LastRequestAt.Store(time.Now().UnixNano())
	if !mine || n.model.Mode != Serving {
		n.Misdirected.Add(1)
	}
	done, taken := n.model.Offer(now)
	hangs, replica := n.model.Mode == Hanging || n.model.Crashed, n.replica
	if taken = taken && mine; taken {
		n.runs[id]++
	}
	n.mu.Unlock()
	if hangs {
		return
	}
	answer := "a" + id + " skipped - -\n"
	if taken {
		report, value := "-", ""
		switch {
		case replica != nil:
			report, value = replica.read()
		case n.MakeValue != nil:
			value = n.MakeValue(id, shard, text)
		default:
			value = Value(id, shard)
		}
		answer = "a" + id + " served 1 " + report + "\n" + value
	}
	b := append(binary.LittleEndian.AppendUint32(nil, uint32(len(answer))), answer...)
	time.AfterFunc(max(0, done-now), func() {
		out.Lock()
		defer out.Unlock()
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		conn.Write(b)
	})
}
