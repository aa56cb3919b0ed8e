package lab

// This file owns the wire between two sites: a relay with delay, jitter and bandwidth, whose directions can be cut, for a
// while or for good. It must never change what it carries.

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Wire relays connections to one address.
type Wire struct {
	Delay  time.Duration // one way
	Jitter time.Duration // up to so much more
	Rate   int           // bytes a second each way; 0: any

	to    string
	ln    net.Listener
	mu    sync.Mutex
	rnd   *rand.Rand
	cut   [2]bool // to the target, back from it
	wake  chan struct{}
	conns map[net.Conn]bool
}

// NewWire listens on loopback and relays to an address, which may begin to listen later.
func NewWire(to string, delay, jitter time.Duration, seed uint64) (*Wire, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{Delay: delay, Jitter: jitter, to: to, ln: ln, rnd: rand.New(rand.NewPCG(seed, 0x77697265)),
		wake: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go w.relay(near)
		}
	}()
	return w, nil
}

// Addr is where it listens.
func (w *Wire) Addr() string { return w.ln.Addr().String() }

// Cut holds back what goes to the target, what comes back, or both; false lets it go on. As on a real link bytes are not
// lost within a connection that survives.
func (w *Wire) Cut(there, back bool) {
	w.mu.Lock()
	w.cut = [2]bool{there, back}
	close(w.wake)
	w.wake = make(chan struct{})
	w.mu.Unlock()
}

// Lag delays what comes from now on by so much, each way.
func (w *Wire) Lag(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Delay = delay
}

// Reset ends all connections, as a process that dies does.
func (w *Wire) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(w.conns)
}

// Close ends the wire.
func (w *Wire) Close() {
	w.ln.Close()
	w.Cut(false, false)
	w.Reset()
}

// open waits while a direction is cut.
func (w *Wire) open(way int) {
	for {
		w.mu.Lock()
		cut, wake := w.cut[way], w.wake
		w.mu.Unlock()
		if !cut {
			return
		}
		<-wake
	}
}

func (w *Wire) relay(near net.Conn) {
	w.open(0)
	w.open(1) // a handshake needs both ways
	far, err := net.DialTimeout("tcp", w.to, time.Second)
	if err != nil {
		near.Close()
		return
	}
	w.mu.Lock()
	w.conns[near], w.conns[far] = true, true
	w.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { w.carry(near, far, 0) })
	both.Go(func() { w.carry(far, near, 1) })
	both.Wait()
	w.mu.Lock()
	delete(w.conns, near)
	delete(w.conns, far)
	w.mu.Unlock()
}

type parcel struct {
	due  time.Time
	data []byte
}

// carry moves bytes one way, in order, each as late as the wire is long.
func (w *Wire) carry(from, to net.Conn, way int) {
	line := make(chan parcel, 256)
	go func() {
		defer close(line)
		last := time.Now()
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				w.mu.Lock()
				late := w.Delay + time.Duration(w.rnd.Float64()*float64(w.Jitter))
				w.mu.Unlock()
				if due := time.Now().Add(late); due.After(last) {
					last = due
				}
				line <- parcel{last, b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range line {
		time.Sleep(time.Until(p.due))
		w.open(way)
		for data := p.data; len(data) > 0; {
			n := len(data)
			if w.Rate > 0 {
				n = min(n, max(1, w.Rate/100))
				time.Sleep(time.Duration(n) * time.Second / time.Duration(w.Rate))
			}
			if _, err := to.Write(data[:n]); err != nil {
				from.Close()
				io.Copy(io.Discard, from)
				for range line {
				}
				return
			}
			data = data[n:]
		}
	}
	to.Close()
}
