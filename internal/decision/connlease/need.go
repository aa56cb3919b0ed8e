package connlease

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"flaxfront/internal/decision"
)

// Needs measures what a broker could use.
type Needs struct {
	half time.Duration // a need that is gone counts half after so long
	last time.Duration
	at   map[Key]*need
}

type need struct {
	value float64
	told  int
}

// NewNeeds makes an empty measure.
func NewNeeds(half time.Duration) *Needs { return &Needs{half: half, at: map[Key]*need{}} }

// Decay lets what was seen fade until now.
func (n *Needs) Decay(now time.Duration) {
	keep := math.Exp2(-float64(now-n.last) / float64(n.half))
	n.last = now
	for k, d := range n.at {
		if d.value *= keep; d.value < 0.1 {
			delete(n.at, k)
		}
	}
}

// See takes how many connections a tenant could use at a node now. A need rises at once and falls slowly: units are fetched in
// a fraction of a lease, and what was given up must be fetched anew.
func (n *Needs) See(k Key, connections float64) {
	d := n.at[k]
	if d == nil {
		d = &need{}
		n.at[k] = d
	}
	d.value = max(d.value, connections)
}

// Rows is the need above the floors, in whole units, by key. Of a node's tenants the one that needs most uses the floor first.
func (n *Needs) Rows(floors map[decision.NodeID]int) (rows []Row) {
	for k, d := range n.at {
		if up := int(math.Ceil(d.value - 0.1)); up > d.told || float64(d.told)-d.value > 1.3 {
			d.told = up
		}
		if d.told > 0 {
			rows = append(rows, Row{k, d.told})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return Compare(a.Key, b.Key) })
	for i := 0; i < len(rows); {
		j := i
		for j < len(rows) && rows[j].Node == rows[i].Node {
			j++
		}
		for range floors[rows[i].Node] {
			most := i
			for k := i; k < j; k++ {
				if rows[k].Units > rows[most].Units {
					most = k
				}
			}
			rows[most].Units = max(0, rows[most].Units-1)
		}
		i = j
	}
	return slices.DeleteFunc(rows, func(r Row) bool { return r.Units == 0 })
}

// mostRows bounds what a report tells; of more the smallest keys are told.
const mostRows = 6000

// Encode writes rows for a report, under the version of the policy whose tenants they count.
func Encode(version uint64, rows []Row) []byte {
	b := binary.AppendUvarint(nil, version)
	for _, r := range rows[:min(len(rows), mostRows)] {
		b = binary.BigEndian.AppendUint16(append(b, r.Node.Addr[:]...), r.Node.Port)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Tenant)), uint64(r.Units))
	}
	return b
}

// mostNeed bounds what one broker may say that it needs. Danger: a broken report would fill the leader's memory.
const mostNeed = 1 << 20

// Decode reads them; false: it is nothing of the kind.
func Decode(b []byte) (version uint64, rows []Row, ok bool) {
	version, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	for b = b[n:]; len(b) > 0; {
		if len(b) < 8 || len(rows) == mostRows {
			return 0, nil, false
		}
		r := Row{Key: Key{Node: decision.NodeID{Addr: [4]byte(b), Port: binary.BigEndian.Uint16(b[4:])}}}
		b = b[6:]
		for _, into := range []*int{&r.Tenant, &r.Units} {
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
