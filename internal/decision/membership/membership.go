// Package membership determines which brokers of a tier are alive, suspected, dead, or have left as planned. It is SWIM (Das, Gupta and
// Motivala, 2002) with the extensions of Lifeguard (Dadgar, Phillips and Currey, 2018): one probe at a time, indirect probes before a
// member is suspected, updates piggybacked on probes, a suspicion timeout that shortens as other members confirm the suspicion, and a local
// health multiplier, by which a member that is itself slow lengthens its probe intervals and timeouts.
//
// The states of a member, as another member sees it:
//
//	           failed probe, suspect or dead update
//	    +-------+ ------------------------------------> +---------+
//	--> | Alive |                                       | Suspect |
//	    +-------+ <------------------------------------ +---------+
//	      ^   |            higher incarnation             |     |
//	      |   | left update                   left update |     | suspicion timeout, dead update
//	      |   v                                           |     v
//	      | +------+                                      |  +------+
//	      | | Left | <------------------------------------+  | Dead |
//	      | +------+                                         +------+
//	      |    |              higher incarnation                |
//	      +----+------------------------------------------------+
//
// A dead update about a member that is alive here makes it suspect first, so that the member can refute the update. Members that are dead
// or have left become alive again by a higher incarnation, and are forgotten after Policy.ForgetAfter.
//
// The package does no I/O, reads no clock and starts no goroutine: the caller passes datagrams and the time, and sends what DrainPackets
// returns. Times are durations since any fixed start. A Detector is for one goroutine at a time.
package membership

import (
	"hash/fnv"
	"net/netip"
	"time"
)

// ID is a member's number: a hash of its name, never 0.
type ID uint32

// IDOf returns the ID of the member with this name.
func IDOf(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return ID(max(1, h.Sum32()))
}

// State is a member's state as this broker sees it.
type State uint8

// The states of a member. Those up to Suspect count as living.
const (
	Alive   State = iota
	Suspect       // it did not answer, and has time to refute the suspicion
	Dead
	Left // shut down as planned
)

// String returns the state as logs and commands show it.
func (s State) String() string {
	return [...]string{"alive", "suspected", "dead", "left"}[min(s, Left)]
}

func (s State) isLiving() bool { return s <= Suspect }

// Member is one broker of the tier. The JSON names are those of /counters.
type Member struct {
	ID             ID             `json:"ID"`
	Name           string         `json:"Name"`
	Address        netip.AddrPort `json:"Addr"`
	Incarnation    uint32         `json:"Inc"`    // raised only by the member itself
	Weight         uint8          `json:"Weight"` // spare capacity, as the member states it
	State          State          `json:"State"`
	StateChangedAt time.Duration  `json:"Since"`
}

// Policy holds the settings of a Detector.
type Policy struct {
	ProbeInterval      time.Duration // between two probes
	ProbeTimeout       time.Duration // for a direct ack
	IndirectProbes     int           // members asked to probe one that did not answer
	SuspicionFactor    float64       // shortest suspicion timeout, in probe intervals times the decimal logarithm of the living members
	MaxSuspicionFactor float64       // longest suspicion timeout, as a multiple of the shortest
	ForgetAfter        time.Duration // how long dead members and those that left are remembered
	SyncInterval       time.Duration // between two syncs
	MaxDatagramBytes   int
	MaxMembers         int    // other members remembered
	WithoutLifeguard   bool   // SWIM alone, for comparison
	Seed               uint64 // of the random choices
}

// Packet is a datagram to be sent.
type Packet struct {
	To   netip.AddrPort
	Data []byte
}

// Change is a change of a member's state.
type Change struct {
	Member        Member
	PreviousState State
	New           bool // the member was not known before
}

// Counts are the counters of a Detector. The JSON names are those of /counters.
type Counts struct {
	Probes                uint64 `json:"Probes"`
	FailedProbes          uint64 `json:"Missed"`    // neither a direct nor an indirect ack arrived
	Suspicions            uint64 `json:"Suspected"` // by this broker or by another
	DeclaredDead          uint64 `json:"Buried"`    // by the suspicion timeout of this broker
	Refutations           uint64 `json:"Refuted"`   // of updates that this broker is suspect, dead or has left
	DatagramsSent         uint64 `json:"Sent"`
	DatagramsReceived     uint64 `json:"Heard"`
	MalformedDatagrams    uint64 `json:"Bad"`  // rejected datagrams, and malformed items of accepted ones
	LocalHealthMultiplier int    `json:"Late"` // 0: healthy; intervals and timeouts are multiplied by this plus 1
}
