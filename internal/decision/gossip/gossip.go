// Package gossip decides which endpoint updates from other brokers of the tier are accepted. A broker that learns of a change from its
// discovery service sends it to the others, which accept it before their own discovery reports it, unless it is out of date.
//
// An update carries the version of the endpoint list that it comes from, the ID of the discovery service, and a node's ID, state and start
// time. It never introduces an address: a broker accepts updates only for nodes of its own list. An UpdateFilter is used by one goroutine.
package gossip

import (
	"encoding/binary"
	"slices"

	"flaxfront/internal/decision"
)

// EndpointUpdate is a change of one node that discovery reported to a broker.
type EndpointUpdate struct {
	ListVersion uint64
	DiscoveryID uint32 // identifies the discovery service
	Node        decision.NodeID
	State       decision.EndpointState
	StartedAtMS int64 // Unix time in milliseconds; 0: long ago
}

// encodedBytes is the length of an encoded update: version (8), discovery (4), address (4), port (2), state (1), start (8), big endian.
const encodedBytes = 27

const (
	discoveryOffset = 8
	addressOffset   = 12
	portOffset      = 16
	stateOffset     = 18
	startOffset     = 19
)

// AppendTo appends the encoded update to b.
func (u *EndpointUpdate) AppendTo(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, u.ListVersion)
	b = binary.BigEndian.AppendUint32(b, u.DiscoveryID)
	b = append(b, u.Node.Addr[:]...)
	b = binary.BigEndian.AppendUint16(b, u.Node.Port)
	b = append(b, byte(u.State))
	return binary.BigEndian.AppendUint64(b, uint64(u.StartedAtMS))
}

// Decode decodes an update. ok is false if b is not a valid update.
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

// maxRemoved bounds the removed and draining nodes that are sent to brokers that have just started.
const maxRemoved = 64

// Counts are the counters of an UpdateFilter. The JSON names are those under /counters.
type Counts struct {
	Sent     uint64 `json:"ListTold"`
	Accepted uint64 `json:"ListTaken"`
	Ignored  uint64 `json:"ListStale"`
}

// UpdateFilter remembers, for each node, the list version of the last update that was recorded or accepted.
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

// RecordLocal records an update from this broker's own discovery. It reports whether the update is to be sent to the other brokers. Updates
// from full lists are not sent, as every broker receives those lists itself, nor are those no newer than the node's last update.
func (f *UpdateFilter) RecordLocal(u EndpointUpdate, fullList bool) (send bool) {
	send = !fullList && u.ListVersion > f.versions[u.Node]
	if send {
		f.Counts.Sent++
		f.rememberRemoved(u)
	}
	f.versions[u.Node] = u.ListVersion
	return send
}

// Accept reports whether another broker's update is accepted. known tells whether the node is in this broker's list, and state and
// startedAtMS are its values there. An update that is late, or comes from another discovery or an earlier process of the node, could make a
// draining node ready; only a new start may do so.
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

// RecentlyRemoved returns the last update of each of the maxRemoved nodes that most recently began to drain or were removed. These updates
// are sent to brokers that have just started: one that starts while discovery is down uses its cached list, and would otherwise send
// attempts to these nodes.
func (f *UpdateFilter) RecentlyRemoved() []EndpointUpdate { return f.removed }

// Forget drops the list versions of nodes that are no longer known, if they are older than the given version.
func (f *UpdateFilter) Forget(version uint64, known func(decision.NodeID) bool) {
	for id, v := range f.versions {
		if v < version && !known(id) {
			delete(f.versions, id)
		}
	}
}
