// Package chaos puts faults between real processes of the program: a relay on loopback for each way from one broker to
// another, and processes that are killed, stopped, continued and supervised. It owns the faults and the times at which they
// were put in. It must never look into what it carries, take a broker's word for anything, or touch a process that it did not start.
//
// Depends on cluster/controlplane, lab, transport/keys. Concurrency: goroutines of its own, which the caller's
// context ends; what they share with callers is behind a lock or an atomic value.
package chaos

import (
	"fmt"
	"sync"
	"time"

	"flaxfront/internal/lab"
)

// Mesh is the relays between some brokers: one for each ordered pair, so that every link can fail alone and in one direction.
type Mesh struct {
	mu     sync.Mutex
	n      int
	relays map[[2]int]*lab.Relay
	cut    map[[2]int]bool // from a broker to another: nothing goes that way
}

// NewMesh makes the relays to the given listeners, which may begin to listen later.
func NewMesh(listeners []string, seed uint64) (*Mesh, error) {
	m := &Mesh{n: len(listeners), relays: map[[2]int]*lab.Relay{}, cut: map[[2]int]bool{}}
	for from := range listeners {
		for to, at := range listeners {
			if from == to {
				continue
			}
			w, err := lab.NewRelay(at, 0, 0, seed+uint64(from*len(listeners)+to))
			if err != nil {
				m.Close()
				return nil, fmt.Errorf("relay from broker %d to broker %d: %w", from, to, err)
			}
			m.relays[[2]int{from, to}] = w
		}
	}
	return m, nil
}

// Addr is where one broker dials another.
func (m *Mesh) Addr(from, to int) string { return m.relays[[2]int{from, to}].Addr() }

// Cut has nothing go from one broker to another, over whichever connection; what was on its way is held, as a link holds what is
// sent again and again.
func (m *Mesh) Cut(from, to int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]int{from, to}] = true
	m.apply(from, to)
}

// apply sets both relays between two brokers: what goes from a to b travels on connections that a opened and on those that b did.
func (m *Mesh) apply(a, b int) {
	for _, p := range [][2]int{{a, b}, {b, a}} {
		m.relays[p].Cut(m.cut[p], m.cut[[2]int{p[1], p[0]}])
	}
}

// Partition cuts brokers of different groups off from one another, both ways. A broker in no group hears nobody.
func (m *Mesh) Partition(groups ...[]int) {
	side := map[int]int{}
	for g, members := range groups {
		for _, b := range members {
			side[b] = g + 1
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.relays {
		m.cut[p] = side[p[0]] == 0 || side[p[0]] != side[p[1]]
	}
	for p := range m.relays {
		m.apply(p[0], p[1])
	}
}

// Isolate has a broker hear nobody and nobody hear it; deaf alone: it speaks and hears nothing.
func (m *Mesh) Isolate(b int, deafOnly bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.n {
		if other == b {
			continue
		}
		m.cut[[2]int{other, b}] = true
		m.cut[[2]int{b, other}] = m.cut[[2]int{b, other}] || !deafOnly
		m.apply(b, other)
	}
}

// Heal lets everything through again; reset ends the connections that stood meanwhile, as a router that forgot them does.
func (m *Mesh) Heal(reset bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cut)
	for p, w := range m.relays {
		m.apply(p[0], p[1])
		if reset {
			w.Reset()
		}
	}
}

// Reset ends all connections between two brokers, as a crash of a middlebox does.
func (m *Mesh) Reset(a, b int) {
	m.relays[[2]int{a, b}].Reset()
	m.relays[[2]int{b, a}].Reset()
}

// SetDelay delays all that travels between a broker and the others, each way. It holds for what is sent from then on.
func (m *Mesh) SetDelay(b int, delay time.Duration) {
	for p, w := range m.relays {
		if p[0] == b || p[1] == b {
			w.SetDelay(delay)
		}
	}
}

// Close ends the relays.
func (m *Mesh) Close() {
	for _, w := range m.relays {
		w.Close()
	}
}
