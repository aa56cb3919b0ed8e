// Package chaos injects faults between real broker processes: it runs a loopback relay for each direction between two brokers,
// and kills, pauses, resumes and supervises the processes. It records when each fault was injected. It must never look into the
// relayed bytes, rely on what a broker says of itself, or touch a process that it did not start.
//
// Depends on cluster/controlplane, lab, transport/keys. Concurrency: it starts goroutines that end with the caller's context;
// what they share with callers is behind a lock or an atomic value.
package chaos

import (
	"fmt"
	"sync"
	"time"

	"flaxfront/internal/lab"
)

// Mesh holds the relays between brokers: one for each ordered pair, so that each link can fail alone and in one direction.
type Mesh struct {
	mu     sync.Mutex
	n      int
	relays map[[2]int]*lab.Relay
	cut    map[[2]int]bool // by sender and receiver: nothing passes from one to the other
}

// NewMesh starts the relays to the given listeners, which may begin to listen later.
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

// Addr returns the address at which one broker dials another.
func (m *Mesh) Addr(from, to int) string { return m.relays[[2]int{from, to}].Addr() }

// Cut stops all bytes from one broker to another, on connections opened by either. Bytes under way are held back, not lost, as on
// a link whose sender retransmits.
func (m *Mesh) Cut(from, to int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]int{from, to}] = true
	m.apply(from, to)
}

// apply updates both relays between two brokers: bytes from a to b travel on connections that a opened and on those that b
// opened.
func (m *Mesh) apply(a, b int) {
	for _, p := range [][2]int{{a, b}, {b, a}} {
		m.relays[p].Cut(m.cut[p], m.cut[[2]int{p[1], p[0]}])
	}
}

// Partition cuts brokers of different groups off from one another, in both directions. A broker in no group is cut off from all.
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

// Isolate cuts a broker off from all others, in both directions or, with deafOnly, only from what they send to it.
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

// Heal removes all cuts. With reset it also resets the connections, as a router that has lost its state does.
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

// Reset resets all connections between two brokers, as a crash of a middlebox does.
func (m *Mesh) Reset(a, b int) {
	m.relays[[2]int{a, b}].Reset()
	m.relays[[2]int{b, a}].Reset()
}

// SetDelay sets the one-way delay between a broker and all others. It applies to bytes sent from then on.
func (m *Mesh) SetDelay(b int, delay time.Duration) {
	for p, w := range m.relays {
		if p[0] == b || p[1] == b {
			w.SetDelay(delay)
		}
	}
}

// Close closes all relays.
func (m *Mesh) Close() {
	for _, w := range m.relays {
		w.Close()
	}
}
