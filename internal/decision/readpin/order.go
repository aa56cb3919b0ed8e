package readpin

import "flaxfront/internal/decision"

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// goldenRatio is a multiplier that spreads consecutive numbers over 64 bits.
const goldenRatio uint64 = 0x9e3779b97f4a7c15

// HashPin returns the hash that identifies a pin. It is never 0 and the same at all brokers.
func HashPin(scope, key string) uint64 {
	hash := hashBytes(fnvOffset, scope)
	hash = hashBytes(hash, ":")
	hash = hashBytes(hash, key)
	return max(1, hash)
}

func hashBytes(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousWeight returns the weight of a node for a pin and shard (rendezvous hashing): the heaviest node comes first. If a node is
// removed, only the pins that had it first move, each to the next node in its own order.
func rendezvousWeight(pin uint64, shard int, id decision.NodeID) uint64 {
	a := id.Addr
	node := uint64(a[0])<<40 | uint64(a[1])<<32 | uint64(a[2])<<24 | uint64(a[3])<<16 | uint64(id.Port)
	return mix(mix(pin+uint64(shard)*goldenRatio) ^ node*goldenRatio)
}

// candidate is a replica in a pin's order.
type candidate struct {
	index   int32 // into Tracker.nodes
	inEpoch bool
	weight  uint64
}

// ranksBefore reports whether c comes before other in a pin's order.
func (c *candidate) ranksBefore(other *candidate) bool {
	if c.inEpoch != other.inEpoch {
		return c.inEpoch
	}
	return c.weight > other.weight
}

// rank returns the replicas of a shard in a pin's order, including those that were removed recently. The slice is valid until the next
// call.
func (t *Tracker) rank(pin uint64, shard int) []candidate {
	t.order = t.order[:0]
	for j := range t.config.CellsPerShard {
		for _, index := range t.cells[(shard+j)%t.config.Cells] {
			n := &t.nodes[index]
			t.insert(candidate{index: index, inEpoch: n.inEpoch, weight: rendezvousWeight(pin, shard, n.id)})
		}
	}
	return t.order
}

// insert adds a candidate to t.order at its place; insertion sort suffices, as there are few replicas.
func (t *Tracker) insert(c candidate) {
	t.order = append(t.order, c)
	i := len(t.order) - 1
	for ; i > 0 && c.ranksBefore(&t.order[i-1]); i-- {
		t.order[i] = t.order[i-1]
	}
	t.order[i] = c
}
