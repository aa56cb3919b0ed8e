package connlease

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// DemandTracker measures what a broker could use.
type DemandTracker struct {
	half time.Duration // a need that is gone counts half after so long
	last time.Duration
	at   map[LeaseKey]*need
}

type need struct {
	value float64
	told  int
}

// NewDemandTracker makes an empty measure.
func NewDemandTracker(half time.Duration) *DemandTracker {
	return &DemandTracker{half: half, at: map[LeaseKey]*need{}}
}

// Decay lets what was seen fade until now.
func (n *DemandTracker) Decay(now time.Duration) {
	keep := math.Exp2(-float64(now-n.last) / float64(n.half))
	n.last = now
	for k, d := range n.at {
		if d.value *= keep; d.value < 0.1 {
			delete(n.at, k)
		}
	}
}

// Observe takes how many connections a tenant could use at a node now. A need rises at once and falls slowly: units are fetched in
// a fraction of a lease, and what was given up must be fetched anew.
func (n *DemandTracker) Observe(k LeaseKey, connections float64) {
	d := n.at[k]
	if d == nil {
		d = &need{}
		n.at[k] = d
	}
	d.value = max(d.value, connections)
}

// AboveReserved is the need above the floors, in whole units, by key. Of a node's tenants the one that needs most uses the floor first.
func (n *DemandTracker) AboveReserved(floors map[decision.NodeID]int) (rows []ConnectionCount) {
	for k, d := range n.at {
		if up := int(math.Ceil(d.value - 0.1)); up > d.told || float64(d.told)-d.value > 1.3 {
			d.told = up
		}
		if d.told > 0 {
			rows = append(rows, ConnectionCount{k, d.told})
		}
	}
	slices.SortFunc(rows, func(a, b ConnectionCount) int { return CompareKeys(a.LeaseKey, b.LeaseKey) })
	for i := 0; i < len(rows); {
		j := i
		for j < len(rows) && rows[j].Node == rows[i].Node {
			j++
		}
		for range floors[rows[i].Node] {
			most := i
			for k := i; k < j; k++ {
				if rows[k].Connections > rows[most].Connections {
					most = k
				}
			}
			rows[most].Connections = max(0, rows[most].Connections-1)
		}
		i = j
	}
	return slices.DeleteFunc(rows, func(r ConnectionCount) bool { return r.Connections == 0 })
}

// mostRows bounds what a report tells; of more the smallest keys are told.
const mostRows = 6000

// EncodeDemand writes rows for a report, under the version of the policy whose tenants they count.
func EncodeDemand(version uint64, rows []ConnectionCount) []byte {
	b := binary.AppendUvarint(nil, version)
	for _, r := range rows[:min(len(rows), mostRows)] {
		b = binary.BigEndian.AppendUint16(append(b, r.Node.Addr[:]...), r.Node.Port)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Tenant)), uint64(r.Connections))
	}
	return b
}

// mostNeed bounds what one broker may say that it needs. Danger: a broken report would fill the leader's memory.
const mostNeed = 1 << 20

// DecodeDemand reads them; false: it is nothing of the kind.
func DecodeDemand(b []byte) (version uint64, rows []ConnectionCount, ok bool) {
	version, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	for b = b[n:]; len(b) > 0; {
		if len(b) < 8 || len(rows) == mostRows {
			return 0, nil, false
		}
		r := ConnectionCount{LeaseKey: LeaseKey{Node: decision.NodeID{Addr: [4]byte(b), Port: binary.BigEndian.Uint16(b[4:])}}}
		b = b[6:]
		for _, into := range []*int{&r.Tenant, &r.Connections} {
			v, n := binary.Uvarint(b)
			if n <= 0 || v > mostNeed {
				return 0, nil, false
			}
			*into, b = int(v), b[n:]
		}
		rows = append(rows, r)
	}
	return version, rows, true
}
