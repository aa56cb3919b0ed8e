package ownership

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// firstRunSteps is the number of steps over which first runs are spread.
const firstRunSteps = 1000

// Owner returns the ID of the member that a job is assigned to; 0 if there is no member.
func (c *Coordinator) Owner(job int) (id uint32) {
	highest := math.Inf(-1)
	for _, m := range c.members {
		r := rank(c.jobs[job].Name, m)
		if r > highest || r == highest && m.ID < id {
			highest = r
			id = m.ID
		}
	}
	return id
}

// rank returns the weighted rendezvous rank of a member for a job. The member with the highest rank owns the job.
func rank(job string, m Member) float64 {
	h := fnv.New64a()
	var id [4]byte
	binary.BigEndian.PutUint32(id[:], m.ID)
	h.Write(id[:])
	h.Write([]byte(job))
	x := mix(h.Sum64())
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -float64(max(1, m.Weight)) / math.Log(uniform)
}

// mix improves the low bits of hashes of short inputs (the first half of MurmurHash3's finalizer).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// firstRunOffset returns a number in [0, 1) that spreads the first runs of jobs. For a given job it is the same at every broker.
func (s *jobState) firstRunOffset() float64 {
	h := fnv.New32a()
	h.Write([]byte(s.Name))
	return float64(h.Sum32()%firstRunSteps) / firstRunSteps
}
