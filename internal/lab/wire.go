package lab

// This file simulates the link between two sites: a relay with delay, jitter and bandwidth whose directions can be cut, for a
// while or for good. It must never change the bytes that it relays.

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay relays connections to one address.
type Relay struct {
	Delay  time.Duration // one way
	Jitter time.Duration // added to Delay, uniform between 0 and this
	Rate   int           // bytes per second each way; 0: unlimited

	target string
	ln     net.Listener
	mu     sync.Mutex
	rnd    *rand.Rand
	cut    [2]bool // to the target, back from it
	wake   chan struct{}
	conns  map[net.Conn]bool
}

// NewRelay returns a relay that listens on loopback and relays to an address, which may begin to listen later.
func NewRelay(target string, delay, jitter time.Duration, seed uint64) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Relay{Delay: delay, Jitter: jitter, target: target, ln: ln, rnd: rand.New(rand.NewPCG(seed, 0x77697265)),
		wake: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(near)
		}
	}()
	return w, nil
}

// Addr returns the relay's listen address.
func (w *Relay) Addr() string { return w.ln.Addr().String() }

// Cut sets whether bytes to the target, and bytes back from it, are held back. As on a real link, bytes within a connection that
// survives are not lost.
func (w *Relay) Cut(there, back bool) {
	w.mu.Lock()
	w.cut = [2]bool{there, back}
	close(w.wake)
	w.wake = make(chan struct{})
	w.mu.Unlock()
}

// SetDelay sets the one-way delay of what arrives from now on.
func (w *Relay) SetDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Delay = delay
}

// Reset resets all connections, as a process that dies does.
func (w *Relay) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(w.conns)
}

// Close closes the listener and all connections.
func (w *Relay) Close() {
	w.ln.Close()
	w.Cut(false, false)
	w.Reset()
}

// awaitOpen blocks while a direction is cut.
func (w *Relay) awaitOpen(way int) {
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

func (w *Relay) serve(near net.Conn) {
	w.awaitOpen(0)
	w.awaitOpen(1) // a handshake needs both directions
	far, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil {
		near.Close()
		return
	}
	w.mu.Lock()
	w.conns[near], w.conns[far] = true, true
	w.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { w.forward(near, far, 0) })
	both.Go(func() { w.forward(far, near, 1) })
	both.Wait()
	w.mu.Lock()
	delete(w.conns, near)
	delete(w.conns, far)
	w.mu.Unlock()
}

type chunk struct {
	due  time.Time
	data []byte
}

// forward copies bytes one way, in order, each after the delay of the relay.
func (w *Relay) forward(from, to net.Conn, way int) {
	line := make(chan chunk, 256)
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
				line <- chunk{last, b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range line {
		time.Sleep(time.Until(p.due))
		w.awaitOpen(way)
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
