package rig

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is one attempt that a node was sent.
type Part struct {
	Node  string
	ID    string // of the request, a dot and the shard
	Shard int
	Wait  time.Duration // that the broker says it waits
	Text  string
	At    time.Time // when its last byte had come
}

// Request returns the id of the request that the part belongs to.
func (p *Part) Request() string {
	id, _, _ := strings.Cut(p.ID, ".")
	return id
}

// Reply is what a node does with a part.
type Reply struct {
	Never bool // it gives no answer
	After time.Duration
	End   string // served, broke or skipped; empty: served
	Value string
}

// Node is a store node that speaks the frames of the protocol page. It serves whatever it is asked, as its Answer says.
type Node struct {
	Name   string
	Cell   int
	Addr   string
	Answer func(p *Part) Reply

	run   *Run
	mu    sync.Mutex
	parts []Part
}

// StartNode starts a node.
func (r *Run) StartNode(name string, cell int, answer func(p *Part) Reply) *Node {
	n := &Node{Name: name, Cell: cell, Answer: answer, run: r}
	l, err := net.Listen("tcp", FreeAddr())
	Must(err)
	n.Addr = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// Parts returns the attempts that the node was sent.
func (n *Node) Parts() []Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Part(nil), n.parts...)
}

const maxFrame = 4 << 20

func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	var out sync.Mutex
	in := bufio.NewReader(conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size < 1 || size > maxFrame {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		if frame[0] == 'c' {
			n.run.Note("node %s: part %s is given up", n.Name, frame[1:])
			continue
		}
		parts, ok := n.parse(frame)
		if !ok {
			return
		}
		for i := range parts {
			n.take(conn, &out, &parts[i])
		}
	}
}

// parse decodes a call.
func (n *Node) parse(frame []byte) (parts []Part, ok bool) {
	for rest := frame[1:]; len(rest) > 0; {
		line, after, found := bytes.Cut(rest, []byte{'\n'})
		f := strings.Fields(string(line))
		if !found || len(f) != 4 || frame[0] != 'q' {
			return nil, false
		}
		shard, err1 := strconv.Atoi(f[1])
		wait, err2 := strconv.Atoi(strings.TrimPrefix(f[2], "d="))
		length, err3 := strconv.Atoi(f[3])
		if err1 != nil || err2 != nil || err3 != nil || length < 0 || length > len(after) {
			return nil, false
		}
		parts = append(parts, Part{Node: n.Name, ID: f[0], Shard: shard, Wait: time.Duration(wait) * time.Millisecond,
			Text: string(after[:length]), At: time.Now()})
		rest = after[length:]
	}
	return parts, true
}

// take runs one part.
func (n *Node) take(conn net.Conn, out *sync.Mutex, p *Part) {
	n.mu.Lock()
	n.parts = append(n.parts, *p)
	n.mu.Unlock()
	n.run.Note("node %s: sent part %s, d=%d, text %s", n.Name, p.ID, p.Wait.Milliseconds(), short(p.Text))
	reply := n.Answer(p)
	if reply.Never {
		return
	}
	if reply.End == "" {
		reply.End = "served"
	}
	answer := fmt.Sprintf("a%s %s 1 -\n%s", p.ID, reply.End, reply.Value)
	b := append(binary.LittleEndian.AppendUint32(nil, uint32(len(answer))), answer...)
	time.AfterFunc(reply.After, func() {
		out.Lock()
		defer out.Unlock()
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write(b); err == nil {
			n.run.Note("node %s: answered part %s: %s", n.Name, p.ID, reply.End)
		}
	})
}

const shortText = 60

// short returns the beginning of a text.
func short(text string) string {
	if len(text) > shortText {
		return fmt.Sprintf("%q... (%d bytes)", text[:shortText], len(text))
	}
	return strconv.Quote(text)
}
