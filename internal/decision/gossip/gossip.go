// Package gossip decides which endpoint updates from other brokers of the tier count. A broker that discovery tells of a change passes
// it on; the others take it before discovery tells them, unless it is out of date.
//
// An update names version and discovery of the list that it comes from, the node, its state and its start. It never carries an
// address: each broker knows addresses from its own list. An UpdateFilter is used by one goroutine.
package gossip

import (
	"encoding/binary"
	"slices"

	"flaxfront/internal/decision"
)

// EndpointUpdate is what discovery told a broker of one node.
type EndpointUpdate struct {
	ListVersion uint64
	DiscoveryID uint32 // names the discovery service
	Node        decision.NodeID
	State       decision.EndpointState
	StartedAtMS int64 // Unix time in milliseconds; 0: long ago
}

// encodedBytes is the length of an update: version (8), discovery (4), address (4), port (2), state (1), start (8), big endian.
const encodedBytes = 27

const (
	discoveryOffset = 8
	addressOffset   = 12
	portOffset      = 16
	stateOffset     = 18
	startOffset     = 19
)

// AppendTo encodes an update.
func (u *EndpointUpdate) AppendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, u.ListVersion)
	b = binary.BigEndian.AppendUint32(b, u.DiscoveryID)
	b = append(b, u.Node.Addr[:]...)
	b = binary.BigEndian.AppendUint16(b, u.Node.Port)
	b = append(b, byte(u.State))
	return binary.BigEndian.AppendUint64(b, uint64(u.StartedAtMS))
}

// Decode decodes an update. ok is false if the bytes are none.
func Decode(b []byte) (u EndpointUpdate, ok bool) {
	if len(b) != encodedBytes || b[stateOffset] > byte(decision.Ready) {
		return u, false
	}
	u = EndpointUpdate{
		ListVersion: binary.BigEndian.Uint64(b),
		DiscoveryID: binary.BigEndian.Uint32(b[discoveryOffset:]),
		Node: decision.NodeID{
			Addr: [4]byte(b[addressOffset:]),
			Port: binary.BigEndian.Uint16(b[portOffset:]),
		},
		State:       decision.EndpointState(b[stateOffset]),
		StartedAtMS: int64(binary.BigEndian.Uint64(b[startOffset:])),
	}
	return u, u.StartedAtMS >= 0
}

// maxRemoved bounds the removed and draining nodes that newcomers are told of.
const maxRemoved = 64

// Counts are what operators see. The JSON names are those under /counters.
type Counts struct {
	Sent     uint64 `json:"ListTold"`
	Accepted uint64 `json:"ListTaken"`
	Ignored  uint64 `json:"ListStale"`
}

// UpdateFilter remembers of each node the newest list version that an update was from.
type UpdateFilter struct {
	DiscoveryID uint32 // of this broker's discovery service
	Counts      Counts
	versions    map[decision.NodeID]uint64
	removed     []EndpointUpdate // draining or removed, oldest first
}

// NewUpdateFilter returns a filter that has seen no update.
func NewUpdateFilter(discoveryID uint32) *UpdateFilter {
	return &UpdateFilter{DiscoveryID: discoveryID, versions: map[decision.NodeID]uint64{}}
}

// RecordLocal records what discovery told this broker of a node. It returns whether the other brokers are to be sent the update: not
// those of full lists, as every broker gets them.
func (f *UpdateFilter) RecordLocal(u EndpointUpdate, fullList bool) (send bool) {
	send = !fullList && u.ListVersion > f.versions[u.Node]
	if send {
		f.Counts.Sent++
		f.rememberRemoved(u)
	}
	f.versions[u.Node] = u.ListVersion
	return send
}

// Accept returns whether another broker's update counts here, where the node has the given state and start. One that is late, of
// another discovery, or of an earlier process would bring a draining node back; only a new start makes one ready again.
func (f *UpdateFilter) Accept(u EndpointUpdate, known bool, state decision.EndpointState, startedAtMS int64) bool {
	bringsBack := state == decision.Draining && u.State == decision.Ready && u.StartedAtMS <= startedAtMS
	outdated := u.ListVersion <= f.versions[u.Node]
	if !known || u.DiscoveryID != f.DiscoveryID || outdated || bringsBack {
		f.Counts.Ignored++
		return false
	}
	f.versions[u.Node] = u.ListVersion
	f.Counts.Accepted++
	f.rememberRemoved(u)
	return true
}

func (f *UpdateFilter) rememberRemoved(u EndpointUpdate) {
	f.removed = slices.DeleteFunc(f.removed, func(o EndpointUpdate) bool { return o.Node == u.Node })
	if u.State == decision.Ready {
		return
	}
	if len(f.removed) == maxRemoved {
		f.removed = slices.Delete(f.removed, 0, 1)
	}
	f.removed = append(f.removed, u)
}

// RecentlyRemoved returns the nodes that lately began to drain or were removed. A broker that starts while discovery is down uses the
// list that it cached, and would go on using such nodes; so newcomers are sent these.
func (f *UpdateFilter) RecentlyRemoved() []EndpointUpdate { return f.removed }

// Forget drops what is remembered of nodes that are no longer known, from list versions before one.
func (f *UpdateFilter) Forget(version uint64, known func(decision.NodeID) bool) {
	for id, v := range f.versions {
		if v < version && !known(id) {
			delete(f.versions, id)
		}
	}
}
