package rig

import (
	"net"
	"sync"
	"time"
)

// Relay is the way to an address: it delays what is sent, and its connections can be reset.
type Relay struct {
	Addr string

	to    string
	delay time.Duration // one way
	mu    sync.Mutex
	conns []net.Conn
}

// StartRelay starts a relay to an address, with a delay each way.
func (r *Run) StartRelay(to string, delay time.Duration) *Relay {
	w := &Relay{to: to, delay: delay}
	l, err := net.Listen("tcp", FreeAddr())
	Must(err)
	w.Addr = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(conn)
		}
	}()
	return w
}

// Reset resets all connections.
func (w *Relay) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	w.conns = nil
}

func (w *Relay) carry(near net.Conn) {
	far, err := net.Dial("tcp", w.to)
	if err != nil {
		near.Close()
		return
	}
	w.mu.Lock()
	w.conns = append(w.conns, near, far)
	w.mu.Unlock()
	go w.copy(far, near)
	w.copy(near, far)
}

type chunk struct {
	due  time.Time
	data []byte
}

const (
	chunkBytes = 64 << 10
	mostChunks = 4096 // on the way at once
)

// copy passes on what one side sends, each byte after the delay.
func (w *Relay) copy(to, from net.Conn) {
	chunks := make(chan chunk, mostChunks)
	go func() {
		defer to.Close()
		for c := range chunks {
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.data); err != nil {
				from.Close()
			}
		}
	}()
	defer close(chunks)
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			chunks <- chunk{time.Now().Add(w.delay), b[:n]}
		}
		if err != nil {
			return
		}
	}
}
