// Package gossip decides what a broker makes of another's word on what discovery told it of a node: whether it counts, whether it is
// passed on, and what newcomers are told again. It never carries an address: those are each broker's own. Nothing here does I/O,
// reads a clock or starts a goroutine.
//
// Depends on decision. Concurrency: nothing here locks or starts a goroutine; a value is used by one
// goroutine at a time.
package gossip

import (
	"encoding/binary"
	"slices"

	"flaxfront/internal/decision"
)

// EndpointUpdate is what discovery told of one node.
type EndpointUpdate struct {
	ListVersion uint64 // of the list that told it
	DiscoveryID uint32 // names the discovery
	Node        decision.NodeID
	State       decision.EndpointState
	StartedAtMS int64 // in Unix time in milliseconds; 0: long ago
}

const size = 27

// AppendTo encodes a word.
func (w *EndpointUpdate) AppendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, w.ListVersion)
	b = binary.BigEndian.AppendUint32(b, w.DiscoveryID)
	b = append(b, w.Node.Addr[:]...)
	b = binary.BigEndian.AppendUint16(b, w.Node.Port)
	b = append(b, byte(w.State))
	return binary.BigEndian.AppendUint64(b, uint64(w.StartedAtMS))
}

// Decode decodes one.
func Decode(b []byte) (w EndpointUpdate, ok bool) {
	if len(b) != size || b[18] > byte(decision.Ready) {
		return w, false
	}
	w = EndpointUpdate{ListVersion: binary.BigEndian.Uint64(b), DiscoveryID: binary.BigEndian.Uint32(b[8:]), State: decision.EndpointState(b[18]),
		StartedAtMS: int64(binary.BigEndian.Uint64(b[19:])), Node: decision.NodeID{Addr: [4]byte(b[12:]), Port: binary.BigEndian.Uint16(b[16:])}}
	return w, w.StartedAtMS >= 0
}

// mostLeft bounds the nodes that left which newcomers are told again.
const mostLeft = 64

// Counts are what operators see.
type Counts struct{ Sent, Accepted, Ignored uint64 }

// UpdateFilter is what a broker was told, and by which version.
type UpdateFilter struct {
	DiscoveryID uint32 // this broker's discovery
	Counts      Counts
	told        map[decision.NodeID]uint64
	left        []EndpointUpdate
}

// NewUpdateFilter makes one of a broker that was told nothing.
func NewUpdateFilter(service uint32) *UpdateFilter {
	return &UpdateFilter{DiscoveryID: service, told: map[decision.NodeID]uint64{}}
}

// RecordLocal notes what discovery told this broker of a node, and tells whether the others are to hear of it: not of whole lists, as
// everybody gets those.
func (b *UpdateFilter) RecordLocal(w EndpointUpdate, whole bool) (tell bool) {
	if tell = !whole && w.ListVersion > b.told[w.Node]; tell {
		b.Counts.Sent++
		b.keep(w)
	}
	b.told[w.Node] = w.ListVersion
	return tell
}

// Accept tells whether another broker's word counts here, where the node is in such a state. Danger: a word that is late, of another
// discovery or of a process that has gone would bring a node back that drains. Nothing but a new start makes one ready again.
func (b *UpdateFilter) Accept(w EndpointUpdate, known bool, state decision.EndpointState, started int64) bool {
	if !known || w.DiscoveryID != b.DiscoveryID || w.ListVersion <= b.told[w.Node] ||
		state == decision.Draining && w.State == decision.Ready && w.StartedAtMS <= started {
		b.Counts.Ignored++
		return false
	}
	b.told[w.Node] = w.ListVersion
	b.Counts.Accepted++
	b.keep(w)
	return true
}

// keep remembers which nodes left.
func (b *UpdateFilter) keep(w EndpointUpdate) {
	b.left = slices.DeleteFunc(b.left, func(o EndpointUpdate) bool { return o.Node == w.Node })
	if w.State != decision.Ready {
		if len(b.left) == mostLeft {
			b.left = slices.Delete(b.left, 0, 1)
		}
		b.left = append(b.left, w)
	}
}

// RecentlyRemoved are the nodes that left lately. Danger: a broker starts on the list that it kept while discovery is down, and goes on using
// what drained since; it is told these again. It may hurt by some datagrams with each newcomer.
func (b *UpdateFilter) RecentlyRemoved() []EndpointUpdate { return b.left }

// Forget drops what was told of nodes that are not known any more, by versions before one.
func (b *UpdateFilter) Forget(version uint64, known func(decision.NodeID) bool) {
	for id, v := range b.told {
		if v < version && !known(id) {
			delete(b.told, id)
		}
	}
}
