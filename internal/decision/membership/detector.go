package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// neverContacted is earlier than any other time. It is half the minimum so that differences from other times do not overflow.
const neverContacted time.Duration = math.MinInt64 / 2

// memberEntry is another member and the suspicion against it, if it is suspect.
type memberEntry struct {
	Member
	suspicion suspicion
}

// Detector is the failure detector and the member list of one broker.
type Detector struct {
	policy Policy
	self   Member
	left   bool

	entries      map[ID]*memberEntry
	ids          []ID // of entries, sorted: random choices must not depend on the order of a map
	livingCount  int  // of entries
	suspectCount int  // of entries

	probeOrder    []ID // of this round, shuffled
	probePosition int  // in probeOrder
	probe         activeProbe
	relayedProbes []relayedProbe
	lastSequence  uint32

	updates          []piggybackedUpdate // those sent least often first
	requestedMembers []ID                // unknown here, to be requested from others
	syncPosition     int                 // in ids, where the next state transfer begins
	seeds            []netip.AddrPort

	packets    []Packet
	changes    []Change
	broadcasts [][]byte

	lastTick       time.Duration
	nextProbe      time.Duration
	lastSync       time.Duration
	lastGossip     time.Duration
	lastDeadProbe  time.Duration
	lastExpiry     time.Duration
	nextSeedProbe  time.Duration
	lastContact    time.Duration
	localHealth    int // Lifeguard's local health multiplier, less 1
	generatorState uint64

	Counts Counts
}

// New returns the detector of a broker that knows no other member yet. The detector probes a seed in each probe interval until it knows
// another member, and less often after that. The incarnation must be higher than that of any earlier process of this name.
func New(policy Policy, name string, address netip.AddrPort, weight uint8, incarnation uint32, seeds []netip.AddrPort) *Detector {
	d := &Detector{
		policy:         policy,
		self:           Member{ID: IDOf(name), Name: name, Address: address, Incarnation: incarnation, Weight: weight},
		entries:        map[ID]*memberEntry{},
		seeds:          seeds,
		lastContact:    neverContacted,
		generatorState: policy.Seed | 1,
	}
	d.announceSelf()
	return d
}

// Self returns this broker's own entry.
func (d *Detector) Self() Member { return d.self }

// Members returns all members that are remembered, this broker included, sorted by name.
func (d *Detector) Members() []Member {
	members := []Member{d.self}
	for _, entry := range d.entries {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// LivingCount returns how many members are alive or suspect, this broker included.
func (d *Detector) LivingCount() int { return 1 + d.livingCount }

// LastContact returns when the last datagram of another member arrived, or a time far in the past if none has.
func (d *Detector) LastContact() time.Duration { return d.lastContact }

// DrainPackets returns the datagrams that were queued for sending since the last call.
func (d *Detector) DrainPackets() []Packet {
	packets := d.packets
	d.packets = nil
	return packets
}

// DrainChanges returns the members' changes of state since the last call.
func (d *Detector) DrainChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// DrainBroadcasts returns the broadcasts received since the last call, repeated ones included.
func (d *Detector) DrainBroadcasts() [][]byte {
	broadcasts := d.broadcasts
	d.broadcasts = nil
	return broadcasts
}
