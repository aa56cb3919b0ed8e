package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is one part of a call, as it reached a node.
type Part struct {
	ID    string
	Shard int
	Text  string
	At    time.Duration // when its frame was there whole
	Count int           // which time this part reached this node, from 1
}

// Query returns the id of the part's search.
func (p *Part) Query() string {
	id, _, _ := strings.Cut(p.ID, ".")
	return id
}

// Reply is what a node does with a part.
type Reply struct {
	End    string        // served, broke or skipped; empty: it never answers
	Value  string        // of a part that is served
	After  time.Duration // how long the part runs; a part that is skipped doesn't
	Copies int           // further copies of the answer, immediately behind it
}

// Node is a store node that speaks frames.
type Node struct {
	Instance
	record *Record
	handle func(n *Node, p *Part) Reply
	mu     sync.Mutex
	counts map[string]int
}

// NewNode starts a node. handle says what becomes of each part.
func (r *Run) NewNode(in Instance, handle func(n *Node, p *Part) Reply) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in.Address = listener.Addr().String()
	n := &Node{Instance: in, record: r.Record, handle: handle, counts: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		frame := make([]byte, binary.LittleEndian.Uint32(head[:]))
		if _, err := io.ReadFull(in, frame); err != nil || len(frame) == 0 {
			return
		}
		switch frame[0] {
		case 'c':
			n.record.Write("node %s: cancel of %s", n.ID, frame[1:])
		case 'q':
			parts, err := readCall(frame[1:])
			if err != nil {
				n.record.Write("node %s: %v", n.ID, err)
				return
			}
			for i := range parts {
				n.take(conn, &writing, &parts[i])
			}
		}
	}
}

// readCall reads the parts of a call.
func readCall(b []byte) (parts []Part, err error) {
	for len(b) > 0 {
		line, rest, ok := strings.Cut(string(b), "\n")
		fields := strings.Fields(line)
		if !ok || len(fields) != 4 {
			return nil, fmt.Errorf("a call that can't be read: %.60q", line)
		}
		shard, err1 := strconv.Atoi(fields[1])
		size, err2 := strconv.Atoi(fields[3])
		if err1 != nil || err2 != nil || size > len(rest) {
			return nil, fmt.Errorf("a call that can't be read: %.60q", line)
		}
		parts = append(parts, Part{ID: fields[0], Shard: shard, Text: rest[:size]})
		b = []byte(rest[size:])
	}
	return parts, nil
}

func (n *Node) take(conn net.Conn, writing *sync.Mutex, p *Part) {
	p.At = n.record.Since()
	n.mu.Lock()
	n.counts[p.ID]++
	p.Count = n.counts[p.ID]
	n.mu.Unlock()
	reply := n.handle(n, p)
	n.record.Write("node %s: part %s comes for the %d. time; it will be: %s", n.ID, p.ID, p.Count, reply.End)
	if reply.End == "" {
		return
	}
	go func() {
		time.Sleep(reply.After)
		if reply.End == "served" {
			n.record.Write("node %s: part %s has run", n.ID, p.ID)
		}
		body := fmt.Sprintf("a%s %s 1840277719 -\n%s", p.ID, reply.End, reply.Value)
		frame := append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...)
		all := frame
		for range reply.Copies {
			all = append(all, frame...)
		}
		writing.Lock()
		defer writing.Unlock()
		conn.Write(all)
		n.record.Write("node %s: answers %s: %s, in %d copies", n.ID, p.ID, reply.End, 1+reply.Copies)
	}()
}
